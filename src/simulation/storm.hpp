// Incidents drawn from a seed: many faults of every kind, laid over each other, held against the rules, and
// shrunk to the few that matter. The same text is played in virtual time and on sockets.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "simulation/incident.hpp"

namespace elmbay::simulation {

struct StormOptions {
    std::uint64_t sidecars = 4, servers = 6, faults = 12;
    Millis length = 15000;
    double rate =
        150;  // requests a second, all sidecars together; half of what the servers can do by default
};

// An incident file in parts, so that faults can be left out.
struct Storm {
    std::string head;
    std::vector<std::string> faults;
    std::string text() const;
};

// The same for the same seed and options, on every machine; always an incident that can be played.
Storm draw_storm(std::uint64_t seed, const StormOptions& options);

// With the fewest faults that still fail.
Storm shrunk(Storm storm, const std::function<bool(const Storm&)>& fails);

}  // namespace elmbay::simulation
