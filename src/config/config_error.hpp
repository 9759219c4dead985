/// @file
/// The exception of the configuration and of endpoint lists.
#pragma once

#include <optional>
#include <stdexcept>
#include <string>

#include "config/field_problem.hpp"
#include "config/fields.hpp"

namespace elmbay {

/// A configuration or an endpoint list that can't be used. what() is one line for a person.
class ConfigError : public std::runtime_error {
public:
    /// Where no single field is at fault, for example where the text is not JSON.
    explicit ConfigError(const std::string& message) : std::runtime_error(message) {}

    /// @param field the path of the field, for example "known.targets.3.uid"
    /// @param detail stands behind the problem, for example the path of a file; may be empty
    ConfigError(const std::string& field, FieldProblem problem, const std::string& detail = "")
        : std::runtime_error("field '" + field + "' " + std::string(describe(problem)) + detail),
          field_(field),
          problem_(problem) {}

    /// One of the deployment's settings.
    explicit ConfigError(const balancer::FieldError& error)
        : std::runtime_error(error.what()), field_(error.field()), problem_(error.problem()) {}

    /// Empty where no single field is at fault.
    const std::string& field() const { return field_; }
    /// None where no single field is at fault.
    std::optional<FieldProblem> problem() const { return problem_; }

private:
    std::string field_;
    std::optional<FieldProblem> problem_;
};

}  // namespace elmbay
