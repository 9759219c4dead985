/// @file
/// One line of the simulator's wire, taken apart: a name, then name=value pairs.
#pragma once

#include <cstddef>
#include <stdexcept>
#include <string>
#include <string_view>

#include "config/fields.hpp"
#include "elmbay/balancer.hpp"

namespace elmbay::balancer::wire {

/// What can be wrong with a line or the order of lines, beside a field that can't be read (FieldError).
enum class WireProblem {
    empty_line,             ///< a line without a message's name
    not_a_pair,             ///< a part without '=', or with nothing before it
    mark_expected,          ///< another message where a batch begins
    unknown_instance,       ///< an event for an instance that is not running
    repeated_request,       ///< a request id that the instance has in hand already
    unknown_catalog,        ///< a number of a server list beyond kMaxCatalogs
    wrong_catalog_entry,    ///< another message among the entries of a server list
    input_ends_in_batch,    ///< no OVER_TO_YOU
    input_ends_in_catalog,  ///< fewer entries than the server list announces
};

/// The problem in words, for an error message.
std::string_view describe(WireProblem problem);

/// A line that breaks the protocol. what() names line number, message and field.
class WireError : public std::runtime_error {
public:
    /// @param context for example "line 9: MARK"
    WireError(const std::string& context, WireProblem problem);
    WireError(const std::string& context, std::string_view field, WireProblem problem);

    /// What is wrong with the line.
    WireProblem problem() const { return problem_; }

private:
    WireProblem problem_;
};

/// A message of the simulator. Refers to the text of its line, which must outlive it.
class Message : public Fields {
public:
    /// Throws WireError.
    /// @param line without its newline; a carriage return at its end is ignored
    /// @param line_number from 1, for errors
    Message(std::string_view line, std::size_t line_number);

    /// The message's name, for example "ACCEPT".
    std::string_view kind() const { return kind_; }

    /// Throws WireError for one of this message's fields.
    [[noreturn]] void throw_wire_error(std::string_view field, WireProblem problem) const;

private:
    std::string_view kind_;
};

}  // namespace elmbay::balancer::wire
