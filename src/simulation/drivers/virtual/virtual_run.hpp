/// @file
/// Runs a scenario in virtual time: decision modules against models of clients, servers and links,
/// without sockets, as fast as the machine allows.
///
/// The run has one thread and one queue of events, ordered by time and then by sequence number. The same
/// scenario, seed and balancer give the same event log byte for byte.
#pragma once

#include <functional>
#include <ostream>
#include <string>

#include "simulation/reports/report.hpp"

namespace elmbay::simulation {

struct VirtualRunOptions {
    std::string balancer = "elmbay";         ///< Name of a balancing policy.
    std::ostream* log = nullptr;             ///< Receives one line per event.
    std::function<void(double)> progress{};  ///< Called about 100 times with the share of the time simulated.
};

/// Throws std::invalid_argument if the balancer does not exist.
Report run_virtual_simulation(const Scenario& scenario, const VirtualRunOptions& options);

}  // namespace elmbay::simulation
