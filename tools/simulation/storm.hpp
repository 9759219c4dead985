/// \file
/// The subcommand `storm`: scenarios with random faults until one violates an invariant.
#pragma once

#include "command_line.hpp"

namespace elmbay::simulation {

/// Runs a scenario for each seed. The first that violates an invariant is shrunk and written to a file.
/// Prints what was found. Returns whether all invariants held.
///
/// \throws UsageError  for options that contradict each other
bool run_storms(const CommandOptions& options);

}  // namespace elmbay::simulation
