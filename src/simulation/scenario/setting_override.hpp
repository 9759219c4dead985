/// \file
/// Overrides of decision module settings, as the key `set` of a fault has them: "siblings=30".
#pragma once

#include <string>

#include "elmbay/balancer.hpp"

namespace elmbay::simulation {

/// Changes `settings` as `text` ("NAME=VALUE") says. Values may be shares or durations with their unit.
///
/// \throws std::invalid_argument  for an unknown name, or a value that cannot be read or is out of range;
///     settings are unchanged then
void apply_setting_override(const std::string& text, balancer::Settings& settings);

}  // namespace elmbay::simulation
