#pragma once

#include <algorithm>

#include "base/random.hpp"
#include "elmbay/balancer.hpp"

namespace elmbay::balancer {

/// Exponential backoff with jitter between failed requests for the endpoint list.
///
/// All sidecars use one list service, so the jitter keeps them from retrying at the same time.
///
/// Owned by Balancer::Impl; not thread-safe. Fixed size.
class SubscriptionBackoff {
public:
    /// Mean delay after the first failure, in milliseconds.
    static constexpr Millis kInitialMeanDelay = 1000;
    /// Mean delay after many failures, in milliseconds.
    static constexpr Millis kMaxMeanDelay = 8 * kInitialMeanDelay;

    /// Returns the delay after a failed request, in milliseconds: half to one and a half times the mean. The
    /// mean then doubles, up to kMaxMeanDelay.
    Millis next_delay(Random& random) {
        const Millis wait = mean_delay_ * (0.5 + random.uniform());
        mean_delay_ = std::min(mean_delay_ * 2, kMaxMeanDelay);
        return wait;
    }
    /// Resets the delay after a response of the list service.
    void reset() { mean_delay_ = kInitialMeanDelay; }

private:
    Millis mean_delay_ = kInitialMeanDelay;
};

}  // namespace elmbay::balancer
