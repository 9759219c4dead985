#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "balancer/event_context.hpp"

namespace elmbay::balancer {

/// The timers that have been set and have not fired, and what each is for.
///
/// Owned by Balancer::Impl; not thread-safe. Bound: two timers for each request (deadline, end of its wait)
/// and one for each failed call for the endpoint list; each leaves when it fires. Tokens count up from 1 and
/// are never used twice.
class TimerTable {
public:
    /// What a timer is for.
    struct Timer {
        std::optional<RequestId> request;  ///< none: another call for the endpoint list
    };

    /// @param context must outlive the table
    explicit TimerTable(EventContext& context) : context_(&context) {}

    /// Asks the driver for a timer.
    /// @param at milliseconds on the module's clock
    void set_timer(Millis at, std::optional<RequestId> request) {
        const TimerToken token = next_token_++;
        timers_[token] = Timer{request};
        context_->emit(SetTimer{at, token});
    }
    /// Takes out the timer that has fired. None: the token is unknown or has fired before.
    std::optional<Timer> take(TimerToken token) {
        const auto timer = timers_.extract(token);
        return timer ? std::optional(timer.mapped()) : std::nullopt;
    }
    /// Timers that have not fired.
    std::size_t size() const { return timers_.size(); }

private:
    EventContext* context_;
    std::unordered_map<TimerToken, Timer> timers_;  // never iterated: its order is not reproducible
    TimerToken next_token_ = 1;
};

}  // namespace elmbay::balancer
