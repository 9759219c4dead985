/// @file
/// How long writes to servers wait for an endpoint list that has come but was not read.
#pragma once

#include <functional>
#include <optional>
#include <utility>

#include "base/timing.hpp"

namespace elmbay {

/// Holds back writes while bytes of the endpoint list lie unread in the kernel.
///
/// A process that was stopped for seconds, or had no core, wakes with everything unread at once, in any
/// order: a drain that forbids the write may be among it.
class EndpointListBarrier {
public:
    /// The longest delay. Reading the list takes the event loop one turn, and a discovery service that sends
    /// what nobody reads must not stop everything.
    static constexpr Millis kMaxDelay = 50;

    /// @param is_list_unread looks at the list's socket.
    explicit EndpointListBarrier(std::function<bool()> is_list_unread)
        : is_list_unread_(std::move(is_list_unread)) {}

    /// @return whether a write must wait for another turn of the event loop.
    bool must_wait(Millis now) {
        if (!is_list_unread_()) {
            delayed_since_.reset();
            return false;
        }
        if (!delayed_since_) delayed_since_ = now;
        return now < *delayed_since_ + kMaxDelay;
    }

    /// Ends the delay if the list was read. To be called in the next turn, also where nothing waits any more:
    /// the next delay has its own time.
    void end_if_read() {
        if (!is_list_unread_()) delayed_since_.reset();
    }

private:
    std::function<bool()> is_list_unread_;
    std::optional<Millis> delayed_since_;
};

}  // namespace elmbay
