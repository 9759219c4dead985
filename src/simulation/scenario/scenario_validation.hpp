/// \file
/// What the schema cannot check, as it depends on several keys or several tables of a scenario file.
#pragma once

#include "simulation/scenario/scenario.hpp"

namespace elmbay::simulation {

/// Fills in what a file may leave out (classes, names of faults, their targets) and appends every problem.
///
/// Expects values that the schema admits. Problems of combined faults are looked for only if there are no
/// others.
void complete_and_validate(Scenario& scenario, schema::Problems& problems);

}  // namespace elmbay::simulation
