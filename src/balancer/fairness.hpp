#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

#include "balancer/decaying.hpp"

namespace elmbay::balancer {

/// Computes the share of the concurrency limit that a tenant may use while the pool is busy: its fair share
/// by quota.
///
/// With f the tenant's fraction of the sum of all quotas, m its recent arrivals and t the recent arrivals of
/// all tenants:
///
///     share = min(1, f * (t + kPriorArrivals) / (m + f * kPriorArrivals))
///
/// A tenant within its quota fraction may use the whole limit; a tenant that sends k times its fraction may
/// use 1/k of the limit. A sidecar receives only a sample of all traffic, so it can determine which tenant
/// exceeds its quota most, but not by how much.
///
/// Owned by Balancer::Impl; not thread-safe. Holds one counter for each configured tenant.
class Fairness {
public:
    /// Decay time of a tenant's arrivals, in milliseconds.
    static constexpr Millis kTrafficDecay = 10000;
    /// The number of assumed earlier arrivals, distributed by quota. They limit the effect of the first few
    /// real arrivals, which carry little information.
    static constexpr double kPriorArrivals = 15;

    /// @param tenants the tenants of the settings; requests refer to them by index
    explicit Fairness(const std::vector<Tenant>& tenants) : tenants_(tenants), usage_(tenants.size()) {
        for (const Tenant& tenant : tenants_) total_quota_ += tenant.quota;
    }

    /// Counts an arrival and returns its tenant's share of the concurrency limit, above 0 and at most 1. The
    /// share is 1 without a tenant, with an index out of range, or if no tenant has a quota.
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
