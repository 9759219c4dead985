#include "config/fields.hpp"

#include <charconv>
#include <cmath>

namespace elmbay::balancer {

namespace {

// Parses the whole text as a number. Returns whether that succeeded.
template <class T>
bool parse(std::string_view text, T& value) {
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc() && end == text.data() + text.size();
}

std::string error_message(const std::string& context, std::string_view field, FieldProblem problem) {
    return context + ": field '" + std::string(field) + "' " + std::string(describe(problem));
}

}  // namespace

FieldError::FieldError(const std::string& context, std::string_view field, FieldProblem problem)
    : std::runtime_error(error_message(context, field, problem)), field_(field), problem_(problem) {}

void Fields::throw_error(std::string_view field, FieldProblem problem) const {
    throw FieldError(context_, field, problem);
}

const std::string_view* Fields::find(std::string_view field) const {
    for (const auto& [name, value] : fields_) {
        if (name == field) return &value;
    }
    return nullptr;
}

std::string_view Fields::text(std::string_view field) const {
    const std::string_view* value = find(field);
    if (!value) throw_error(field, FieldProblem::missing);
    return *value;
}

double Fields::number(std::string_view field) const {
    double value = 0;
    if (!parse(text(field), value) || !std::isfinite(value)) throw_error(field, FieldProblem::not_a_number);
    return value;
}

double Fields::number_or(std::string_view field, double fallback) const {
    return has(field) ? number(field) : fallback;
}

std::uint64_t Fields::integer(std::string_view field) const {
    std::uint64_t value = 0;
    if (!parse(text(field), value)) throw_error(field, FieldProblem::not_a_whole_number);
    return value;
}

std::uint64_t Fields::integer_or(std::string_view field, std::uint64_t fallback) const {
    return has(field) ? integer(field) : fallback;
}

bool Fields::flag_or(std::string_view field, bool fallback) const {
    if (!has(field)) return fallback;
    const std::string_view value = text(field);
    if (value == "1" || value == "true") return true;
    if (value == "0" || value == "false") return false;
    throw_error(field, FieldProblem::not_a_boolean);
}

}  // namespace elmbay::balancer
