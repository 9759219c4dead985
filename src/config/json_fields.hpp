/// @file
/// Typed access to the fields of a JSON document, for the configuration and for endpoint lists. Each function
/// throws ConfigError that names the field by its path.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace elmbay {

using Json = nlohmann::json;

/// A required field of an object.
/// @param path the path of the object, with a '.' at its end; empty for the document itself
const Json& required_field(const Json& object, const std::string& name, const std::string& path);

/// A JSON string.
/// @param field the value's path, for errors; so below
std::string as_text(const Json& value, const std::string& field);
/// Any JSON number.
double as_number(const Json& value, const std::string& field);
/// A whole number from 0; a real number without a fraction counts as one.
std::uint64_t as_whole_number(const Json& value, const std::string& field);

}  // namespace elmbay
