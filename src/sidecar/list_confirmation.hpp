/// @file
/// Limits how long the endpoint list of the configuration is used without a confirmation of discovery.
#pragma once

#include <functional>
#include <utility>

#include "base/timing.hpp"

namespace elmbay {

/// Tracks whether discovery has confirmed the endpoint list in this run of the process.
///
/// The list of the configuration may be older than the list of the agent on this machine. Where lists are
/// pushed, the sidecar must comply with the agent's list from the start of its process (STANDING), also while
/// discovery is down and the agent does not respond. So without a confirmation any server of the list may be
/// draining, and requests may be sent by that list only within the grace period of a drain.
///
/// | state | event | next state |
/// | --- | --- | --- |
/// | provisional | confirm() | confirmed |
/// | provisional | kGraceShare of the drain grace is over: suspend() | suspended |
/// | suspended | confirm(): resume() | confirmed |
///
/// Not thread-safe. Owned by Sidecar.
class ListConfirmation {
public:
    /// Share of the drain grace in which requests may be sent by a list that is not confirmed. The rest is
    /// for the start of the process, and for a process that is held up (STANDING: up to 0.15 s).
    static constexpr double kGraceShare = 0.5;
    /// Longest time from the start that a sidecar reports that it is not ready because its list is not
    /// confirmed. Until then its clients wait instead of being rejected. Restarted sidecars must be ready
    /// within 6 s (STANDING).
    static constexpr Millis kMaxReadinessDelay = 5000;

    /// Callbacks to the owner.
    struct Handlers {
        std::function<void()> suspend;  ///< no new request may be sent to any server
        std::function<void()> resume;   ///< requests may be sent again, by the current list
    };

    /// The referenced objects must outlive this one and the timers that it sets.
    ListConfirmation(TimerQueue& timers, const Clock& clock, Handlers handlers)
        : timers_(timers), clock_(clock), handlers_(std::move(handlers)), started_at_(clock.now()) {}

    /// Requires a confirmation. Without this call the list counts as confirmed. Calls suspend() at once if
    /// the grace period is already over.
    /// @param drain_grace time within which sending to a draining server must stop, counted from the
    ///                    construction of this object.
    void require(Millis drain_grace);
    /// Records that discovery has confirmed the list. To be called after the list was applied.
    void confirm();

    /// @return whether the sidecar may report that it is ready: the list is confirmed, or the sidecar has
    ///         waited for kMaxReadinessDelay.
    bool allows_readiness() const {
        return state_ == State::confirmed || clock_.now() >= started_at_ + kMaxReadinessDelay;
    }

private:
    enum class State { provisional, suspended, confirmed };

    void expire();

    TimerQueue& timers_;
    const Clock& clock_;
    const Handlers handlers_;
    const Millis started_at_;
    State state_ = State::confirmed;
    TimerQueue::Key timer_{};
};

}  // namespace elmbay
