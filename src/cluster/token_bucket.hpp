/// @file
/// How often something may be done: a token bucket.
#pragma once

#include <algorithm>

#include "elmbay/balancer.hpp"

namespace elmbay::cluster {

using balancer::Millis;

/// A budget of tokens that refills with time. A value without a clock; not thread-safe.
class TokenBucket {
public:
    /// @param capacity tokens that it holds at most, and at the start; from 1.
    /// @param refill   milliseconds in which one token comes back; above 0.
    TokenBucket(double capacity, Millis refill) : capacity_(capacity), refill_(refill), tokens_(capacity) {}

    /// Takes one token, if there is one.
    /// @param now  milliseconds that never go back.
    /// @return whether it did.
    bool take(Millis now) {
        tokens_ = std::min(capacity_, tokens_ + (now - refilled_at_) / refill_);
        refilled_at_ = now;
        if (tokens_ < 1) return false;
        tokens_ -= 1;
        return true;
    }

private:
    double capacity_;
    Millis refill_;
    double tokens_;
    Millis refilled_at_ = 0;
};

}  // namespace elmbay::cluster
