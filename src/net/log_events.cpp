#include "net/log_events.hpp"

#include <array>
#include <cstdio>
#include <iostream>
#include <string>

namespace elmbay {

namespace {

std::string quoted(std::string_view text) {
    std::string result = "\"";
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        const bool is_control = byte < 0x20 || byte == 0x7F;
        if (is_control) {
            std::array<char, sizeof "\\x00"> escaped{};
            std::snprintf(escaped.data(), escaped.size(), "\\x%02x", static_cast<unsigned>(byte));
            result += escaped.data();
            continue;
        }
        if (character == '"' || character == '\\') result += '\\';
        result += character;
    }
    return result + "\"";
}

}  // namespace

void log_event(std::string_view component, std::string_view event, std::string_view error) {
    std::cerr << "elmbay: component=" << component << " event=" << event << " error=" << quoted(error)
              << std::endl;
}

}  // namespace elmbay
