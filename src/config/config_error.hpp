/// @file
/// The exception for an invalid configuration or endpoint list.
#pragma once

#include <optional>
#include <stdexcept>
#include <string>

#include "config/field_problem.hpp"
#include "config/fields.hpp"

namespace elmbay {

/// Reports an invalid configuration or endpoint list. what() is a message of one line.
class ConfigError : public std::runtime_error {
public:
    /// For a problem that concerns no single field, for example text that is not JSON.
    explicit ConfigError(const std::string& message) : std::runtime_error(message) {}

    /// @param field the path of the field, for example "known.targets.3.uid"
    /// @param detail text appended to the message, for example the path of a file; may be empty
    ConfigError(const std::string& field, FieldProblem problem, const std::string& detail = "")
        : std::runtime_error("field '" + field + "' " + std::string(describe(problem)) + detail),
          field_(field),
          problem_(problem) {}

    /// For an invalid field of the deployment's settings.
    explicit ConfigError(const balancer::FieldError& error)
        : std::runtime_error(error.what()), field_(error.field()), problem_(error.problem()) {}

    /// Returns the path of the invalid field, or an empty string if the problem concerns no single field.
    const std::string& field() const { return field_; }
    /// Returns the problem of the field, or nothing if the problem concerns no single field.
    std::optional<FieldProblem> problem() const { return problem_; }

private:
    std::string field_;
    std::optional<FieldProblem> problem_;
};

}  // namespace elmbay
