/// @file
/// Validates a learned state, which may come from any file. Its use is implemented elsewhere.
#pragma once

#include <cstddef>

#include "elmbay/learned_state.hpp"

namespace elmbay::balancer {

/// The maximum number of servers in a learned state: the number of servers that a sidecar can list.
constexpr std::size_t kMaxSavedServers = 4096;

/// Restricts each field to the range documented in learned_state.hpp. A field that is not finite or is out of
/// range gets the value for unknown. Only the first kMaxSavedServers servers are kept.
LearnedState sanitize(LearnedState learned_state);

}  // namespace elmbay::balancer
