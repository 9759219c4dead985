// Whether remembered figures make sense; what follows from them is decided under src/balancer.
#pragma once

#include "elmbay/learned_state.hpp"

namespace elmbay::balancer {

// Each field in the range that learned_state.hpp states; one that was not, or was not finite, is as if it had
// not been known. At most kMaxSavedServers, the first of them.
LearnedState sanitize(LearnedState learned_state);

constexpr std::size_t kMaxSavedServers = 4096;  // as many as a sidecar lists

}  // namespace elmbay::balancer
