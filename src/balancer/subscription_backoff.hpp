#pragma once

#include <algorithm>

#include "base/random.hpp"
#include "elmbay/balancer.hpp"

namespace elmbay::balancer {

/// Exponential backoff with jitter between failed calls for the endpoint list.
///
/// Owned by Balancer::Impl. The list is one service for all sidecars, so each comes back later and not in
/// step with the others.
class SubscriptionBackoff {
public:
    static constexpr Millis kFirst = 1000;       ///< mean wait after the first failure
    static constexpr Millis kMost = 8 * kFirst;  ///< mean wait after many

    /// The wait after a failed call: half to one and a half of the mean, which doubles up to kMost.
    Millis next(Random& random) {
        const Millis wait = mean_ * (0.5 + random.unit());
        mean_ = std::min(mean_ * 2, kMost);
        return wait;
    }
    /// The list service has answered.
    void reset() { mean_ = kFirst; }

private:
    Millis mean_ = kFirst;
};

}  // namespace elmbay::balancer
