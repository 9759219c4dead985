#include "balancer/outcome_accounting.hpp"

#include <algorithm>

namespace elmbay::balancer {

void OutcomeAccounting::record(Server& server, const Request& request, const Attempt& attempt,
                               const AttemptEnded& event) {
    --server.outstanding;
    const Millis now = parts_.context.now();
    const bool cold = parts_.cold.is_cold(server, now);
    const bool completed = event.outcome == Outcome::success;
    // How long an upgrade takes says nothing of how long work does.
    if (!request.session) {
        if (event.outcome == Outcome::rejected)
            record_latency(server, Admission::kMaxRatio, cold);
        else if (completed || event.outcome == Outcome::timed_out)
            record_latency(server, std::max(0.0, event.duration) / request.kind.latency_objective, cold);
        if (completed && !attempt.cold) parts_.aperture.completed(server.info.machine_type, now);
    }
    const bool late = event.duration > request.kind.latency_objective && !cold;
    judge(server, event.outcome, attempt.trial, late);
}

void OutcomeAccounting::record_latency(Server& server, double ratio, bool cold) {
    const Millis now = parts_.context.now();
    const double bounded = std::min(Admission::kMaxRatio, ratio);
    parts_.pace.answered(server, bounded, cold, now);
    if (!cold) parts_.admission.answered(bounded, parts_.pool.outstanding(), now);
}

void OutcomeAccounting::judge(Server& server, Outcome outcome, bool trial, bool late) {
    using Verdict = OutlierEjection::Verdict;
    const Millis now = parts_.context.now();
    const OutlierEjection::Case ended{.outcome = outcome,
                                      .trial = trial,
                                      .late = late,
                                      .listed = parts_.aperture.listed(),
                                      .out = parts_.aperture.out().size()};
    const Verdict verdict = parts_.ejection.judge(server, ended, now);
    if (verdict == Verdict::none) return;
    if (verdict == Verdict::removed) parts_.context.emit(Log{"removed from the pool", server.info.id});
    if (verdict == Verdict::restored) parts_.context.emit(Log{"restored after a trial", server.info.id});
    parts_.aperture.set_out(&server, verdict != Verdict::restored);
    parts_.pool.draw_pool(now);
}

}  // namespace elmbay::balancer
