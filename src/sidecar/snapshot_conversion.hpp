/// @file
/// Converts learned state to a snapshot and back.
///
/// The balancer identifies servers by numbers that are valid within one process only. A snapshot identifies
/// them by uid.
#pragma once

#include <string>

#include "elmbay/learned_state.hpp"
#include "sidecar/endpoint_registry.hpp"
#include "state/snapshot.hpp"

namespace elmbay {

/// Converts learned state to a snapshot. Omits servers that are not in the registry, or whose uid is too long
/// for a snapshot. Takes time in proportion to the number of servers.
/// @return a snapshot. The caller sets `taken_at`.
state::Snapshot to_snapshot(std::string instance, balancer::LearnedState learned_state,
                            const EndpointRegistry& registry);

/// Converts a snapshot to learned state. Reserves a number for each of its servers, so that the registry
/// assigns the same number when an endpoint list adds the server.
balancer::LearnedState to_learned_state(state::Snapshot snapshot, EndpointRegistry& registry);

}  // namespace elmbay
