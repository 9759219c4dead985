// The configuration file with which the testbed starts a sidecar.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "process_testbed/testbed_options.hpp"

namespace elmbay::process_testbed {

/// What differs from one sidecar of a testbed, and one run of it, to the next.
struct SidecarIdentity {
    std::string name;
    std::size_t number = 0;                             ///< from 0
    std::uint64_t run = 0;                              ///< how often it has been started, this time included
    boost::asio::ip::tcp::endpoint listen;              ///< for clients
    boost::asio::ip::tcp::endpoint discovery;           ///< where it finds the endpoint list
    boost::asio::ip::udp::endpoint cluster_listen;      ///< for datagrams of the others
    std::vector<boost::asio::ip::udp::endpoint> peers;  ///< where each sidecar is reached, by number
    boost::asio::ip::udp::endpoint broadcast;           ///< where all of them are reached
    json known_endpoints;                               ///< the endpoint list at the start
};

/// @return the configuration in the platform's JSON (docs: PROTOCOL, DEPLOY).
json sidecar_config(const Options& options, const SidecarIdentity& identity);

/// @return the operator's file: `extra`, and the tables that the options switch on.
std::string sidecar_operator_file(const Options& options, const std::string& extra,
                                  const std::string& status_socket);

}  // namespace elmbay::process_testbed
