/// @file
/// The policies by name: elmbay's own, a correct baseline, and policies that are faulty on purpose.
///
/// Each faulty policy is a LeastOutstandingPolicy with one flaw. Faulty policies test the simulation: each
/// must violate its expected invariant or metric, because a simulation that does not detect the flaw proves
/// nothing.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "simulation/baselines/balancing_policy.hpp"

namespace elmbay::simulation {

/// Name and description of a policy for the option `--balancer`.
struct PolicyDescription {
    std::string name;
    std::string description;
    std::string expected_violation;  ///< The invariant or metric that the policy violates; empty for correct
                                     ///< policies.
};

/// Returns "elmbay", then the correct baseline, then the faulty policies. Oracles are not included.
const std::vector<PolicyDescription>& named_policies();
/// Returns the names of the oracles, which make_policy() also accepts.
const std::vector<std::string>& oracle_policy_names();

/// Creates a policy for one process of a sidecar.
///
/// @throws std::invalid_argument  if no policy has that name
std::unique_ptr<BalancingPolicy> make_policy(const std::string& name, const balancer::Settings& settings,
                                             std::uint64_t seed);

}  // namespace elmbay::simulation
