#include "sidecar/list_confirmation.hpp"

#include <utility>

namespace elmbay {

void ListConfirmation::require(Millis drain_grace) {
    state_ = State::provisional;
    const Millis expires_at = started_at_ + drain_grace * kGraceShare;
    if (clock_.now() >= expires_at)
        expire();
    else
        timer_ = timers_.set(expires_at, [this] { expire(); });
}

void ListConfirmation::expire() {
    timer_ = {};
    state_ = State::suspended;
    handlers_.suspend();
}

void ListConfirmation::confirm() {
    if (state_ == State::confirmed) return;
    timers_.cancel(timer_);
    timer_ = {};
    const State previous = std::exchange(state_, State::confirmed);
    if (previous == State::suspended) handlers_.resume();
}

}  // namespace elmbay
