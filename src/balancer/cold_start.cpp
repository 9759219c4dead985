#include "balancer/cold_start.hpp"

#include <algorithm>

namespace elmbay::balancer {

double ColdStart::tokens(Server& s, const Traffic& t, double pace, Millis now) const {
    const double age = std::max(0.0, now - s.process.started_at) / within_;
    const double share = from_ + (1 - from_) * std::min(1.0, age);
    // While its answers come in time most of what would push it over; else just its share. Within that its
    // outstanding requests decide, as everywhere.
    const double feed = pace > kSlow ? 1 : std::max(1.0, kFeed * fall_);
    const double fed = feed * share * t.each;
    // Never less than trials. But all that have it in sight together no more than so many in that time: a
    // floor for each sidecar adds up, with their number, to what fells it.
    const double trials = std::min(1.0, t.trials / std::max(1.0, t.sight)) / t.trial_every;
    s.slow_start_tokens = std::min(s.slow_start_tokens + (now - s.tokens_at) * std::max(fed, trials), 1.0);
    s.tokens_at = now;
    return s.slow_start_tokens;
}

}  // namespace elmbay::balancer
