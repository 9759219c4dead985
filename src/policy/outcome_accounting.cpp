#include "policy/outcome_accounting.hpp"

#include <algorithm>

namespace hollybeam {

void OutcomeAccounting::book(Server& s, const Request& r, const Attempt& a, const AttemptEnded& e) {
    --s.outstanding;
    const Millis now = parts_.context.now();
    const bool is_cold_now = parts_.cold.is_cold(s, now), turned_away = e.outcome == Outcome::saturated;
    // How long an upgrade takes says nothing of how long work does.
    const bool work = !r.session;
    if (work && (turned_away || e.outcome == Outcome::completed || e.outcome == Outcome::overdue)) {
        const double ratio = turned_away
                                 ? Admission::kMostRatio
                                 : std::min(Admission::kMostRatio, std::max(0.0, e.duration) / r.kind.aim);
        parts_.pace.answered(s, ratio, is_cold_now, now);
        if (!is_cold_now) parts_.admission.answered(ratio, parts_.pool.outstanding(), now);
    }
    if (work && e.outcome == Outcome::completed && !a.cold) parts_.aperture.completed(s.info.kind, now);
    const bool late = e.duration > r.kind.aim && !is_cold_now;
    judge(s, e.outcome, a.trial, late);
}

void OutcomeAccounting::judge(Server& s, Outcome outcome, bool trial, bool late) {
    using Verdict = OutlierEjection::Verdict;
    const Millis now = parts_.context.now();
    const Verdict verdict = parts_.ejection.judge(
        s, {outcome, trial, late, parts_.aperture.listed(), parts_.aperture.out().size()}, now);
    if (verdict == Verdict::none) return;
    if (verdict == Verdict::removed) parts_.context.act(Log{"removed from the pool", s.info.id});
    if (verdict == Verdict::restored) parts_.context.act(Log{"restored after a trial", s.info.id});
    parts_.aperture.set_out(&s, verdict != Verdict::restored);
    parts_.pool.draw_pool(now);
}

}  // namespace hollybeam
