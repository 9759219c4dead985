/// @file
/// Checks whether settings make sense at all. What follows from them is decided elsewhere.
#pragma once

#include "elmbay/balancer.hpp"

namespace elmbay::balancer {

/// Checks each field against the range that balancer.hpp states.
/// @throws InvalidSetting for the first one out of range.
void validate(const Settings& settings);

}  // namespace elmbay::balancer
