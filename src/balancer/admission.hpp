#pragma once

#include <algorithm>
#include <cmath>

#include "balancer/decaying.hpp"
#include "elmbay/learned_state.hpp"

namespace elmbay::balancer {

/// Decides how many attempts may be in flight at warm servers, and which requests may add an attempt.
///
/// The concurrency limit follows the load ratio: the mean response time of warm servers as a multiple of the
/// latency objective. By Little's law, a bound on the attempts in flight bounds their response time. Errors
/// are ignored, because they do not indicate load.
///
/// With r the load ratio, T = kTargetLoadRatio, n the number of attempts that remain in flight when a
/// response arrives, p the recent peak of n, and L the limit:
///
///     r > T:                             L := min(L, p + 1) + kLimitGain * (T - r) * min(1, L)
///     r <= kBusyLoadRatio, n + 2 >= L:   L := L + kQuickGrowth
///     otherwise:                         L := L + kLimitGain * (T - r)
///
/// The limit stays between a floor and a ceiling. The floor is one attempt for each warm server, or this
/// sidecar's share of kMinAttemptsPerServer if that is less. The ceiling is available before any response is
/// late: servers that share their cores slow down at most in proportion to their attempts, so if the mean
/// number in flight is n, then n * T / r attempts meet the target. The ceiling is the largest such value; it
/// decays over kLearnedLimitDecay and is scaled by the share of warm servers that are left. The method is
/// that of gradient limits (TCP Vegas, Netflix's concurrency-limits), with the objective in place of the best
/// response time measured. See docs/design/admission.md.
///
/// If there are so many sidecars that a sidecar's share of the floor is less than one attempt, the sidecar
/// cannot limit concurrency by a count. It then admits a share of its requests, as a circuit breaker does: a
/// late response opens the circuit, so that only probes pass, and the share of probes grows with time. A
/// response in time half-opens the circuit, and another one closes it.
///
/// Owned by Balancer::Impl; not thread-safe. Fixed size.
class Admission {
public:
    /// The load ratio that the limit is adjusted to. A higher value makes the slower responses late; a lower
    /// value leaves servers idle.
    static constexpr double kTargetLoadRatio = 0.55;
    /// The change of the limit for each response, in attempts for each unit of difference between the load
    /// ratio and the target.
    static constexpr double kLimitGain = 0.5;
    /// The initial limit, as a multiple of this sidecar's share of kMinAttemptsPerServer at each warm server.
    /// A sidecar that starts under load then reaches its steady limit soon.
    static constexpr double kInitialLimitMultiple = 5;
    /// The lowest ceiling, as a multiple of the same share.
    static constexpr double kMinCeilingMultiple = 2;
    /// The lower bound of the load ratio in the computation of the learned limit: faster responses do not
    /// raise it further.
    static constexpr double kMinLoadRatio = 0.05;
    /// The increase of the limit for each response, in attempts, while the limit is fully used and the pool
    /// is not busy.
    static constexpr double kQuickGrowth = 1;
    /// Decay time of the learned limit, in milliseconds.
    static constexpr Millis kLearnedLimitDecay = 60000;
    /// The number of attempts at one server that all sidecars together may always have in flight. If slow
    /// processing alone makes responses late, rejecting more requests does not help and leaves the servers
    /// idle.
    static constexpr double kMinAttemptsPerServer = 4;
    /// The limit of a closed circuit: every request passes. It is also the minimum of the ceiling for every
    /// sidecar.
    static constexpr double kCircuitClosedLimit = 2;
    /// The share of requests that pass a half-open circuit.
    static constexpr double kCircuitHalfOpenLimit = 0.5;
    /// The share of requests that pass a circuit that has just opened (the probes).
    static constexpr double kCircuitOpenLimit = 0.02;
    /// The time in which the share of probes grows by a factor of e, in milliseconds.
    static constexpr Millis kCircuitOpenGrowthTime = 3000;
    /// The load ratio above which the pool counts as busy. At this mean, a response is late with the
    /// probability exp(-1 / ratio), which first exceeds 1% near this value. Below it the probability of a
    /// late response is low enough to prefer a closer server and faster growth of the limit.
    static constexpr double kBusyLoadRatio = 0.25;
    /// The largest sample of the load ratio. A rejected attempt counts as this value.
    static constexpr double kMaxLatencyRatio = 1.5;
    /// The number of responses over which the recent peak of attempts in flight decays.
    static constexpr double kPeakResponses = 20;
    /// Decay time of the load ratio, in milliseconds. Equal to Aperture::kRateDecay.
    static constexpr Millis kResponseDecay = 5000;
    /// The share of the limit that is available to every class, regardless of its priority weight. Client
    /// retries are limited to this share, because their latency objective counts from their first try.
    static constexpr double kCommonShare = 0.6;

