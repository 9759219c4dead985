/// @file
/// Makes a learned state safe to use, whatever file it came from. What follows from it is decided elsewhere.
#pragma once

#include <cstddef>

#include "elmbay/learned_state.hpp"

namespace elmbay::balancer {

/// Servers in a learned state, at most: as many as a sidecar lists.
constexpr std::size_t kMaxSavedServers = 4096;

/// Brings each field into the range that learned_state.hpp states. One that is not finite or out of range
/// becomes what stands for 'not known'. Of the servers, the first kMaxSavedServers stay.
LearnedState sanitize(LearnedState learned_state);

}  // namespace elmbay::balancer
