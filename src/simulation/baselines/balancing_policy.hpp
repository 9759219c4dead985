/// \file
/// What decides in a simulated sidecar: the interface of elmbay's decision module and of those it is compared
/// with.
#pragma once

#include <vector>

#include "elmbay/balancer.hpp"

namespace elmbay::simulation {

using balancer::Millis;

class ServiceModel;

/// A decision module. Each simulated sidecar owns one for each of its processes. Not thread-safe.
class BalancingPolicy {
public:
    virtual ~BalancingPolicy() = default;

    /// Gives access to the servers' state, before the first event. Only the oracle uses it, which is no
    /// balancer that could be built. The model outlives the policy.
    virtual void set_service_model(const ServiceModel& /*service_model*/) {}
    /// As balancer::Balancer::handle(): appends the actions that follow from the event.
    virtual void handle(Millis now, const balancer::Event& event, std::vector<balancer::Action>& actions) = 0;
    /// As balancer::Balancer::learned_state(). Empty for policies that learn nothing.
    virtual balancer::LearnedState learned_state(Millis /*now*/) const { return {}; }
};

}  // namespace elmbay::simulation
