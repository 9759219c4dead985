#pragma once

#include <algorithm>
#include <cmath>

#include "balancer/decaying.hpp"
#include "elmbay/learned_state.hpp"

namespace elmbay::balancer {

/// Decides how many attempts may be in flight at warm servers, and which requests may add one.
///
/// The concurrency limit follows the load ratio: the mean response time of warm servers as a multiple of the
/// latency objective. By Little's law a bound on what is in flight bounds the time that it takes. Errors say
/// nothing about load and are not looked at.
///
/// With r the load ratio, T = kTargetLoadRatio, n the attempts still in flight as a response comes in, p
/// their recent peak, and L the limit:
///
///     r > T:                             L := min(L, p + 1) + kLimitGain * (T - r) * min(1, L)
///     r <= kBusyLoadRatio, n + 2 >= L:   L := L + kQuickGrowth
///     otherwise:                         L := L + kLimitGain * (T - r)
///
/// The limit stays between a floor (one attempt for each warm server, or this sidecar's share of
/// kMinAttemptsPerServer if that is less) and a ceiling. The ceiling is known before anything is late:
/// servers that share their cores slow down at most in proportion to what they hold, so with n in flight in
/// the mean, n * T / r come in at the target. The largest such value, decaying over kLearnedLimitDecay and
/// scaled by the warm servers left, is the ceiling. It is the idea of gradient limits (TCP Vegas, Netflix's
/// concurrency-limits) with the objective in place of the best time ever seen. See docs/design/admission.md.
///
/// A sidecar among so many that its share of the floor is less than one attempt cannot bound concurrency by a
/// count. It admits a share of its requests instead, as a circuit breaker does: a late response opens the
/// circuit, so that only probes pass, which grow in number with time. A response in time half-opens it,
/// another one closes it.
///
/// Owned by Balancer::Impl; not thread-safe. Of fixed size.
class Admission {
public:
    /// The load ratio that the limit is steered to. More makes the slower responses late, less leaves servers
    /// idle.
    static constexpr double kTargetLoadRatio = 0.55;
    /// Attempts that one response moves the limit by, for each unit that the load ratio is off the target.
    static constexpr double kLimitGain = 0.5;
    /// The limit with which a sidecar starts, as a multiple of its share of kMinAttemptsPerServer at each
    /// warm server. One that starts under load is then soon at its settled limit.
    static constexpr double kInitialLimitMultiple = 5;
    /// The lowest ceiling, as a multiple of the same share.
    static constexpr double kMinCeilingMultiple = 2;
    /// Responses quicker than this share of their objective raise the learned limit no further.
    static constexpr double kMinLoadRatio = 0.05;
    /// Attempts that one response raises a limit by that is in use to the full, while the pool is not busy.
    static constexpr double kQuickGrowth = 1;
    /// Decay time of the learned limit, in milliseconds.
    static constexpr Millis kLearnedLimitDecay = 60000;
    /// Attempts at one server that all sidecars together may always have in flight. Where slow service alone
    /// makes responses late, rejecting more requests does not help and idles the servers.
    static constexpr double kMinAttemptsPerServer = 4;
    /// The limit of a closed circuit: every request passes. It is also the lowest ceiling of any sidecar.
    static constexpr double kCircuitClosedLimit = 2;
    /// The share of requests that pass a half-open circuit.
    static constexpr double kCircuitHalfOpenLimit = 0.5;
    /// The share of requests that pass a circuit that has just opened: the probes.
    static constexpr double kCircuitOpenLimit = 0.02;
    /// The share of probes grows by a factor of e in this many milliseconds.
    static constexpr Millis kCircuitOpenGrowth = 3000;
    /// The load ratio above which the pool counts as busy. At this mean a response is late with the
    /// probability exp(-1 / ratio), which first exceeds one in a hundred about here. A nearer server and a
    /// quicker growth of the limit are worth less than that.
    static constexpr double kBusyLoadRatio = 0.25;
    /// The largest sample of the load ratio, and what a rejected attempt counts as.
    static constexpr double kMaxLatencyRatio = 1.5;
    /// Responses over which the recent peak of attempts in flight decays.
    static constexpr double kPeakAnswers = 20;
    /// Decay time of the load ratio, in milliseconds. Equals Aperture::kRateDecay.
    static constexpr Millis kAnswerDecay = 5000;
    /// The share of the limit that is open to every class, however low its weight. It is all that retries of
    /// clients get, as their objective has been running since their first try.
    static constexpr double kCommonShare = 0.6;

