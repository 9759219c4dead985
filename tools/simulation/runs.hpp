/// @file
/// Runs a scenario with the options of the command line, in virtual time or on sockets.
#pragma once

#include <string>

#include "command_line.hpp"
#include "simulation/reports/report.hpp"

namespace elmbay::simulation {

/// Runs the scenario with a policy in virtual time.
///
/// @param log_path  file to which every event is written; empty: no file
Report run_in_virtual_time(const Scenario& scenario, const std::string& balancer, const std::string& log_path,
                           bool quiet);

/// Runs the scenario with real sidecars on sockets.
///
/// @param sidecar  command that starts a sidecar; empty: the elmbay that was built with this program
/// @throws UsageError  if no sidecar program is found, or an option `--build` is malformed
Report run_on_sockets(const Scenario& scenario, const std::string& sidecar, const CommandOptions& options);

}  // namespace elmbay::simulation
