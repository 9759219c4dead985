/// @file
/// Builds parts of the status JSON. docs/operate/status.md describes each field.
#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>

#include "base/sockets.hpp"
#include "elmbay/learned_state.hpp"
#include "net/upstream.hpp"
#include "sidecar/endpoint_registry.hpp"

namespace elmbay {

/// Counts of HTTP requests since the start. Each received request also counts once in the member for its
/// outcome. Upgrades count only in the members for outcomes.
struct RequestCounts {
    std::uint64_t received = 0;
    std::uint64_t succeeded = 0;
    std::uint64_t rejected = 0;
    std::uint64_t failed = 0;
    std::uint64_t disconnected = 0;  ///< the client disconnected before the outcome
};

/// Returns the counts of requests.
/// @param open number of requests that are in the engine now.
nlohmann::json requests_status(const RequestCounts& counts, std::size_t open);
/// Returns the number of open sockets for each purpose.
nlohmann::json sockets_status(const SocketBudget& budget);
/// Returns one object for each server of the registry, ordered by uid.
nlohmann::json servers_status(const EndpointRegistry& registry, const balancer::LearnedState& learned_state,
                              const Upstream& upstream);

}  // namespace elmbay
