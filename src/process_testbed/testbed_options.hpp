// What a test chooses about a ProcessTestbed.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "elmbay/balancer.hpp"

namespace elmbay::process_testbed {

using balancer::Millis;
using nlohmann::json;

/// Size of a ProcessTestbed and settings of its sidecars.
struct Options {
    std::size_t sidecars = 3;         ///< 700 at most: each has loopback addresses of its own
    std::size_t servers = 2;          ///< 2,000 at most, for the same reason
    std::string program;              ///< the command that starts a sidecar
    std::uint64_t seed = 1;           ///< of the random choices of fault rules and of the sidecars
    Millis request_deadline = 3000;   ///< of a request, unless it has its own; the give-up of every class
    Millis latency_objective = 1500;  ///< on-time-ms of every class
    std::size_t max_sockets = 256;    ///< limits.sockets of each sidecar
    bool cluster = false;             ///< whether the sidecars exchange membership ([cluster] on)
    bool status = true;               ///< whether each sidecar has a status socket
    json settings = json::object();   ///< merged over the testbed's own settings (JSON merge patch)
};

}  // namespace elmbay::process_testbed
