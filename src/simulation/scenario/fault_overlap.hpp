/// \file
/// Faults that cannot hold at the same time on one process.
#pragma once

#include "simulation/scenario/scenario.hpp"

namespace elmbay::simulation {

/// Appends a problem for each fault that contradicts an earlier one: a server's process that ends twice, one
/// that ends before it has joined, the same kind of fault twice at once on one server (which of the two
/// figures would hold?), or any two faults on one sidecar. Different kinds of faults on one server may
/// overlap.
void validate_fault_overlaps(const Scenario& scenario, schema::Problems& problems);

}  // namespace elmbay::simulation
