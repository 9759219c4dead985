/// @file
/// Rejects faults that contradict each other on one process.
#pragma once

#include "simulation/scenario/scenario.hpp"

namespace elmbay::simulation {

/// Appends a problem for each fault that contradicts an earlier one: a server process that ends twice or ends
/// before it has joined, two overlapping faults of the same kind on one server (it would be unclear whose
/// parameters apply), or any two overlapping faults on one sidecar. Different kinds of faults on one server
/// may overlap.
void validate_fault_overlaps(const Scenario& scenario, schema::Problems& problems);

}  // namespace elmbay::simulation
