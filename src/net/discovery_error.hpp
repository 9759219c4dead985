/// @file
/// The reasons for which a call to the discovery service ends.
#pragma once

#include <system_error>

namespace elmbay {

/// Why a call ended. The current list stays in force, and another call follows.
enum class DiscoveryError {
    no_socket = 1,      ///< the socket budget has no descriptor for the call
    connect_failed,     ///< the service refused the connection or is unreachable
    connection_broken,  ///< the connection was reset or ended within a message
    connection_closed,  ///< the service closed the connection in an orderly way
    unexpected_status,  ///< the response has a status other than 200
    line_too_long,      ///< a line or list is longer than kMaxListBytes
    invalid_list,       ///< a list or a change can't be parsed
    version_reset,      ///< a change has an earlier version than the current list
    timed_out,          ///< the service sent no complete response or line in time
};

/// @return the error category "discovery". Its messages appear in the log.
const std::error_category& discovery_category() noexcept;

/// Converts a DiscoveryError. std::error_code finds this function by argument-dependent lookup.
std::error_code make_error_code(DiscoveryError error) noexcept;

}  // namespace elmbay

template <>
struct std::is_error_code_enum<elmbay::DiscoveryError> : std::true_type {};
