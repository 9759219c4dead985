#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

#include "balancer/decaying.hpp"

namespace elmbay::balancer {

/// Decides which share of the concurrency limit a tenant may use while the pool is busy: its fair share by
/// quota.
///
/// With f the tenant's part of all quotas, m its recent arrivals and t those of all tenants:
///
///     share = min(1, f * (t + kPriorArrivals) / (m + f * kPriorArrivals))
///
/// A tenant that keeps to its part has the whole limit; one that sends k times its part has 1/k of it. A
/// sidecar sees a sample of the whole traffic. So it knows who sends most beyond its quota, but not how much
/// that is.
///
/// Owned by Balancer::Impl; not thread-safe. Holds one counter for each tenant of the settings.
class Fairness {
public:
    /// Decay time of a tenant's arrivals, in milliseconds.
    static constexpr Millis kTrafficDecay = 10000;
    /// Arrivals, spread by quota, that count as seen before: few real ones say little.
    static constexpr double kPriorArrivals = 15;

    /// @param tenants as in the settings; requests name them by index
    explicit Fairness(const std::vector<Tenant>& tenants) : tenants_(tenants), usage_(tenants.size()) {
        for (const Tenant& tenant : tenants_) total_quota_ += tenant.quota;
    }

    /// Counts an arrival and returns its tenant's share of the concurrency limit, above 0 to 1. Without a
    /// tenant, with one out of range, or without any quota it is 1.
    double record_arrival(std::optional<std::uint32_t> tenant, Millis now) {
        if (!tenant || *tenant >= usage_.size() || total_quota_ == 0) return 1;
        const double quota_share = tenants_[*tenant].quota / total_quota_;
        DecayingCounter& usage = usage_[*tenant];
        total_usage_.add(now, kTrafficDecay);
        usage.add(now, kTrafficDecay);
        return std::min(1.0, quota_share * (total_usage_.count + kPriorArrivals) /
                                 (usage.count + quota_share * kPriorArrivals));
    }

private:
    std::vector<Tenant> tenants_;
    std::vector<DecayingCounter> usage_;  // by tenant
    DecayingCounter total_usage_;
    double total_quota_ = 0;
};

}  // namespace elmbay::balancer