    /// @param settings validated ones
    explicit Admission(const Settings& settings);

    /// Sets the number of sidecars that share the servers, this one included. Call set_warm_servers() next.
    void set_siblings(std::uint32_t siblings) {
        min_attempts_per_server_ = kMinAttemptsPerServer / std::max(1U, siblings);
    }
    /// Sets the number of warm servers in the pool, and with it the floor and the lowest ceiling.
    void set_warm_servers(std::size_t warm);
    /// Records the response of a warm server.
    /// @param latency_ratio the response time over the latency objective, 0 to kMaxLatencyRatio
    /// @param in_flight     attempts that are still in flight at warm servers
    void record_latency(double latency_ratio, int in_flight, Millis now);

    /// Writes what has been learned into `learned_state`, as of `now`.
    void save_to(LearnedState& learned_state, Millis now) const;
    /// Takes over what an earlier run had learned by `taken_at`.
    void restore(const LearnedState& learned_state, Millis taken_at, Millis now);

    /// Whether a request may add an attempt at a warm server.
    /// @param is_retry     the request is its client's retry
    /// @param tenant_share the tenant's share of the limit while the pool is busy, above 0 to 1
    /// @param in_flight    attempts in flight at warm servers
    /// @param random_unit  draws from 0 to 1, for limits below one attempt; called at most once
    template <class RandomUnit>
    bool may_start_attempt(const RequestClass& request_class, bool is_retry, double tenant_share,
                           int in_flight, Millis now, RandomUnit random_unit) const {
        const double class_share = kCommonShare + (1 - kCommonShare) * request_class.priority_weight /
                                                      max_priority_weight_ * (is_retry ? 0 : 1);
        double limit = concurrency_limit(now) * (is_busy() ? tenant_share : 1) * class_share;
        if (in_flight >= limit) return false;
        // Where only a share of the requests passes, first tries go before retries: each stands for several.
        if (limit < 1 && is_retry) limit *= limit;
        return random_unit() <= limit;
    }
    /// Whether the request with the highest claim could add an attempt.
    bool has_capacity(int in_flight, Millis now) const { return in_flight < concurrency_limit(now); }

    /// Whether the load ratio is above kBusyLoadRatio.
    bool is_busy() const { return load_ratio_.value > kBusyLoadRatio; }
    /// Mean response time of warm servers over the latency objective, 0 to kMaxLatencyRatio.
    double load_ratio() const { return load_ratio_.value; }
    /// This sidecar's share of kMinAttemptsPerServer, above 0 to 1.
    double sidecar_share() const { return std::min(1.0, min_attempts_per_server_); }

private:
    // The limit at `now`: the share of probes that an open circuit lets pass grows with time.
    double concurrency_limit(Millis now) const {
        if (limit_ >= 1) return limit_;
        return std::min(1.0, limit_ * std::exp((now - updated_at_) / kCircuitOpenGrowth));
    }
    bool uses_circuit_breaker() const { return min_limit_ < 1; }
    void learn_limit();
    // Returns whether the circuit breaker alone decides for now.
    bool update_circuit_breaker(double latency_ratio, int in_flight);
    void adjust_limit(int in_flight);
    double limit_ceiling() const;

    double min_attempts_per_server_ = 0;  // this sidecar's share of kMinAttemptsPerServer, not capped
    double max_priority_weight_ = 1e-9;   // of all classes
    double min_limit_ = 0;                // the floor
    double min_ceiling_ = kCircuitClosedLimit;
    DecayingAverage load_ratio_;
    DecayingCounter recent_answers_;           // by kAnswerDecay
    double mean_in_flight_ = 0;                // over the recent answers
    double mean_warm_servers_ = 0;             // over the recent answers
    double recent_peak_in_flight_ = 0;         // a lull in traffic must not lower the limit
    double warm_servers_ = 0;                  // in the pool
    double learned_limit_ = 0;                 // as of updated_at_
    double servers_behind_learned_limit_ = 0;  // mean warm servers when it was learned
    double limit_ = 0;                         // as of updated_at_; 0: none has been set yet
    Millis updated_at_ = 0;
};

}  // namespace elmbay::balancer
