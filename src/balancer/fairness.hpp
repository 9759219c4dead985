// Fairness: each tenant's part of the traffic that this sidecar sees against its part of all quotas. What it
// sees is a sample of the whole, so who sends most beyond its share is known here, though not how much of it.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "balancer/decaying.hpp"

namespace elmbay::balancer {

class Fairness {
public:
    static constexpr Millis kMemory = 10000;  // of a tenant's traffic
    static constexpr double kPrior = 15;      // believed by so many arrivals

    explicit Fairness(const std::vector<Tenant>& tenants) : tenants_(tenants), usage_(tenants.size()) {
        for (const Tenant& t : tenants_) quotas_ += t.quota;
    }

    // Counts an arrival. The part of the room that is there for its tenant, above 0 to 1; nobody's: 1.
    double arrived(std::optional<std::uint32_t> tenant, Millis now) {
        if (!tenant || *tenant >= usage_.size() || quotas_ == 0) return 1;
        const double fair = tenants_[*tenant].quota / quotas_;
        DecayingCounter& mine = usage_[*tenant];
        all_.add(now, kMemory);
        mine.add(now, kMemory);
        return std::min(1.0, fair * (all_.count + kPrior) / (mine.count + fair * kPrior));
    }

private:
    std::vector<Tenant> tenants_;
    std::vector<DecayingCounter> usage_;  // by tenant
    DecayingCounter all_;
    double quotas_ = 0;
};

}  // namespace elmbay::balancer
