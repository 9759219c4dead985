#include "balancer/outcome_accounting.hpp"

#include <algorithm>

namespace elmbay::balancer {

void OutcomeAccounting::record(Server& server, const Request& request, const Attempt& attempt,
                               const AttemptEnded& event) {
    --server.in_flight;
    const Millis now = parts_.context.now();
    const bool warming_up = parts_.slow_start.is_warming_up(server, now);
    const bool completed = event.outcome == Outcome::success;
    // How long an upgrade takes says nothing of how long work does.
    if (!request.session) {
        if (event.outcome == Outcome::rejected)
            record_latency(server, Admission::kMaxLatencyRatio, warming_up);
        else if (completed || event.outcome == Outcome::timed_out)
            record_latency(server, std::max(0.0, event.duration) / request.request_class.latency_objective,
                           warming_up);
        if (completed && !attempt.slow_start)
            parts_.aperture.record_completion(server.info.machine_type, now);
    }
    const bool late = event.duration > request.request_class.latency_objective && !warming_up;
    record_outcome(server, event.outcome, attempt.probe, late);
}

void OutcomeAccounting::record_latency(Server& server, double latency_ratio, bool warming_up) {
    const Millis now = parts_.context.now();
    const double bounded = std::min(Admission::kMaxLatencyRatio, latency_ratio);
    parts_.latency.record(server, bounded, warming_up, now);
    if (!warming_up) parts_.admission.record_latency(bounded, parts_.pool.in_flight(), now);
}

void OutcomeAccounting::record_outcome(Server& server, Outcome outcome, bool probe, bool late) {
    using Verdict = OutlierEjection::Verdict;
    const Millis now = parts_.context.now();
    const OutlierEjection::AttemptResult ended{.outcome = outcome,
                                               .probe = probe,
                                               .late = late,
                                               .listed_servers = parts_.aperture.listed_count(),
                                               .ejected_servers = parts_.aperture.ejected().size()};
    const Verdict verdict = parts_.ejection.record_outcome(server, ended, now);
    if (verdict == Verdict::none) return;
    if (verdict == Verdict::ejected) parts_.context.emit(Log{"removed from the pool", server.info.id});
    if (verdict == Verdict::restored) parts_.context.emit(Log{"restored after a trial", server.info.id});
    parts_.aperture.set_ejected(&server, verdict != Verdict::restored);
    parts_.pool.draw_pool(now);
}

}  // namespace elmbay::balancer
