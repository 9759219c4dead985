/// @file
/// Log lines of the sidecar on standard error. Each line reports one event in the form
/// `elmbay: component=NAME event=NAME key=value ...`.
#pragma once

#include <iostream>
#include <string>
#include <string_view>

namespace elmbay {

/// Quotes a log value that comes from outside the process or contains spaces. The characters `"` and `\` and
/// control characters are escaped, so that no value can end its line or imitate another key.
inline std::string quoted_log_value(std::string_view text) {
    constexpr std::string_view hex_digits = "0123456789abcdef";
    constexpr unsigned char first_printable = 0x20;
    constexpr unsigned char delete_character = 0x7F;
    std::string quoted = "\"";
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (byte < first_printable || byte == delete_character) {
            quoted += "\\x";
            quoted += hex_digits[byte / hex_digits.size()];
            quoted += hex_digits[byte % hex_digits.size()];
            continue;
        }
        if (character == '"' || character == '\\') quoted += '\\';
        quoted += character;
    }
    return quoted + "\"";
}

/// Writes one log line to standard error and flushes the stream.
/// @param line the text after the prefix: `component=NAME event=NAME key=value ...`
inline void write_log_line(std::string_view line) { std::cerr << "elmbay: " << line << std::endl; }

}  // namespace elmbay
