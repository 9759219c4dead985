/// @file
/// Delays writes to servers while a received endpoint list has not been read yet.
#pragma once

#include <functional>
#include <optional>
#include <utility>

#include "base/timing.hpp"

namespace elmbay {

/// Delays writes while the kernel holds unread bytes of the endpoint list.
///
/// After a process was stopped for seconds, or had no CPU core, all its sockets have unread data at once, and
/// the event loop handles them in any order. The unread list may contain a drain that forbids the write.
class EndpointListBarrier {
public:
    /// The longest delay of a write. The event loop needs one turn to read the list. Data that is never read
    /// must not block all writes.
    static constexpr Millis kMaxDelay = 50;

    /// @param is_list_unread returns whether the discovery socket has unread bytes.
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

    /// Ends the delay if the list has been read. To be called in the next turn of the event loop even if no
    /// write is waiting any more, so that the next delay gets the full kMaxDelay.
    void end_if_read() {
        if (!is_list_unread_()) delayed_since_.reset();
    }

private:
    std::function<bool()> is_list_unread_;
    std::optional<Millis> delayed_since_;
};

}  // namespace elmbay
