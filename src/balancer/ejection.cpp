#include "balancer/ejection.hpp"

#include <algorithm>
#include <cmath>

namespace elmbay::balancer {

OutlierEjection::Verdict OutlierEjection::judge(Server& s, const Case& c, Millis now) {
    const bool success = c.outcome == Outcome::success && !c.late;
    const bool says_something = c.outcome != Outcome::cancelled && c.outcome != Outcome::not_sent;
    if (s.ejection_state == EjectionState::probing && c.trial) {
        if (!says_something) {
            s.ejection_state = EjectionState::ejected;  // undecided: the next request is the trial
            return Verdict::none;
        }
        if (!success) return remove(s, now);
        s.ejection_state = EjectionState::healthy;
        s.window.clear();
        return Verdict::restored;
    }
    if (!says_something || s.ejection_state != EjectionState::healthy) return Verdict::none;
    // A connection that does not come up is another matter than the answers before it: the process, or the
    // way there, is no longer what gave them. What others do is no excuse for it either; the cap alone is.
    const bool unreached = c.outcome == Outcome::connect_failed;
    if (unreached && s.window.successes() > 0) forget_window(s);
    add(s, success);
    const bool slow = c.late || c.outcome == Outcome::timed_out;
    return !success && below_threshold(s, unreached) && may_remove(c, slow) ? remove(s, now) : Verdict::none;
}

OutlierEjection::Verdict OutlierEjection::remove(Server& s, Millis now) {
    const bool again = s.ejection_state != EjectionState::healthy;
    s.ejection_state = EjectionState::ejected;
    s.backoff_until = now + kBackoff;
    return again ? Verdict::removed_again : Verdict::removed;
}

void OutlierEjection::add(Server& s, bool success) {
    if (s.in_pool) good_ -= s.window.successes(), all_ -= s.window.filled();
    s.window.add(success);
    if (s.in_pool) good_ += s.window.successes(), all_ += s.window.filled();
}

void OutlierEjection::forget_window(Server& s) {
    if (s.in_pool) good_ -= s.window.successes(), all_ -= s.window.filled();
    s.window.clear();
}

void OutlierEjection::compare_with(const std::vector<Server*>& pool) {
    good_ = all_ = 0;
    for (const Server* s : pool) good_ += s->window.successes(), all_ += s->window.filled();
}

// 0.9 of the others' success share, less three standard errors of a window of that share. While the others
// don't fail, this is 0.9 and nothing else.
bool OutlierEjection::below_threshold(const Server& s, bool alone) const {
    const double good = good_ - (s.in_pool ? s.window.successes() : 0);
    const double all = all_ - (s.in_pool ? s.window.filled() : 0);
    const double level = all > 0 && !alone ? good / all : 1;
    const double noise = std::sqrt(level * (1 - level) / static_cast<double>(OutcomeWindow::kSize));
    const double filled = s.window.filled();
    const double benefit = std::min(kBenefit, OutcomeWindow::kSize - filled);
    return (s.window.successes() + benefit) / (filled + benefit) < kThreshold * level - kDeviations * noise;
}

// Panic threshold: half of the listed servers stay in the pool, whatever their windows say, and three
// quarters if it is for slow answers: in a crowd the slow machines are still needed.
bool OutlierEjection::may_remove(const Case& c, bool slow) {
    return (slow ? 4 : 2) * (c.out + 1) <= c.listed;
}

}  // namespace elmbay::balancer
