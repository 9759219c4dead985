#include "balancer/outcome_accounting.hpp"

#include <algorithm>

namespace elmbay::balancer {

void OutcomeAccounting::record(Server& server, const Request& request, const Attempt& attempt,
                               const AttemptEnded& event) {
    --server.in_flight;
    const Millis now = components_.context.now();
    const bool warming_up = components_.slow_start.is_warming_up(server, now);
    // The duration of an upgrade does not represent the duration of request processing.
    if (!request.session) {
        record_duration(server, request, event, warming_up);
        const bool completed = event.outcome == Outcome::success;
        if (completed && !attempt.slow_start) {
            components_.aperture.record_completion(server.info.machine_type, now);
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
            break;  // errors and cancelled attempts carry no information about load
    }
}

void OutcomeAccounting::record_latency(Server& server, double latency_ratio, bool warming_up) {
    const Millis now = components_.context.now();
    const double bounded = std::min(Admission::kMaxLatencyRatio, latency_ratio);
    components_.latency.record(server, bounded, warming_up, now);
    if (!warming_up) components_.admission.record_latency(bounded, components_.pool.in_flight(), now);
}

void OutcomeAccounting::record_outcome(Server& server, Outcome outcome, bool probe, bool late) {
    using Transition = OutlierEjection::Transition;
    const Millis now = components_.context.now();
    const OutlierEjection::AttemptResult result{.outcome = outcome,
                                                .probe = probe,
                                                .late = late,
                                                .listed_servers = components_.aperture.listed_count(),
                                                .ejected_servers = components_.aperture.ejected().size()};
    const Transition transition = components_.ejection.record_outcome(server, result, now);
    if (transition == Transition::none) return;
    if (transition == Transition::ejected)
        components_.context.emit(Log{"ejected from the pool", server.info.id});
    if (transition == Transition::restored)
        components_.context.emit(Log{"restored after a successful probe", server.info.id});
    components_.aperture.set_ejected(&server, transition != Transition::restored);
    components_.pool.draw_pool(now);
}

}  // namespace elmbay::balancer
