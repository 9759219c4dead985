/// \file
/// What each subcommand of elmbay_simulation does.
#pragma once

#include "command_line.hpp"

namespace elmbay::simulation {

/// Executes the command and prints its result on standard output. Returns the exit code.
///
/// \throws UsageError, std::invalid_argument  for options that can't be used
/// \throws ScenarioError  for a scenario that is not valid
/// \throws std::exception  if the work failed
int execute(const CommandOptions& options);

}  // namespace elmbay::simulation
