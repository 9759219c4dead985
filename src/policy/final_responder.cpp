#include "policy/final_responder.hpp"

#include <algorithm>

namespace hollybeam {

void FinalResponder::finish(Request& r) {
    if (r.ended || r.streaming) return;
    for (Attempt& a : r.attempts) a.timed_out = a.out && context_->now() >= r.deadline;
    cancel_all(r);
    // Harmless when it comes back.
    if (const Millis back = retry_in(r); r.may_refuse(context_->now() + back))
        context_->act(Refuse{r.id, back});
    else
        context_->act(GiveUp{r.id});
    r.ended = true;
    requests_->done(r.id);
}

// When to come back: what is out now has half its time left in the mean, and then leaves its place. No
// sooner than what we would have held the request for.
Millis FinalResponder::retry_in(const Request& r) const {
    return r.kind.aim * std::max(kHold, std::min(1.0, admission_->crowd()) / 2);
}

void FinalResponder::cancel_all(const Request& r) {
    for (std::uint32_t i = 0; settings_->may_cancel && i < r.attempts.size(); ++i)
        if (r.attempts[i].out) context_->act(Cancel{r.id, i});
}

}  // namespace hollybeam
