/// @file
/// Validation of a scenario that the schema cannot express, because it involves several keys or tables.
#pragma once

#include "simulation/scenario/scenario.hpp"

namespace elmbay::simulation {

/// Fills in values that a file may omit (classes, names of faults, their targets) and appends every problem.
///
/// All values must already satisfy the schema. Contradictions between faults are checked only if there are no
/// other problems.
void complete_and_validate(Scenario& scenario, schema::Problems& problems);

}  // namespace elmbay::simulation
