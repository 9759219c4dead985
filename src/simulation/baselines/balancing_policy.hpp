/// @file
/// Interface of the decision module of a simulated sidecar, which elmbay's own module and the baseline
/// policies implement.
#pragma once

#include <vector>

#include "elmbay/balancer.hpp"

namespace elmbay::simulation {

using balancer::Millis;

class ServiceModel;

/// A decision module. Each process of a simulated sidecar has its own instance. Not thread-safe.
class BalancingPolicy {
public:
    virtual ~BalancingPolicy() = default;

    /// Gives access to the state of the servers. Called before the first event. Only the oracle uses the
    /// model, which no real balancer could have. The model must outlive the policy.
    virtual void set_service_model(const ServiceModel& /*service_model*/) {}
    /// Appends the actions that follow from the event, as balancer::Balancer::handle() does.
    virtual void handle(Millis now, const balancer::Event& event, std::vector<balancer::Action>& actions) = 0;
    /// Returns the learned state, as balancer::Balancer::learned_state() does. Empty for policies without
    /// learned state.
    virtual balancer::LearnedState learned_state(Millis /*now*/) const { return {}; }
};

}  // namespace elmbay::simulation
