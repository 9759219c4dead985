// Options of a ProcessTestbed.
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
    std::size_t sidecars = 3;         ///< at most 700, because each has its own loopback addresses
    std::size_t servers = 2;          ///< at most 2,000, for the same reason
    std::string program;              ///< command that starts a sidecar
    std::uint64_t seed = 1;           ///< seed of the random choices of the fault rules and of the sidecars
    Millis request_deadline = 3000;   ///< default deadline of requests, and give-up-ms of every class
    Millis latency_objective = 1500;  ///< on-time-ms of every class
    std::size_t max_sockets = 256;    ///< limits.sockets of each sidecar
    bool cluster = false;             ///< whether the sidecars exchange membership ([cluster] on)
    bool status = true;               ///< whether each sidecar has a status socket
    json settings = json::object();   ///< merged over the testbed's own settings (JSON merge patch)
};

}  // namespace elmbay::process_testbed
