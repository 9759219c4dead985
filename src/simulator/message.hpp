/// @file
/// Parses one line of the simulator's wire protocol: the name of the message, then name=value pairs.
#pragma once

#include <cstddef>
#include <stdexcept>
#include <string>
#include <string_view>

#include "config/fields.hpp"
#include "elmbay/balancer.hpp"

namespace elmbay::balancer::wire {

/// Problems of a line or of the order of lines. FieldError reports invalid fields.
enum class WireProblem {
    empty_line,             ///< a line without a message name
    not_a_pair,             ///< a word without '=', or without a name before '='
    mark_expected,          ///< a message other than MARK at the start of a batch
    unknown_instance,       ///< an event for an instance that is not running
    repeated_request,       ///< a request id that the instance already contains
    unknown_catalog,        ///< the number of a server list is kMaxCatalogs or more
    wrong_catalog_entry,    ///< a message other than M among the entries of a server list
    input_ends_in_batch,    ///< the input ends without OVER_TO_YOU
    input_ends_in_catalog,  ///< the input ends before all announced entries of a server list
};

/// Returns the text of a problem for an error message.
std::string_view describe(WireProblem problem);

/// Reports a line that violates the protocol. what() contains the line number, the message name and the
/// field.
class WireError : public std::runtime_error {
public:
    /// @param context line number and message name, for example "line 9: MARK"
    WireError(const std::string& context, WireProblem problem);
    WireError(const std::string& context, std::string_view field, WireProblem problem);

    /// Returns the problem of the line.
    WireProblem problem() const { return problem_; }

private:
    WireProblem problem_;
};

/// A message of the simulator. Refers to the text of its line, which must outlive the message.
class Message : public Fields {
public:
    /// Parses a line. Throws WireError.
    /// @param line the text without its newline; a trailing carriage return is ignored
    /// @param line_number number of the line, from 1, for error messages
    Message(std::string_view line, std::size_t line_number);

    /// Returns the name of the message, for example "ACCEPT".
    std::string_view kind() const { return kind_; }

    /// Throws WireError for a field of this message.
    [[noreturn]] void throw_wire_error(std::string_view field, WireProblem problem) const;

private:
    std::string_view kind_;
};

}  // namespace elmbay::balancer::wire
