// Creates the configuration files with which the testbed starts a sidecar.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "process_testbed/testbed_options.hpp"

namespace elmbay::process_testbed {

/// The part of a configuration that differs between the sidecars of a testbed and between their runs.
struct SidecarIdentity {
    std::string name;
    std::size_t number = 0;                         ///< from 0
    std::uint64_t run = 0;                          ///< number of starts, including this one
    boost::asio::ip::tcp::endpoint listen;          ///< address for clients
    boost::asio::ip::tcp::endpoint discovery;       ///< address of the discovery service
    boost::asio::ip::udp::endpoint cluster_listen;  ///< address for datagrams of other sidecars
    std::vector<boost::asio::ip::udp::endpoint>
        peers;                                 ///< addresses at which the sidecars are reachable, by number
    boost::asio::ip::udp::endpoint broadcast;  ///< address that reaches all sidecars
    json known_endpoints;                      ///< the endpoint list at the start of the run
};

/// @return the configuration in the platform's JSON format (docs: PROTOCOL, DEPLOY).
json sidecar_config(const Options& options, const SidecarIdentity& identity);

/// @return the operator's file: `extra`, followed by the tables that the options enable.
std::string sidecar_operator_file(const Options& options, const std::string& extra,
                                  const std::string& status_socket);

}  // namespace elmbay::process_testbed
