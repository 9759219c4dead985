/// @file
/// The subcommand `storm`: runs scenarios with random faults until one violates an invariant.
#pragma once

#include "command_line.hpp"

namespace elmbay::simulation {

/// Runs a random scenario for each seed. Stops at the first scenario that violates an invariant, shrinks it
/// and writes it to a file. Prints the result. Returns whether all invariants held.
///
/// @throws UsageError  if options contradict each other
bool run_storms(const CommandOptions& options);

}  // namespace elmbay::simulation
