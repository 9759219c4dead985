#include "balancer/slow_start.hpp"

#include <algorithm>

namespace elmbay::balancer {

double SlowStart::refill_tokens(Server& s, const Traffic& t, double latency_ratio, Millis now) const {
    const double age = std::max(0.0, now - s.process.started_at) / duration_;
    const double share = min_share_ + (1 - min_share_) * std::min(1.0, age);
    // While its answers come in time most of what would push it over; else just its share. Within that its
    // outstanding requests decide, as everywhere.
    const double feed =
        latency_ratio > kSlowLatencyRatio ? 1 : std::max(1.0, kOverloadMargin * overload_multiple_);
    const double fed_rate = feed * share * t.completion_rate;
    // Never less than probes. But all that have it in sight together no more than so many in that time: a
    // floor for each sidecar adds up, with their number, to what fells it.
    const double probes = std::min(1.0, t.probes / std::max(1.0, t.sidecars)) / t.probe_interval;
    s.slow_start_tokens =
        std::min(s.slow_start_tokens + (now - s.slow_start_tokens_at) * std::max(fed_rate, probes), 1.0);
    s.slow_start_tokens_at = now;
    return s.slow_start_tokens;
}

}  // namespace elmbay::balancer
