/// @file
/// Limits of what one machine can simulate. A scenario above these limits is rejected before it starts.
#pragma once

#include <cstddef>

namespace elmbay::simulation {

constexpr double kMaxServers = 4096;
constexpr double kMaxSidecars = 20000;
constexpr double kMaxRate = 1e6;          ///< Operations per second.
constexpr double kMaxDuration = 3600000;  ///< Milliseconds (one hour).
/// Operations per run. All arrivals are drawn before the run and held in memory.
constexpr double kMaxOperations = 2e7;
constexpr std::size_t kMaxFaults = 1000;
constexpr std::size_t kMaxClasses = 32;

}  // namespace elmbay::simulation
