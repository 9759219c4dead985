/// @file
/// Named text fields with typed access: the form in which the deployment's settings and the simulator's
/// messages are read.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "config/field_problem.hpp"

namespace elmbay::balancer {

/// A field that is missing or can't be read. what() is "PLACE: field 'FIELD' PROBLEM".
class FieldError : public std::runtime_error {
public:
    /// @param context what the field belongs to, for example "settings" or "line 9: ACCEPT"
    FieldError(const std::string& context, std::string_view field, FieldProblem problem);

    /// The field's name.
    const std::string& field() const { return field_; }
    /// What is wrong with it.
    FieldProblem problem() const { return problem_; }

private:
    std::string field_;
    FieldProblem problem_;
};

/// Pairs of name and value in the order in which they were added. The texts belong to the caller and must
/// outlive this. Of two fields of one name the first counts. A look-up is linear: there are tens of fields.
class Fields {
public:
    /// @param context named in errors
    explicit Fields(std::string context) : context_(std::move(context)) {}

    /// Adds a field behind the others.
    void add(std::string_view name, std::string_view value) { fields_.emplace_back(name, value); }

    /// Whether there is a field of that name, whatever its value.
    bool has(std::string_view field) const { return find(field) != nullptr; }

    // The functions below throw FieldError if the value can't be read, and those without a fallback also if
    // the field is missing.

    /// Any text.
    std::string_view text(std::string_view field) const;
    /// A finite real number.
    double number(std::string_view field) const;
    /// The same; fallback if the field is missing.
    double number_or(std::string_view field, double fallback) const;
    /// A whole number from 0.
    std::uint64_t integer(std::string_view field) const;
    /// The same; fallback if the field is missing.
    std::uint64_t integer_or(std::string_view field, std::uint64_t fallback) const;
    /// "1" or "true", "0" or "false".
    bool flag_or(std::string_view field, bool fallback) const;

    /// Throws FieldError with this object's context.
    [[noreturn]] void fail(std::string_view field, FieldProblem problem) const;

    /// What the fields belong to, as errors name it.
    const std::string& context() const { return context_; }

private:
    const std::string_view* find(std::string_view field) const;

    std::string context_;
    std::vector<std::pair<std::string_view, std::string_view>> fields_;
};

/// The words that a field may have, each with its meaning.
template <class T>
using Names = std::vector<std::pair<std::string_view, T>>;

/// The meaning of a field's word. Throws FieldError if the field is missing or its word is none of names.
template <class T>
T named(const Fields& fields, std::string_view field, const Names<T>& names) {
    const std::string_view text = fields.text(field);
    for (const auto& [name, value] : names) {
        if (name == text) return value;
    }
    fields.fail(field, FieldProblem::unknown_word);
}

}  // namespace elmbay::balancer
