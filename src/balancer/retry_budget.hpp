#pragma once

#include <algorithm>

namespace elmbay::balancer {

/// Decides whether a failed request may be retried: a token bucket, as Finagle's RetryBudget.
///
/// Each request adds kRetriesPerRequest tokens, up to kMaxRetries; each retry takes one. Without it every
/// request would ask an overloaded pool as often as max_attempts allows, and a short failure would become a
/// retry storm.
///
/// Owned by Balancer::Impl; not thread-safe. Of fixed size.
class RetryBudget {
public:
    /// Retries for each request, in the long run.
    static constexpr double kRetriesPerRequest = 0.2;
    /// Retries in a burst, at most. A new budget holds as many.
    static constexpr double kMaxRetries = 10;

    /// A request has arrived.
    void record_request() { retries_left_ = std::min(retries_left_ + kRetriesPerRequest, kMaxRetries); }
    /// Whether one more retry is allowed.
    bool may_retry() const { return retries_left_ >= 1; }
    /// A retry is sent.
    void take_retry() { retries_left_ -= 1; }
    /// Tokens left, up to kMaxRetries. Below 0 where more was sent than may_retry() allowed.
    double retries_left() const { return retries_left_; }
    /// Lowers the tokens to `retries` where there are more: a restart gives no new budget.
    void limit_to(double retries) { retries_left_ = std::min(retries_left_, retries); }

private:
    double retries_left_ = kMaxRetries;
};

}  // namespace elmbay::balancer
