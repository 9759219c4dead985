#include "config/field_problem.hpp"

namespace elmbay {

std::string_view describe(FieldProblem problem) {
    switch (problem) {
        case FieldProblem::missing:
            return "is missing";
        case FieldProblem::not_text:
            return "is not a text";
        case FieldProblem::not_a_number:
            return "is not a number";
        case FieldProblem::not_a_whole_number:
            return "is not a whole number";
        case FieldProblem::not_a_flag:
            return "is not a truth value";
        case FieldProblem::not_an_object:
            return "is not an object";
        case FieldProblem::not_a_list:
            return "is not a list";
        case FieldProblem::not_hexadecimal:
            return "is not a hexadecimal number";
        case FieldProblem::not_a_peer_list:
            return "is not a list of so many addresses";
        case FieldProblem::empty:
            return "is empty";
        case FieldProblem::unknown_word:
            return "is not a known word";
        case FieldProblem::no_port_separator:
            return "is not address:port";
        case FieldProblem::unreadable_port:
            return "has no port that can be read";
        case FieldProblem::unreadable_address:
            return "has no address that can be read";
        case FieldProblem::not_set:
            return "is not set";
        case FieldProblem::unreadable_file:
            return "names a file that can't be read";
    }
    return "can't be used";
}

}  // namespace elmbay
