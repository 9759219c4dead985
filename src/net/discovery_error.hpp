/// @file
/// Why a call to the discovery service has ended.
#pragma once

#include <system_error>

namespace elmbay {

/// Each ends the call; the list that is held stays in force, and another call follows.
enum class DiscoveryError {
    no_socket = 1,      ///< this process has no descriptor for the call
    connect_failed,     ///< refused or unreachable
    connection_broken,  ///< reset, or it ended within a message
    connection_closed,  ///< the service has ended the call in good order
    unexpected_status,  ///< a response other than 200
    line_too_long,      ///< more than kMaxListBytes without an end
    unreadable_list,    ///< a list or a change that can't be parsed
    timed_out,          ///< nothing has come within the time that is due
};

/// The category "discovery"; its messages are those of the log.
const std::error_category& discovery_category() noexcept;

/// For std::error_code's conversion from DiscoveryError.
std::error_code make_error_code(DiscoveryError error) noexcept;

}  // namespace elmbay

template <>
struct std::is_error_code_enum<elmbay::DiscoveryError> : std::true_type {};
