/// @file
/// Execution of the subcommands of elmbay_simulation.
#pragma once

#include "command_line.hpp"

namespace elmbay::simulation {

/// Executes the command and prints its result on standard output. Returns the exit code.
///
/// @throws UsageError, std::invalid_argument  if the options are invalid
/// @throws ScenarioError  if the scenario is invalid
/// @throws std::exception  if the command fails for another reason
int execute(const CommandOptions& options);

}  // namespace elmbay::simulation
