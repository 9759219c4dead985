/// @file
/// The system under test: elmbay's own decision module as a policy.
#pragma once

#include <cstdint>
#include <vector>

#include "simulation/baselines/balancing_policy.hpp"

namespace elmbay::simulation {

/// Passes events to balancer::Balancer unchanged.
class ElmbayPolicy : public BalancingPolicy {
public:
    ElmbayPolicy(const balancer::Settings& settings, std::uint64_t seed) : balancer_(settings, seed) {}

    void handle(Millis now, const balancer::Event& event, std::vector<balancer::Action>& actions) override {
        balancer_.handle(now, event, actions);
    }
    balancer::LearnedState learned_state(Millis now) const override { return balancer_.learned_state(now); }

private:
    balancer::Balancer balancer_;
};

}  // namespace elmbay::simulation
