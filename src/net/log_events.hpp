/// @file
/// Log lines of the frontend and the server connections. Each event is one line on standard error:
/// `elmbay: component=NAME event=NAME error="TEXT"`.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "base/timing.hpp"
#include "net/client_connection.hpp"

namespace elmbay {

/// Writes one log line. Quotes, backslashes and control characters in `error` are escaped, so that the event
/// stays on one line.
/// @param component the part of the program, one word
/// @param event     the name of the event, one word
/// @param error     the cause, as free text
void log_event(std::string_view component, std::string_view event, std::string_view error);

/// Produces the lines that report that accepting clients is paused, with what the connections that hold the
/// sockets do. Not thread-safe.
class AcceptingPausedLog {
public:
    /// Minimum interval between two lines, in milliseconds. While sockets are short, accepting pauses many
    /// times per second.
    static constexpr Millis kMinInterval = 1000;

    /// @return whether a line is due at `now`. Counting the connections costs system calls, so the caller
    ///         checks this first.
    bool is_due(Millis now) const { return !last_logged_at_ || now >= *last_logged_at_ + kMinInterval; }
    /// @return the line to log.
    std::string line(Millis now, const ClientConnectionCounts& connections);

private:
    std::optional<Millis> last_logged_at_;
};

}  // namespace elmbay
