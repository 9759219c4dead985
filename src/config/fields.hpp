/// @file
/// Typed access to named text fields. The deployment's settings and the simulator's messages have this form.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "config/field_problem.hpp"

namespace elmbay::balancer {

/// Reports a field that is missing or invalid. what() is "CONTEXT: field 'FIELD' PROBLEM".
class FieldError : public std::runtime_error {
public:
    /// @param context the object that the field belongs to, for example "settings" or "line 9: ACCEPT"
    FieldError(const std::string& context, std::string_view field, FieldProblem problem);

    /// Returns the name of the field.
    const std::string& field() const { return field_; }
    /// Returns the problem of the field.
    FieldProblem problem() const { return problem_; }

private:
    std::string field_;
    FieldProblem problem_;
};

/// A list of fields, each a pair of name and value, in the order in which they were added. The caller owns
/// the texts, which must outlive the list. If several fields have the same name, the first one counts. A
/// look-up takes linear time, which is sufficient for some tens of fields.
class Fields {
public:
    /// @param context the object that the fields belong to, for error messages
    explicit Fields(std::string context) : context_(std::move(context)) {}

    /// Appends a field.
    void add(std::string_view name, std::string_view value) { fields_.emplace_back(name, value); }

    /// Returns whether a field of that name exists, whatever its value.
    bool has(std::string_view field) const { return find(field) != nullptr; }

    // The functions below throw FieldError if the value is invalid. Those without a fallback also throw it if
    // the field is missing.

    /// Returns the value as text.
    std::string_view text(std::string_view field) const;
    /// Returns a finite real number.
    double number(std::string_view field) const;
    /// Like number(), but returns the fallback if the field is missing.
    double number_or(std::string_view field, double fallback) const;
    /// Returns an integer of at least 0.
    std::uint64_t integer(std::string_view field) const;
    /// Like integer(), but returns the fallback if the field is missing.
    std::uint64_t integer_or(std::string_view field, std::uint64_t fallback) const;
    /// Returns true for "1" or "true", false for "0" or "false", and the fallback if the field is missing.
    bool flag_or(std::string_view field, bool fallback) const;

    /// Throws FieldError for a field, with the context of this list.
    [[noreturn]] void throw_error(std::string_view field, FieldProblem problem) const;

    /// Returns the name of the object that the fields belong to.
    const std::string& context() const { return context_; }

private:
    const std::string_view* find(std::string_view field) const;

    std::string context_;
    std::vector<std::pair<std::string_view, std::string_view>> fields_;
};

/// The texts that a field accepts, each with the value that it stands for.
template <class T>
using EnumNames = std::vector<std::pair<std::string_view, T>>;

/// Returns the value that the text of a field stands for. Throws FieldError if the field is missing or its
/// text is not among the names.
template <class T>
T read_enum(const Fields& fields, std::string_view field, const EnumNames<T>& names) {
    const std::string_view text = fields.text(field);
    for (const auto& [name, value] : names) {
        if (name == text) return value;
    }
    fields.throw_error(field, FieldProblem::unknown_value);
}

}  // namespace elmbay::balancer
