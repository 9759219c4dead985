// Admission: how many attempts may be out at warm servers, and who may still add one.
//
// Little's law: a bound on what is out (the room) bounds the time it takes. The room follows how long answers
// take against their objective; errors say nothing about crowding, and it only grows while it is used.
//
// How far it may grow before anything hurts: servers that share their cores take no more than in proportion
// to what they hold, so n out at a share x of the objective lets no more than n * kTargetLoadRatio / x out
// come in at kTargetLoadRatio. The most that was learned so, fading in a minute, is the ceiling: a rush meets
// it at once, and not 1000 places that nobody ever saw carried. (docs/design/admission.md)
//
// A sidecar among so many that its part of the servers is less than one attempt (light) can't bound what is
// out by a count: it admits a share of its requests, as a breaker does. A late answer closes it but for
// probes, which grow with time; one in time half opens it, another opens it.
#pragma once

#include <algorithm>
#include <cmath>

#include "balancer/decaying.hpp"
#include "elmbay/learned_state.hpp"

namespace elmbay::balancer {

class Admission {
public:
    // Attempts out are kept to what brings the mean answer in at this share of its objective: more makes the
    // slower answers late, less leaves servers idle.
    static constexpr double kTargetLoadRatio = 0.55, kLimitGain = 0.5;
    // Of servers that have taught nothing yet, in multiples of our part of kMinAttemptsPerServer: where the
    // room begins, so that a sidecar that starts under load is soon at its settled room, and where its
    // ceiling is at the least.
    static constexpr double kInitialLimitMultiple = 5, kMinCeilingMultiple = 2;
    static constexpr double kMinLoadRatio = 0.05;  // answers quicker than this teach no more
    static constexpr double kQuickGrowth = 1;  // so far an answer opens a room that is full, with no crowd
    static constexpr Millis kLearnedLimitDecay = 60000;  // what was learned fades so
    static constexpr double kMinAttemptsPerServer =
        4;  // attempts at a server by all sidecars together that are always left
    static constexpr double kCircuitClosedLimit = 2, kCircuitHalfOpenLimit = 0.5,
                            kCircuitOpenLimit = 0.02;   // a light sidecar's room
    static constexpr Millis kCircuitOpenGrowth = 3000;  // by e in this time
    // Answers take this share of their objective: where a late one, by exp(-1 / share), is first a hundredth
    // and more. A nearer server or a quicker growing room is worth less than that.
    static constexpr double kBusyLoadRatio = 0.25;
    static constexpr double kMaxLatencyRatio = 1.5;  // of time to objective: what a turned-away one counts
    static constexpr double kPeakAnswers = 20;       // answers; twice that weight to each
    static constexpr Millis kAnswerDecay = 5000;     // as long as what servers complete (Aperture)
    // The part of the room that is there for every class, however little its worth, and all that repeats get:
    // a repeat's objective has been running since its first try.
    static constexpr double kCommonShare = 0.6;

    explicit Admission(const Settings& settings);
    // set_warm_servers() comes next.
    void set_siblings(std::uint32_t siblings) {
        min_attempts_per_server_ = kMinAttemptsPerServer / std::max(1U, siblings);
    }

    // What has been learned, into and out of a value; an earlier life's counts as of the time it was taken.
    void save_to(LearnedState& k, Millis now) const;
    void restore(const LearnedState& k, Millis taken_at, Millis now);
    // The pool has so many warm servers.
    void set_warm_servers(std::size_t warm);
    // A warm server answered; ratio: the time it took over its objective. out: attempts still out with it.
    void record_latency(double latency_ratio, int in_flight, Millis now);

    // Whether one more may go out. part: of the room, for its tenant. chance: drawn from 0 to 1, so that less
    // than one attempt can be allowed.
    template <class Chance>
    bool may_start_attempt(const RequestClass& request_class, bool repeat, double tenant_share, int in_flight,
                           Millis now, Chance chance) const {
        double mine = concurrency_limit(now) * (is_busy() ? tenant_share : 1) *
                      (kCommonShare + (1 - kCommonShare) * request_class.priority_weight /
                                          max_priority_weight_ * (repeat ? 0 : 1));
        if (in_flight >= mine) return false;
        // Of a share of the requests, first tries have the most: each stands for several repeats.
        if (mine < 1 && repeat) mine *= mine;
        return chance() <= mine;
    }
    bool has_capacity(int in_flight, Millis now) const { return in_flight < concurrency_limit(now); }

    bool is_busy() const { return load_ratio_.value > kBusyLoadRatio; }
    double load_ratio() const {
        return load_ratio_.value;
    }  // answers' time against their objective, at warm servers
    // Our part of what all sidecars together may always do at one server.
    double sidecar_share() const { return std::min(1.0, min_attempts_per_server_); }

private:
    double concurrency_limit(Millis now) const {
        return limit_ < 1 ? std::min(1.0, limit_ * std::exp((now - updated_at_) / kCircuitOpenGrowth))
                          : limit_;
    }
    bool uses_circuit_breaker() const { return min_limit_ < 1; }
    bool update_circuit_breaker(double latency_ratio, int in_flight);
    double limit_ceiling() const;

    double min_attempts_per_server_ = 0;  // our part of kMinAttemptsPerServer
    double max_priority_weight_ = 1e-9;   // of any class
    double min_limit_ =
        0;  // of the room: one attempt for each warm server, or our part of kMinAttemptsPerServer
    double min_ceiling_ = kCircuitClosedLimit;
    DecayingAverage load_ratio_;
    DecayingCounter recent_answers_;    // of late
    double mean_in_flight_ = 0;         // attempts out in the mean of those answers
    double mean_warm_servers_ = 0;      // warm servers in the same mean: who carried them
    double recent_peak_in_flight_ = 0;  // the most attempts out of late: a lull must not close the room
    double warm_servers_ = 0;           // servers of the pool
    double learned_limit_ =
        0;  // the most that sustainable_concurrency be out, as of updated_at_, and how many servers taught it
    double servers_behind_learned_limit_ = 0;
    double limit_ = 0;  // at updated_at_; 0: none has been given yet
    Millis updated_at_ = 0;
};

}  // namespace elmbay::balancer
