// Cold start (rule 4: no cold server pushed over).
//
// A server of age a does at least slow_start_min_share of its work, rising evenly to all of it at
// slow_start_duration. It is sent that share of what a warm server of its kind carries for us (not of the
// mean of all: what starting servers lag behind must not halve their feed, and what large ones carry would
// fell a small one), so the sum over all sidecars stays within what it can do without agreement among them.
// Carried, not sent or asked for: in a storm of retries those are many times what a warm server can do. A
// token is one send; a bucket holds one at most, so that nothing is saved up for a burst.
#pragma once

#include "balancer/server.hpp"

namespace elmbay::balancer {

class SlowStart {
public:
    static constexpr double kOverloadMargin =
        0.7;  // of the multiple that fells it; the rest is for unlike machines
    static constexpr double kSlowLatencyRatio =
        0.55;  // answers that take so much of their objective: just its share

    // What the sidecar is and does at the moment.
    struct Traffic {
        double completion_rate = 0;                 // requests a ms that a warm one like it completes for us
        double sidecars = 1;                        // sidecars that have this server in their pool
        Millis probe_interval = 10000, probes = 4;  // all of them together may try it so often in that time
    };

    explicit SlowStart(const Settings& settings)
        : min_share_(settings.slow_start_min_share),
          duration_(settings.slow_start_duration),
          overload_multiple_(settings.overload_multiple) {}

    bool is_warming_up(const Server& s, Millis now) const {
        return duration_ > 0 && now < s.process.started_at + duration_;
    }
    // Another process under the same name, or a new one. depth (0 to 1, by chance): an empty bucket, at a
    // different depth for each sidecar, as first tokens must not fall together.
    static void begin(Server& s, double depth, Millis now) {
        s.slow_start_tokens = -depth, s.slow_start_tokens_at = now;
    }
    // Sends that it may take now. latency_ratio: what its answers take of their objective.
    double refill_tokens(Server& s, const Traffic& t, double latency_ratio, Millis now) const;
    static void take_token(Server& s) { s.slow_start_tokens -= 1; }

private:
    double min_share_;
    Millis duration_;
    double overload_multiple_;
};

}  // namespace elmbay::balancer
