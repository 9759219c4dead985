// Whether remembered figures make sense; what follows from them is decided under src/balancer.
#pragma once

#include "elmbay/knowledge.hpp"

namespace elmbay::balancer {

// Each field in the range that knowledge.hpp states; one that was not, or was not finite, is as if it had not
// been known. At most kMaxRememberedServers, the first
// of them.
Knowledge sound(Knowledge knowledge);

constexpr std::size_t kMaxRememberedServers = 4096;  // as many as a sidecar lists

}  // namespace elmbay::balancer
