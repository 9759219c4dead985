#pragma once

#include <algorithm>

namespace elmbay::balancer {

/// Decides whether a failed request may be retried: a token bucket, as Finagle's RetryBudget.
///
/// Each request adds kRetriesPerRequest tokens, up to kMaxRetries; each retry takes one. Without the budget,
/// every request would send up to max_attempts attempts to an overloaded pool, and a short failure would turn
/// into a retry storm.
///
/// Owned by Balancer::Impl; not thread-safe. Fixed size.
class RetryBudget {
public:
    /// The long-term number of retries for each request.
    static constexpr double kRetriesPerRequest = 0.2;
    /// The maximum number of retries in a burst. A new budget starts with this number.
    static constexpr double kMaxRetries = 10;

    /// Records that a request has arrived.
    void record_request() { retries_left_ = std::min(retries_left_ + kRetriesPerRequest, kMaxRetries); }
    /// Whether another retry is allowed.
    bool may_retry() const { return retries_left_ >= 1; }
    /// Records that a retry is sent.
    void take_retry() { retries_left_ -= 1; }
    /// Returns the tokens left, at most kMaxRetries. Negative if more retries were sent than may_retry()
    /// allowed.
    double retries_left() const { return retries_left_; }
    /// Reduces the tokens to `retries` if there are more, so that a restart does not refill the budget.
    void limit_to(double retries) { retries_left_ = std::min(retries_left_, retries); }

private:
    double retries_left_ = kMaxRetries;
};

}  // namespace elmbay::balancer
