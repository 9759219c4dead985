// What decides in a simulation in virtual time: elmbay's own decision module, or one that is known to be bad.
//
// The oracle is no balancer that could be: it reads every server's queue. It gives the figure that others are
// a share of.
//
// The bad ones are one plain balancer, sound but simple, with one flaw each. They are there to prove the
// simulation: one that a bad balancer passes proves nothing.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "elmbay/balancer.hpp"

namespace elmbay::simulation {

using balancer::Millis;

class ServiceModel;

class BalancingPolicy {
public:
    virtual ~BalancingPolicy() = default;
    // Before the first event. Only the oracle looks.
    virtual void observe(const ServiceModel&) {}
    // As balancer::Balancer::handle().
    virtual void handle(Millis now, const balancer::Event& event, std::vector<balancer::Action>& actions) = 0;
    // As balancer::Balancer::learned_state(); those that learn nothing know nothing.
    virtual balancer::LearnedState learned_state(Millis) const { return {}; }
};

struct PolicyDescription {
    std::string name;
    std::string description;
    std::string expected_violation;  // what is to be seen when it plays; empty for the sound ones
};
// "elmbay" first, then the sound plain one, then the bad ones.
const std::vector<PolicyDescription>& named_policies();
// The oracle at each of its shares; make_balancer() knows them, balancer_names() does not list them.
const std::vector<std::string>& oracle_policy_names();
// Throws std::invalid_argument for a name that is none of these.
std::unique_ptr<BalancingPolicy> make_policy(const std::string& name, const balancer::Settings& settings,
                                             std::uint64_t seed);

}  // namespace elmbay::simulation
