#include "balancer/ejection.hpp"

#include <algorithm>
#include <cmath>

namespace elmbay::balancer {

OutlierEjection::Verdict OutlierEjection::record_outcome(Server& s, const AttemptResult& c, Millis now) {
    const bool success = c.outcome == Outcome::success && !c.late;
    const bool says_something = c.outcome != Outcome::cancelled && c.outcome != Outcome::not_sent;
    if (s.ejection_state == EjectionState::probing && c.probe) {
        if (!says_something) {
            s.ejection_state = EjectionState::ejected;  // undecided: the next request is the trial
            return Verdict::none;
        }
        if (!success) return eject(s, now);
        s.ejection_state = EjectionState::healthy;
        s.window.clear();
        return Verdict::restored;
    }
    if (!says_something || s.ejection_state != EjectionState::healthy) return Verdict::none;
    // A connection that does not come up is another matter than the answers before it: the process, or the
    // way there, is no longer what gave them. What others do is no excuse for it either; the cap alone is.
    const bool unreached = c.outcome == Outcome::connect_failed;
    if (unreached && s.window.successes() > 0) clear_window(s);
    add_outcome(s, success);
    const bool slow = c.late || c.outcome == Outcome::timed_out;
    return !success && below_threshold(s, unreached) && may_eject(c, slow) ? eject(s, now) : Verdict::none;
}

OutlierEjection::Verdict OutlierEjection::eject(Server& s, Millis now) {
    const bool again = s.ejection_state != EjectionState::healthy;
    s.ejection_state = EjectionState::ejected;
    s.backoff_until = now + kEjectionTime;
    return again ? Verdict::ejected_again : Verdict::ejected;
}

void OutlierEjection::add_outcome(Server& s, bool success) {
    if (s.in_pool) pool_successes_ -= s.window.successes(), pool_outcomes_ -= s.window.filled();
    s.window.add(success);
    if (s.in_pool) pool_successes_ += s.window.successes(), pool_outcomes_ += s.window.filled();
}

void OutlierEjection::clear_window(Server& s) {
    if (s.in_pool) pool_successes_ -= s.window.successes(), pool_outcomes_ -= s.window.filled();
    s.window.clear();
}

void OutlierEjection::compare_with_pool(const std::vector<Server*>& pool) {
    pool_successes_ = pool_outcomes_ = 0;
    for (const Server* s : pool)
        pool_successes_ += s->window.successes(), pool_outcomes_ += s->window.filled();
}

// 0.9 of the others' success share, less three standard errors of a window of that share. While the others
// don't fail, this is 0.9 and nothing else.
bool OutlierEjection::below_threshold(const Server& s, bool alone) const {
    const double good = pool_successes_ - (s.in_pool ? s.window.successes() : 0);
    const double all = pool_outcomes_ - (s.in_pool ? s.window.filled() : 0);
    const double level = all > 0 && !alone ? good / all : 1;
    const double noise = std::sqrt(level * (1 - level) / static_cast<double>(OutcomeWindow::kSize));
    const double filled = s.window.filled();
    const double benefit = std::min(kPriorSuccesses, OutcomeWindow::kSize - filled);
    return (s.window.successes() + benefit) / (filled + benefit) <
           kMinSuccessRate * level - kStandardErrors * noise;
}

// Panic threshold: half of the listed servers stay in the pool, whatever their windows say, and three
// quarters if it is for slow answers: in a crowd the slow machines are still needed.
bool OutlierEjection::may_eject(const AttemptResult& c, bool slow) {
    return (slow ? 4 : 2) * (c.ejected_servers + 1) <= c.listed_servers;
}

}  // namespace elmbay::balancer
