/// @file
/// A token bucket, which limits the rate of an action.
#pragma once

#include <algorithm>

#include "elmbay/balancer.hpp"

namespace elmbay::cluster {

using balancer::Millis;

/// A budget of tokens that refills with time. A value type without a clock; not thread-safe.
class TokenBucket {
public:
    /// @param capacity        the maximum and initial number of tokens; at least 1.
    /// @param refill   milliseconds in which one token is added; above 0.
    TokenBucket(double capacity, Millis refill_interval)
        : capacity_(capacity), refill_interval_(refill_interval), tokens_(capacity) {}

    /// Takes one token, if one is available.
    /// @param now  milliseconds that never decrease.
    /// @return whether a token was taken.
    bool take(Millis now) {
        tokens_ = std::min(capacity_, tokens_ + (now - refilled_at_) / refill_interval_);
        refilled_at_ = now;
        if (tokens_ < 1) return false;
        tokens_ -= 1;
        return true;
    }

private:
    double capacity_;
    Millis refill_interval_;
    double tokens_;
    Millis refilled_at_ = 0;
};

}  // namespace elmbay::cluster
