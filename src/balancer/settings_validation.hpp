// Whether settings make sense at all; what follows from them is decided in balance.cpp.
#pragma once

#include "elmbay/balancer.hpp"

namespace elmbay::balancer {

// Throws std::invalid_argument naming the first setting that makes no sense.
void validate(const Settings& settings);

}  // namespace elmbay::balancer
