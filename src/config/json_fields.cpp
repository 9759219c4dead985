#include "config/json_fields.hpp"

#include <cmath>

#include "config/config_error.hpp"

namespace elmbay {

namespace {

/// Less than 2^64 by more than the rounding error of a double, so that the conversion to an integer is
/// defined.
constexpr double kMaxWholeNumber = 1.8e19;

}  // namespace

const Json& required_field(const Json& object, const std::string& name, const std::string& path) {
    const auto found = object.find(name);
    if (found == object.end()) throw ConfigError(path + name, FieldProblem::missing);
    return *found;
}

std::string as_text(const Json& value, const std::string& field) {
    if (!value.is_string()) throw ConfigError(field, FieldProblem::not_a_string);
    return value.get<std::string>();
}

double as_number(const Json& value, const std::string& field) {
    if (!value.is_number()) throw ConfigError(field, FieldProblem::not_a_number);
    return value.get<double>();
}

std::uint64_t as_whole_number(const Json& value, const std::string& field) {
    const double number = as_number(value, field);
    const bool is_in_range = number >= 0 && number < kMaxWholeNumber;
    const bool is_whole = is_in_range && number == std::floor(number);
    if (!is_whole) throw ConfigError(field, FieldProblem::not_a_whole_number);
    return value.is_number_unsigned() ? value.get<std::uint64_t>() : static_cast<std::uint64_t>(number);
}

}  // namespace elmbay
