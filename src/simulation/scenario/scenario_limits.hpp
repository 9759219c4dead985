/// \file
/// Bounds of what one machine can simulate. A scenario beyond them is refused before it starts.
#pragma once

#include <cstddef>

namespace elmbay::simulation {

constexpr double kMaxServers = 4096;
constexpr double kMaxSidecars = 20000;
constexpr double kMaxRate = 1e6;          ///< Operations a second.
constexpr double kMaxDuration = 3600000;  ///< Milliseconds: an hour.
constexpr double kMaxOperations = 2e7;    ///< Of one run; arrivals are drawn ahead and held in memory.
constexpr std::size_t kMaxFaults = 1000;
constexpr std::size_t kMaxClasses = 32;

}  // namespace elmbay::simulation
