// How many more attempts than requests there may be (Finagle's RetryBudget): without it each request asks a
// crowded pool as often as the limits allow, and a short trouble becomes a storm.
#pragma once

#include <algorithm>

namespace elmbay::balancer {

class RetryBudget {
public:
    // A fifth more attempts than requests in the long run, and so many at a stretch.
    static constexpr double kShare = 0.2, kBurst = 10;

    void arrived() { left_ = std::min(left_ + kShare, kBurst); }
    bool may_retry() const { return left_ >= 1; }
    void retried() { left_ -= 1; }
    double left() const { return left_; }
    void at_most(double left) { left_ = std::min(left_, left); }

private:
    double left_ = kBurst;
};

}  // namespace elmbay::balancer