    /// @param settings validated settings
    explicit Admission(const Settings& settings);

    /// Sets the number of sidecars that share the servers, including this one. The caller calls
    /// set_warm_servers() next.
    void set_siblings(std::uint32_t siblings) {
        min_attempts_per_server_ = kMinAttemptsPerServer / std::max(1U, siblings);
    }
    /// Sets the number of warm servers in the pool, which determines the floor and the lowest ceiling.
    void set_warm_servers(std::size_t warm);
    /// Records a response of a warm server.
    /// @param latency_ratio the response time over the latency objective, 0 to kMaxLatencyRatio
    /// @param in_flight     attempts that remain in flight at warm servers
    void record_latency(double latency_ratio, int in_flight, Millis now);

    /// Writes the learned values into `learned_state`, as of `now`.
    void save_to(LearnedState& learned_state, Millis now) const;
    /// Restores the values that an earlier run saved at `taken_at`.
    void restore(const LearnedState& learned_state, Millis taken_at, Millis now);

    /// Whether a request may add an attempt at a warm server.
    /// @param is_retry     the request is a retry by the client
    /// @param tenant_share the tenant's share of the limit while the pool is busy, above 0 to 1
    /// @param in_flight    attempts in flight at warm servers
    /// @param random_unit  returns a random number from 0 to 1, used for limits below 1; called at most once
    template <class RandomUnit>
    bool may_start_attempt(const RequestClass& request_class, bool is_retry, double tenant_share,
                           int in_flight, Millis now, RandomUnit random_unit) const {
        const double class_share = kCommonShare + (1 - kCommonShare) * request_class.priority_weight /
                                                      max_priority_weight_ * (is_retry ? 0 : 1);
        double limit = concurrency_limit(now) * (is_busy() ? tenant_share : 1) * class_share;
        if (in_flight >= limit) return false;
        // If only a share of the requests passes, first tries take precedence over retries, because each
        // first try may be followed by several retries.
        if (limit < 1 && is_retry) limit *= limit;
        return random_unit() <= limit;
    }
    /// Whether a request of the highest priority could add an attempt.
    bool has_capacity(int in_flight, Millis now) const { return in_flight < concurrency_limit(now); }

    /// Whether the load ratio is above kBusyLoadRatio.
    bool is_busy() const { return load_ratio_.value > kBusyLoadRatio; }
    /// The mean response time of warm servers over the latency objective, 0 to kMaxLatencyRatio.
    double load_ratio() const { return load_ratio_.value; }
    /// Returns this sidecar's share of kMinAttemptsPerServer, above 0 and at most 1.
    double sidecar_share() const { return std::min(1.0, min_attempts_per_server_); }

private:
    // Returns the limit at `now`: the share of probes that pass an open circuit grows with time.
    double concurrency_limit(Millis now) const {
        if (limit_ >= 1) return limit_;
        return std::min(1.0, limit_ * std::exp((now - updated_at_) / kCircuitOpenGrowthTime));
    }
    bool uses_circuit_breaker() const { return min_limit_ < 1; }
    void learn_limit();
    // Returns whether the circuit breaker alone determines the limit after this response.
    bool update_circuit_breaker(double latency_ratio, int in_flight);
    void adjust_limit(int in_flight);
    double limit_ceiling() const;

    double min_attempts_per_server_ = 0;  // this sidecar's share of kMinAttemptsPerServer, not capped
    double max_priority_weight_ = 1e-9;   // the largest weight of all classes
    double min_limit_ = 0;                // floor of the limit
    double min_ceiling_ = kCircuitClosedLimit;
    DecayingAverage load_ratio_;
    DecayingCounter recent_responses_;       // decays with kResponseDecay
    double mean_in_flight_ = 0;              // over the recent responses
    double mean_warm_servers_ = 0;           // over the recent responses
    double recent_peak_in_flight_ = 0;       // keeps a lull in traffic from lowering the limit
    double warm_servers_ = 0;                // number of warm servers in the pool
    double learned_limit_ = 0;               // as of updated_at_
    double learned_limit_warm_servers_ = 0;  // mean number of warm servers when learned_limit_ was measured
    double limit_ = 0;                       // as of updated_at_; 0: not set
    Millis updated_at_ = 0;
};

}  // namespace elmbay::balancer
