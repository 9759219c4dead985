/// \file
/// The policies by name: elmbay's own, those it is compared with, and those that are known to be faulty.
///
/// Each faulty one is a LeastOutstandingPolicy with one flaw. They test the simulation: each has to violate
/// what it is bad at, or the simulation would prove nothing.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "simulation/baselines/balancing_policy.hpp"

namespace elmbay::simulation {

/// What a person may choose with `--balancer`.
struct PolicyDescription {
    std::string name;
    std::string description;
    std::string expected_violation;  ///< The invariant or metric that it fails; empty for sound ones.
};

/// "elmbay" first, then the sound simple one, then the faulty ones. Oracles are not among them.
const std::vector<PolicyDescription>& named_policies();
/// The oracles, which make_policy() knows as well.
const std::vector<std::string>& oracle_policy_names();

/// Creates a policy for one process of a sidecar.
///
/// \throws std::invalid_argument  if no policy has that name
std::unique_ptr<BalancingPolicy> make_policy(const std::string& name, const balancer::Settings& settings,
                                             std::uint64_t seed);

}  // namespace elmbay::simulation
