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
    static constexpr Millis kTrafficDecay = 10000;  // of a tenant's traffic
    static constexpr double kPriorArrivals = 15;    // believed by so many arrivals

    explicit Fairness(const std::vector<Tenant>& tenants) : tenants_(tenants), usage_(tenants.size()) {
        for (const Tenant& t : tenants_) total_quota_ += t.quota;
    }

    // Counts an arrival. The part of the room that is there for its tenant, above 0 to 1; nobody's: 1.
    double record_arrival(std::optional<std::uint32_t> tenant, Millis now) {
        if (!tenant || *tenant >= usage_.size() || total_quota_ == 0) return 1;
        const double fair = tenants_[*tenant].quota / total_quota_;
        DecayingCounter& mine = usage_[*tenant];
        total_usage_.add(now, kTrafficDecay);
        mine.add(now, kTrafficDecay);
        return std::min(1.0,
                        fair * (total_usage_.count + kPriorArrivals) / (mine.count + fair * kPriorArrivals));
    }

private:
    std::vector<Tenant> tenants_;
    std::vector<DecayingCounter> usage_;  // by tenant
    DecayingCounter total_usage_;
    double total_quota_ = 0;
};

}  // namespace elmbay::balancer
