/// @file
/// What can be wrong with one field of the configuration, of an endpoint list or of the simulator's settings.
#pragma once

#include <string_view>

namespace elmbay {

/// Why a field can't be used.
enum class FieldProblem {
    missing,             ///< required, and not there
    not_text,            ///< not a JSON string
    not_a_number,        ///< neither an integer nor a finite real number
    not_a_whole_number,  ///< a fraction, negative, or beyond 64 bits
    not_a_flag,          ///< neither true nor false
    not_an_object,       ///< not a JSON object
    not_a_list,          ///< not a JSON array
    not_hexadecimal,     ///< a random seed that is no hexadecimal number of 64 bits
    not_a_peer_list,     ///< not a JSON array, or one with more than kMaxPeers addresses
    empty,               ///< a name without a character
    unknown_word,        ///< none of the words that the field may have
    no_port_separator,   ///< an address without ":port"
    unreadable_port,     ///< what stands behind the last ':' is no number from 0 to 65535
    unreadable_address,  ///< what stands before it is neither an IPv4 nor an IPv6 address
    not_set,             ///< a required environment variable that is not there
    unreadable_file,     ///< names a file that can't be read
};

/// The predicate that follows the field's name in an error message, for example "is missing".
std::string_view describe(FieldProblem problem);

}  // namespace elmbay
