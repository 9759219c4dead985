#include "config/field_problem.hpp"

namespace elmbay {

std::string_view describe(FieldProblem problem) {
    switch (problem) {
        case FieldProblem::missing:
            return "is missing";
        case FieldProblem::not_a_string:
            return "is not a string";
        case FieldProblem::not_a_number:
            return "is not a number";
        case FieldProblem::not_a_whole_number:
            return "is not a whole number";
        case FieldProblem::not_a_boolean:
            return "is not a boolean";
        case FieldProblem::not_an_object:
            return "is not an object";
        case FieldProblem::not_a_list:
            return "is not a list";
        case FieldProblem::not_hexadecimal:
            return "is not a hexadecimal number";
        case FieldProblem::not_a_peer_list:
            return "is not a list of at most 30000 addresses";
        case FieldProblem::empty:
            return "is empty";
        case FieldProblem::unknown_value:
            return "is not one of the accepted values";
        case FieldProblem::no_port_separator:
            return "does not have the form address:port";
        case FieldProblem::invalid_port:
            return "has no valid port (0 to 65535)";
        case FieldProblem::invalid_address:
            return "has no valid IPv4 or IPv6 address";
        case FieldProblem::not_set:
            return "is not set";
        case FieldProblem::unreadable_file:
            return "names a file that can't be read";
    }
    return "is invalid";
}

}  // namespace elmbay
