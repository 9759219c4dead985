/// @file
/// Overrides of decision module settings, in the format of the key `set` of a fault: "siblings=30".
#pragma once

#include <string>

#include "elmbay/balancer.hpp"

namespace elmbay::simulation {

/// Applies the override `text` ("NAME=VALUE") to `settings`. A value may be a number, a share or a duration
/// with its unit.
///
/// @throws std::invalid_argument  if the name is unknown, or the value is malformed or out of range;
///     `settings` is then unchanged
void apply_setting_override(const std::string& text, balancer::Settings& settings);

}  // namespace elmbay::simulation
