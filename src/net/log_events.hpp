/// @file
/// Log lines of the front and the backs: one event a line, `elmbay: component=NAME event=NAME error="TEXT"`,
/// on standard error.
#pragma once

#include <string_view>

namespace elmbay {

/// Writes one line. Quotes, backslashes and control characters in the text are escaped, so that it stays one.
/// @param component the part of the program, one word
/// @param event     what happened, one word
/// @param error     why, in any words
void log_event(std::string_view component, std::string_view event, std::string_view error);

}  // namespace elmbay
