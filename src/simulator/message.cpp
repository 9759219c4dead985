#include "simulator/message.hpp"

namespace elmbay::balancer::wire {

namespace {

std::string_view without_carriage_return(std::string_view line) {
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    return line;
}

std::string_view first_word(std::string_view line) { return line.substr(0, line.find(' ')); }

std::string context_of(std::string_view line, std::size_t line_number) {
    return "line " + std::to_string(line_number) + ": " +
           std::string(first_word(without_carriage_return(line)));
}

}  // namespace

std::string_view describe(WireProblem problem) {
    switch (problem) {
        case WireProblem::empty_line:
            return "the line is empty";
        case WireProblem::not_a_pair:
            return "does not have the form name=value";
        case WireProblem::mark_expected:
            return "is not MARK, which must start a batch";
        case WireProblem::unknown_instance:
            return "names an instance that is not running";
        case WireProblem::repeated_request:
            return "is the id of a request that has not ended";
        case WireProblem::unknown_catalog:
            return "is out of range (0 to 15)";
        case WireProblem::wrong_catalog_entry:
            return "does not match the number of entries that follow";
        case WireProblem::input_ends_in_batch:
            return "the input ends before 'OVER_TO_YOU'";
        case WireProblem::input_ends_in_catalog:
            return "the input ends before all entries of 'items'";
    }
    return "is invalid";
}

WireError::WireError(const std::string& context, WireProblem problem)
    : std::runtime_error(context + ": " + std::string(describe(problem))), problem_(problem) {}

WireError::WireError(const std::string& context, std::string_view field, WireProblem problem)
    : std::runtime_error(context + ": field '" + std::string(field) + "' " + std::string(describe(problem))),
      problem_(problem) {}

Message::Message(std::string_view line, std::size_t line_number) : Fields(context_of(line, line_number)) {
    line = without_carriage_return(line);
    kind_ = first_word(line);
    if (kind_.empty()) {
        throw WireError("line " + std::to_string(line_number), WireProblem::empty_line);
    }
    std::string_view rest = kind_.size() < line.size() ? line.substr(kind_.size() + 1) : std::string_view();
    while (!rest.empty()) {
        const auto space = rest.find(' ');
        const std::string_view pair = rest.substr(0, space);
        rest = space == std::string_view::npos ? std::string_view() : rest.substr(space + 1);
        const auto equals = pair.find('=');
        if (equals == std::string_view::npos || equals == 0) throw_wire_error(pair, WireProblem::not_a_pair);
        add(pair.substr(0, equals), pair.substr(equals + 1));
    }
}

void Message::throw_wire_error(std::string_view field, WireProblem problem) const {
    throw WireError(context(), field, problem);
}

}  // namespace elmbay::balancer::wire
