// How many more attempts than requests there may be (Finagle's RetryBudget): without it each request asks a
// crowded pool as often as the limits allow, and a short trouble becomes a storm.
#pragma once

#include <algorithm>

namespace elmbay::balancer {

class RetryBudget {
public:
    // A fifth more attempts than requests in the long run, and so many at a stretch.
    static constexpr double kRetriesPerRequest = 0.2, kMaxRetries = 10;

    void record_request() { retries_left_ = std::min(retries_left_ + kRetriesPerRequest, kMaxRetries); }
    bool may_retry() const { return retries_left_ >= 1; }
    void take_retry() { retries_left_ -= 1; }
    double retries_left() const { return retries_left_; }
    void limit_to(double retries) { retries_left_ = std::min(retries_left_, retries); }

private:
    double retries_left_ = kMaxRetries;
};

}  // namespace elmbay::balancer
