/// @file
/// Addresses of streams and datagrams, and how the configuration writes them.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <string>

namespace elmbay {

/// Where a stream socket listens or connects to.
using Endpoint = boost::asio::ip::tcp::endpoint;
/// Where a sidecar receives datagrams.
using PeerEndpoint = boost::asio::ip::udp::endpoint;

/// Reads "address:port". The address is IPv4 or IPv6, the latter with or without brackets, and never a host
/// name: nothing is looked up. Throws ConfigError that names the field.
Endpoint parse_endpoint(const std::string& text, const std::string& field);

/// The same for a datagram socket.
PeerEndpoint parse_peer_endpoint(const std::string& text, const std::string& field);

}  // namespace elmbay
