/// @file
/// Addresses of stream and datagram sockets, and their parsers.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <string>

namespace elmbay {

/// Address on which a stream socket listens or to which it connects.
using Endpoint = boost::asio::ip::tcp::endpoint;
/// Address on which a sidecar receives datagrams.
using PeerEndpoint = boost::asio::ip::udp::endpoint;

/// Parses "address:port". The address is IPv4 or IPv6, the latter with or without brackets. A host name is an
/// error, because no name resolution takes place. Throws ConfigError with the name of the field.
Endpoint parse_endpoint(const std::string& text, const std::string& field);

/// Like parse_endpoint(), for the address of a datagram socket.
PeerEndpoint parse_peer_endpoint(const std::string& text, const std::string& field);

}  // namespace elmbay
