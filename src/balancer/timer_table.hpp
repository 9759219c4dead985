#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "balancer/event_context.hpp"

namespace elmbay::balancer {

/// The timers that have been set and have not fired, with their purpose.
///
/// Owned by Balancer::Impl; not thread-safe. Bounded by two timers for each request (its deadline and the end
/// of its wait) and one for each failed request for the endpoint list; a timer is removed when it fires.
/// Tokens are numbered from 1 and never reused.
class TimerTable {
public:
    /// The purpose of a timer.
    struct Timer {
        std::optional<RequestId> request;  ///< none: the next request for the endpoint list
    };

    /// @param context must outlive the table
    explicit TimerTable(EventContext& context) : context_(&context) {}

    /// Sets a timer in the driver.
    /// @param at the due time, in milliseconds on the module's clock
    void set_timer(Millis at, std::optional<RequestId> request) {
        const TimerToken token = next_token_++;
        timers_[token] = Timer{request};
        context_->emit(SetTimer{at, token});
    }
    /// Removes and returns the timer that has fired. Empty if the token is unknown or has already fired.
    std::optional<Timer> take(TimerToken token) {
        const auto timer = timers_.extract(token);
        return timer ? std::optional(timer.mapped()) : std::nullopt;
    }
    /// Returns the number of timers that have not fired.
    std::size_t size() const { return timers_.size(); }

private:
    EventContext* context_;
    std::unordered_map<TimerToken, Timer> timers_;  // must not be iterated: the order is not reproducible
    TimerToken next_token_ = 1;
};

}  // namespace elmbay::balancer
