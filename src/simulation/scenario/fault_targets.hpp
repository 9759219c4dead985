/// @file
/// Resolves the names in a fault to servers, sidecars and link ends.
#pragma once

#include <cstddef>

#include "simulation/scenario/scenario.hpp"

namespace elmbay::simulation {

/// Returns the name of a fault in problem messages, "fault N" or "fault N.KEY". N is `index` + 1, because
/// `index` counts from 0.
std::string fault_key(std::size_t index, const std::string& key = "");

/// Replaces each zone in `groups`, `from` and `to` by the processes in that zone, and appends a problem for
/// each unknown name.
void resolve_link_ends(FaultSpec& fault, std::size_t index, const Scenario& scenario,
                       schema::Problems& problems);

/// Sets target_ids from targets. A share is rounded up, so that a small share of a small fleet still selects
/// one process. The scenario's seed determines which processes a share selects.
void resolve_targets(FaultSpec& fault, std::size_t index, const Scenario& scenario,
                     schema::Problems& problems);

}  // namespace elmbay::simulation
