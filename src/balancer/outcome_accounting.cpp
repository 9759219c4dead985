#include "balancer/outcome_accounting.hpp"

#include <algorithm>

namespace elmbay::balancer {

void OutcomeAccounting::record(Server& server, const Request& request, const Attempt& attempt,
                               const AttemptEnded& event) {
    --server.in_flight;
    const Millis now = parts_.context.now();
    const bool warming_up = parts_.slow_start.is_warming_up(server, now);
    // The duration of an upgrade says nothing of that of work.
    if (!request.session) {
        record_duration(server, request, event, warming_up);
        const bool completed = event.outcome == Outcome::success;
        if (completed && !attempt.slow_start) {
            parts_.aperture.record_completion(server.info.machine_type, now);
        }
    }
    const bool late = event.duration > request.request_class.latency_objective && !warming_up;
    record_outcome(server, event.outcome, attempt.probe, late);
}

void OutcomeAccounting::record_duration(Server& server, const Request& request, const AttemptEnded& event,
                                        bool warming_up) {
    switch (event.outcome) {
        case Outcome::rejected:
            record_latency(server, Admission::kMaxLatencyRatio, warming_up);
            break;
        case Outcome::success:
        case Outcome::timed_out:
            record_latency(server, std::max(0.0, event.duration) / request.request_class.latency_objective,
                           warming_up);
            break;
        default:
            break;  // errors and what was cancelled say nothing of the load
    }
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
    const OutlierEjection::AttemptResult result{.outcome = outcome,
                                                .probe = probe,
                                                .late = late,
                                                .listed_servers = parts_.aperture.listed_count(),
                                                .ejected_servers = parts_.aperture.ejected().size()};
    const Verdict verdict = parts_.ejection.record_outcome(server, result, now);
    if (verdict == Verdict::none) return;
    if (verdict == Verdict::ejected) parts_.context.emit(Log{"removed from the pool", server.info.id});
    if (verdict == Verdict::restored) parts_.context.emit(Log{"restored after a trial", server.info.id});
    parts_.aperture.set_ejected(&server, verdict != Verdict::restored);
    parts_.pool.draw_pool(now);
}

}  // namespace elmbay::balancer
