/// @file
/// Log lines of the frontend and the server connections. Each event is one line on standard error:
/// `elmbay: component=NAME event=NAME error="TEXT"`.
#pragma once

#include <string_view>

namespace elmbay {

/// Writes one log line. Quotes, backslashes and control characters in `error` are escaped, so that the event
/// stays on one line.
/// @param component the part of the program, one word
/// @param event     the name of the event, one word
/// @param error     the cause, as free text
void log_event(std::string_view component, std::string_view event, std::string_view error);

}  // namespace elmbay
