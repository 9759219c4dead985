/// \file
/// Scenarios with random faults: many of every kind at once, drawn from a seed. One that violates an
/// invariant is shrunk to the few faults that matter. The same text runs in virtual time and on sockets.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "simulation/scenario/scenario.hpp"

namespace elmbay::simulation {

/// Size of the scenarios that draw_random_faults() makes.
struct RandomFaultOptions {
    std::uint64_t sidecars = 4;
    std::uint64_t servers = 6;
    std::uint64_t faults = 12;  ///< At most.
    Millis duration = 15000;
    /// Operations a second, all sidecars together. By default half of the servers' capacity.
    double request_rate = 150;
};

/// A scenario file in parts, so that faults can be left out.
struct RandomFaultSchedule {
    std::string settings_text;        ///< All but the faults.
    std::vector<std::string> faults;  ///< A `[[fault]]` each.
    /// The whole file.
    std::string text() const;
};

/// Draws a schedule that parse_scenario() accepts: the same for the same seed and options on every machine.
RandomFaultSchedule draw_random_faults(std::uint64_t seed, const RandomFaultOptions& options);

/// Leaves out as many faults as it can while `fails` remains true, which it must be for `schedule`.
RandomFaultSchedule shrink_schedule(RandomFaultSchedule schedule,
                                    const std::function<bool(const RandomFaultSchedule&)>& fails);

}  // namespace elmbay::simulation
