// What decides in a rehearsal in virtual time: elmbay's own decision module, or one that is known to be bad.
//
// The bad ones are one plain balancer, sound but simple, with one flaw each. They are there to prove the
// rehearsal: one that a bad balancer passes proves nothing.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "hollybeam/balancer.hpp"

namespace elmbay::rehearsal {

using hollybeam::Millis;

class Decider {
public:
    virtual ~Decider() = default;
    // As hollybeam::Balancer::handle().
    virtual void handle(Millis now, const hollybeam::Event& event,
                        std::vector<hollybeam::Action>& actions) = 0;
};

struct BalancerName {
    std::string name;
    std::string about;
    std::string breaks;  // what is to be seen when it plays; empty for the sound ones
};
// "elmbay" first, then the sound plain one, then the bad ones.
const std::vector<BalancerName>& balancer_names();
// Throws std::invalid_argument for a name that is none of these.
std::unique_ptr<Decider> make_balancer(const std::string& name, const hollybeam::Settings& settings,
                                       std::uint64_t seed);

}  // namespace elmbay::rehearsal
