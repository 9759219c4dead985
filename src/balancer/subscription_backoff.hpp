#pragma once

#include <algorithm>

#include "base/random.hpp"
#include "elmbay/balancer.hpp"

namespace elmbay::balancer {

/// Exponential backoff with jitter between failed calls for the endpoint list.
///
/// The list is one service for all sidecars, so each comes back later and not in step with the others.
///
/// Owned by Balancer::Impl; not thread-safe. Of fixed size.
class SubscriptionBackoff {
public:
    /// Mean wait after the first failure, in milliseconds.
    static constexpr Millis kFirst = 1000;
    /// Mean wait after many failures, in milliseconds.
    static constexpr Millis kMost = 8 * kFirst;

    /// The wait after a failed call, in milliseconds: half to one and a half of the mean. The mean then
    /// doubles, up to kMost.
    Millis next(Random& random) {
        const Millis wait = mean_ * (0.5 + random.uniform());
        mean_ = std::min(mean_ * 2, kMost);
        return wait;
    }
    /// The list service has answered.
    void reset() { mean_ = kFirst; }

private:
    Millis mean_ = kFirst;
};

}  // namespace elmbay::balancer
