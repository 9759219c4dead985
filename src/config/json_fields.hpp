/// @file
/// Typed access to the fields of a JSON document, for the configuration and for endpoint lists. Each function
/// throws ConfigError with the path of the invalid field.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace elmbay {

using Json = nlohmann::json;

/// Returns a required field of an object.
/// @param path the path of the object, with a trailing '.'; empty for the document itself
const Json& required_field(const Json& object, const std::string& name, const std::string& path);

// In the functions below, `field` is the path of the value, for error messages.

/// Returns the value of a JSON string.
std::string as_text(const Json& value, const std::string& field);
/// Returns the value of a JSON number.
double as_number(const Json& value, const std::string& field);
/// Returns an integer of at least 0. A real number without a fraction counts as an integer.
std::uint64_t as_whole_number(const Json& value, const std::string& field);

}  // namespace elmbay
