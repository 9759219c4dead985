/// \file
/// Resolves the names in a fault to servers, sidecars and ends of links.
#pragma once

#include <cstddef>

#include "simulation/scenario/scenario.hpp"

namespace elmbay::simulation {

/// "fault N", or "fault N.KEY": how problems name fault number `index`, which counts from 0.
std::string fault_key(std::size_t index, const std::string& key = "");

/// Replaces zones in `groups`, `from` and `to` by the processes in them, and checks the names.
void resolve_link_ends(FaultSpec& fault, std::size_t index, const Scenario& scenario,
                       schema::Problems& problems);

/// Fills target_ids from targets. A share is rounded up, so that a small share of a small fleet still has one
/// target; its members are drawn by the scenario's seed.
void resolve_targets(FaultSpec& fault, std::size_t index, const Scenario& scenario,
                     schema::Problems& problems);

}  // namespace elmbay::simulation
