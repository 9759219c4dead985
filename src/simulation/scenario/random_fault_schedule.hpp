/// @file
/// Generates scenarios with random faults of all kinds from a seed, and shrinks a scenario that violates an
/// invariant to the few faults that cause the violation. The same scenario text runs in virtual time and on
/// sockets.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "simulation/scenario/scenario.hpp"

namespace elmbay::simulation {

/// Size of the scenarios that draw_random_faults() generates.
struct RandomFaultOptions {
    std::uint64_t sidecars = 4;
    std::uint64_t servers = 6;
    std::uint64_t faults = 12;  ///< Maximum; there are fewer if no further valid fault is found.
    Millis duration = 15000;
    /// Operations per second through all sidecars together. The default is half of the servers' capacity.
    double request_rate = 150;
};

/// A scenario file split into parts, so that single faults can be removed.
struct RandomFaultSchedule {
    std::string settings_text;        ///< Everything except the faults.
    std::vector<std::string> faults;  ///< One `[[fault]]` section each.
    /// Returns the text of the whole file.
    std::string text() const;
};

/// Draws a schedule that parse_scenario() accepts. The same seed and options give the same schedule on every
/// machine.
RandomFaultSchedule draw_random_faults(std::uint64_t seed, const RandomFaultOptions& options);

/// Removes as many faults as possible while `fails` returns true for the rest. `fails(schedule)` must be
/// true.
RandomFaultSchedule shrink_schedule(RandomFaultSchedule schedule,
                                    const std::function<bool(const RandomFaultSchedule&)>& fails);

}  // namespace elmbay::simulation
