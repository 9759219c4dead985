/// @file
/// Validates settings. Their use is implemented elsewhere.
#pragma once

#include "elmbay/balancer.hpp"

namespace elmbay::balancer {

/// Checks each field against the range documented in balancer.hpp.
/// @throws InvalidSetting for the first field out of range
void validate(const Settings& settings);

}  // namespace elmbay::balancer
