/// @file
/// Problems of a field of the configuration, of an endpoint list or of the simulator's settings.
#pragma once

#include <string_view>

namespace elmbay {

/// Why a field is invalid.
enum class FieldProblem {
    missing,             ///< required, but not present
    not_a_string,        ///< not a JSON string
    not_a_number,        ///< neither an integer nor a finite real number
    not_a_whole_number,  ///< a fraction, a negative number, or a number beyond 64 bits
    not_a_boolean,       ///< neither true nor false
    not_an_object,       ///< not a JSON object
    not_a_list,          ///< not a JSON array
    not_hexadecimal,     ///< a random seed that is not a hexadecimal number of 64 bits
    not_a_peer_list,     ///< not a JSON array, or an array of more than kMaxPeers addresses
    empty,               ///< an empty name
    unknown_value,       ///< none of the values that the field accepts
    no_port_separator,   ///< an address without ":port"
    invalid_port,        ///< the text after the last ':' is not a number from 0 to 65535
    invalid_address,     ///< the text before the last ':' is neither an IPv4 nor an IPv6 address
    not_set,             ///< a required environment variable that is not set
    unreadable_file,     ///< the path of a file that can't be read
};

/// Returns the text that follows the field's name in an error message, for example "is missing".
std::string_view describe(FieldProblem problem);

}  // namespace elmbay
