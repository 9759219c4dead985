/// @file
/// Sets one value in the text of a scenario file.
#pragma once

#include <string>

namespace elmbay::simulation {

/// Returns the text with `key` set to `value`. The key is added if the text does not contain it.
///
/// @param key    parts joined by dots; entries of lists count from 1: "fault.1.times"
/// @param value  in TOML syntax; the quotes of a string may be omitted
/// @throws std::invalid_argument  if the key does not refer to a key of a scenario file
std::string set_scenario_value(const std::string& text, const std::string& key, const std::string& value);

}  // namespace elmbay::simulation
