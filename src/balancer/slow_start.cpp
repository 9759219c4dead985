#include "balancer/slow_start.hpp"

#include <algorithm>

namespace elmbay::balancer {

double SlowStart::refill_tokens(Server& server, const Traffic& traffic, double latency_ratio,
                                Millis now) const {
    const double age = std::max(0.0, now - server.process.started_at) / duration_;
    const double capacity_share = min_share_ + (1 - min_share_) * std::min(1.0, age);
    // A server that responds in time is sent most of the rate that would overload it. Within that rate its
    // attempts in flight decide, as for every server.
    const bool is_slow = latency_ratio > kSlowLatencyRatio;
    const double rate_factor = is_slow ? 1 : std::max(1.0, kOverloadMargin * overload_multiple_);
    const double send_rate = rate_factor * capacity_share * traffic.completion_rate;
    // The rate is at least that of the probes. All sidecars share the probes, because with a minimum for each
    // sidecar the total would grow with their number until it overloads the server.
    const double own_probes = std::min(1.0, traffic.probes / std::max(1.0, traffic.sidecars));
    const double probe_rate = own_probes / traffic.probe_interval;
    const double refill = (now - server.slow_start_tokens_at) * std::max(send_rate, probe_rate);
    server.slow_start_tokens = std::min(server.slow_start_tokens + refill, 1.0);
    server.slow_start_tokens_at = now;
    return server.slow_start_tokens;
}

}  // namespace elmbay::balancer
