/// @file
/// The endpoint list: the servers that there are, as discovery sends it and as the configuration holds it.
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

/// Targets that are taken of one list: three times what a sidecar keeps listed (EndpointRegistry). A list of
/// changes names the servers that have left as well; no honest one is as long as this.
constexpr std::size_t kMaxTargets = 12288;

/// One server of an endpoint list.
struct Target {
    std::string uid;           ///< the server's identity; a server keeps it when its address changes
    Endpoint endpoint;         ///< where this sidecar reaches it; unset for one that has been removed
    std::string zone;          ///< the operators' `az`; empty: not given
    std::string machine_type;  ///< the operators' `model`; empty: not given
    std::uint32_t cell = 0;    ///< the operators' `pod_group`: servers that share their idempotency keys
    balancer::EndpointState state = balancer::EndpointState::active;
    Millis online_since = 0;  ///< when it last started, Unix time by the server's clock; 0: long ago
    double weight = 1;        ///< its size against other servers', within sanitize_weight()'s bounds
};

/// An endpoint list: a whole one, or the changes since an earlier one.
struct EndpointList {
    std::uint64_t revision = 0;       ///< its version; rises with each change
    bool is_complete = false;         ///< whole: a server that it does not name has been removed
    std::vector<Target> targets;      ///< kMaxTargets at most
    std::size_t dropped_targets = 0;  ///< targets beyond kMaxTargets, which were dropped
    /// How long before it arrived a change may have happened, milliseconds: see balancer::ServerList.
    /// Infinity: since before this process began.
    Millis list_age_bound = std::numeric_limits<Millis>::infinity();
};

/// Reads a list as discovery sends it, in JSON. Throws ConfigError; of a list that can't be read nothing is
/// used.
EndpointList parse_endpoint_list(std::string_view text);

}  // namespace elmbay
