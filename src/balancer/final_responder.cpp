#include "balancer/final_responder.hpp"

#include <algorithm>

namespace elmbay::balancer {

void FinalResponder::finish(Request& request) {
    if (request.ended || request.streaming) return;
    const Millis now = context_->now();
    for (Attempt& attempt : request.attempts) {
        attempt.timed_out = attempt.in_flight && now >= request.deadline;
    }
    cancel_all(request);
    const Millis delay = retry_after(request);
    if (request.may_be_rejected(now + delay)) {
        context_->emit(Reject{request.id, delay});
    } else {
        context_->emit(Fail{request.id});
    }
    request.ended = true;
    requests_->mark_for_removal(request.id);
}

// An attempt in flight has on average half of its time left before it frees its capacity. The delay is at
// least the time that the request might have waited for capacity.
Millis FinalResponder::retry_after(const Request& request) const {
    const double remaining_share = std::min(1.0, admission_->load_ratio()) / 2;
    return request.request_class.latency_objective * std::max(kMaxWaitShare, remaining_share);
}

void FinalResponder::cancel_all(const Request& request) {
    if (!settings_->supports_cancel) return;
    for (std::uint32_t index = 0; index < request.attempts.size(); ++index) {
        if (request.attempts[index].in_flight) context_->emit(Cancel{request.id, index});
    }
}

}  // namespace elmbay::balancer
