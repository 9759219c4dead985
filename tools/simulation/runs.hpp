/// \file
/// One run of a scenario as a person asked for it: in virtual time, or on sockets.
#pragma once

#include <string>

#include "command_line.hpp"
#include "simulation/reports/report.hpp"

namespace elmbay::simulation {

/// Runs the scenario with a policy in virtual time.
///
/// \param log_path  where every event is written; empty: nowhere
Report run_in_virtual_time(const Scenario& scenario, const std::string& balancer, const std::string& log_path,
                           bool quiet);

/// Runs the scenario with real sidecars on sockets.
///
/// \param sidecar  the command that starts one; empty: the elmbay that was built with this program
/// \throws UsageError  if there is none, or an option `--build` can't be read
Report run_on_sockets(const Scenario& scenario, const std::string& sidecar, const CommandOptions& options);

}  // namespace elmbay::simulation
