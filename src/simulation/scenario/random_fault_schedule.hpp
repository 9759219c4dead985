// Scenarios drawn from a seed: many faults of every kind, laid over each other, held against the rules, and
// shrunk to the few that matter. The same text is played in virtual time and on sockets.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "simulation/scenario/scenario.hpp"

namespace elmbay::simulation {

struct RandomFaultOptions {
    std::uint64_t sidecars = 4, servers = 6, faults = 12;
    Millis duration = 15000;
    double request_rate =
        150;  // requests a second, all sidecars together; half of what the servers can do by default
};

// An scenario file in parts, so that faults can be left out.
struct RandomFaultSchedule {
    std::string head;
    std::vector<std::string> faults;
    std::string text() const;
};

// The same for the same seed and options, on every machine; always an scenario that can be played.
RandomFaultSchedule draw_random_faults(std::uint64_t seed, const RandomFaultOptions& options);

// With the fewest faults that still fail.
RandomFaultSchedule shrunk(RandomFaultSchedule schedule,
                           const std::function<bool(const RandomFaultSchedule&)>& fails);

}  // namespace elmbay::simulation
