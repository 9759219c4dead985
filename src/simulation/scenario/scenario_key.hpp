/// \file
/// Replaces one value in the text of a scenario file.
#pragma once

#include <string>

namespace elmbay::simulation {

/// The text with `value` for `key`, in place of another or added.
///
/// \param key    parts joined by dots; entries of lists count from 1: "fault.1.times"
/// \param value  as it would stand in the file; the quotes of a text may be left out
/// \throws std::invalid_argument  if the key names nothing
std::string set_scenario_value(const std::string& text, const std::string& key, const std::string& value);

}  // namespace elmbay::simulation
