// An scenario in simulated time: the models round decision modules, without sockets, as fast as it goes.
//
// One thread and one queue of events ordered by time and then by number: the same scenario, seed and balancer
// give the same log byte for byte.
#pragma once

#include <functional>
#include <ostream>
#include <string>

#include "simulation/reports/report.hpp"

namespace elmbay::simulation {

struct VirtualRunOptions {
    std::string balancer = "elmbay";
    std::ostream* log = nullptr;             // a line an event
    std::function<void(double)> progress{};  // share of the time played, now and then
};

// Throws std::invalid_argument for a balancer that does not exist.
Report run_virtual_simulation(const Scenario& scenario, const VirtualRunOptions& options);

}  // namespace elmbay::simulation
