/// @file
/// Learned state on its way into a snapshot and out of it.
///
/// The balancer knows servers by numbers, which end with the process. A snapshot knows them by uid.
#pragma once

#include <string>

#include "elmbay/learned_state.hpp"
#include "sidecar/endpoint_registry.hpp"
#include "state/snapshot.hpp"

namespace elmbay {

/// Servers that the registry does not have, or whose uid is too long for a snapshot, are left out. Linear in
/// the servers.
/// @return a snapshot whose `taken` is left to the caller.
state::Snapshot to_snapshot(std::string instance, balancer::LearnedState learned_state,
                            const EndpointRegistry& registry);

/// Reserves a number for each server of the snapshot, so that the endpoint list gives it the same one later.
balancer::LearnedState to_learned_state(state::Snapshot snapshot, EndpointRegistry& registry);

}  // namespace elmbay
