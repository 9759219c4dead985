/// @file
/// The endpoint list: the servers of the deployment, as sent by discovery and as stored in the configuration.
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

#include "config/config_error.hpp"
#include "config/endpoint.hpp"
#include "elmbay/balancer.hpp"

namespace elmbay {

using balancer::Millis;

/// Maximum number of targets that are used of one list: three times as many as a sidecar keeps listed
/// (EndpointRegistry). An incremental list also contains servers that have left; no correct list is as long
/// as this.
constexpr std::size_t kMaxTargets = 12288;

/// One server of an endpoint list.
struct Target {
    std::string uid;           ///< identity of the server; stays the same when its address changes
    Endpoint endpoint;         ///< address on which the server listens; unset for a removed server
    std::string zone;          ///< the operators' `az`; empty if the list has none
    std::string machine_type;  ///< the operators' `model`; empty if the list has none
    std::uint32_t cell = 0;    ///< the operators' `pod_group`: servers that share their idempotency keys
    balancer::EndpointState state = balancer::EndpointState::active;
    Millis online_since = 0;  ///< Unix time of the server's latest start, by its own clock; 0 if long ago
    double weight = 1;        ///< capacity relative to other servers, within the bounds of sanitize_weight()
};

/// An endpoint list: either complete, or the changes since an earlier list.
struct EndpointList {
    std::uint64_t revision = 0;       ///< increases with each change of the list
    bool is_complete = false;         ///< true if servers that are not in the list have been removed
    std::vector<Target> targets;      ///< at most kMaxTargets
    std::size_t dropped_targets = 0;  ///< number of targets beyond kMaxTargets
    /// Maximum time between a change and the arrival of the list that reports it, in milliseconds; see
    /// balancer::ServerList. Infinity if the change may have happened before this process started.
    Millis list_age_bound = std::numeric_limits<Millis>::infinity();
};

/// Parses a list in the JSON form that discovery sends. Throws ConfigError; nothing of an invalid list is
/// used.
EndpointList parse_endpoint_list(std::string_view text);

}  // namespace elmbay
