#pragma once

#include <algorithm>
#include <map>
#include <set>
#include <vector>

#include "balancer/ejection.hpp"
#include "balancer/slow_start.hpp"

namespace elmbay::balancer {

/// Selects the servers that this sidecar sends requests to: its pool. The name and the method are from
/// Finagle's aperture load balancer.
///
/// A sidecar with little traffic that spread its requests over the whole fleet would never fill an outcome
/// window, never observe a queue, and open a connection for nearly each request. The pool therefore consists
/// of the servers of the lowest rank. Each server's rank is drawn at random, so the pools of different
/// sidecars differ. When a server leaves the pool, the server of the next rank replaces it. Servers in slow
/// start are added beyond the width, because they receive only a part of their share.
///
/// With S servers, N sidecars, c requests completed per millisecond and n attempts in flight, the pool holds
/// this number of warm servers, as far as available:
///
///     coverage = min(kSidecarsPerServer * S/N, max(kMaxCoverageWidth, c * kMaxRevisitInterval,
///                                                  kMinSidecarsPerServer * S/N))
///     width    = max(kMinWidth, coverage, c * kEjectionTime / OutcomeWindow::kSize, 2 * n)
///
/// The third term of the width is the number of outcome windows that the traffic fills within one ejection
/// time. The fourth term leaves a choice of two servers when every server of the pool has an attempt in
/// flight.
///
/// Aperture also measures the completion rate of warm servers by machine type; slow start limits requests to
/// a share of it.
///
/// Owned by Balancer::Impl; not thread-safe. Holds pointers to the servers of ServerTable, which removes each
/// server here before destroying it. Stores one entry for each server and each machine type. draw_pool() is
/// linear in the width and in the number of servers it skips; only set_servers() is linear in the fleet.
class Aperture {
public:
    /// The minimum number of warm servers in the pool: after the loss of two servers, two are left to choose
    /// from.
    static constexpr double kMinWidth = 4;
    /// The number of sidecars that should have each server in their pool.
    static constexpr double kSidecarsPerServer = 16;
    /// The largest width that coverage alone leads to if servers far outnumber sidecars. A wider pool is
    /// allowed if the traffic reaches each of its servers within kMaxRevisitInterval, or if fewer than
    /// kMinSidecarsPerServer sidecars would have each server in their pool. Otherwise, a connection in a
    /// wider pool would be closed as idle before its next use.
    static constexpr double kMaxCoverageWidth = 48;
    /// The minimum number of sidecars that have each server in their pool. With four sidecars for each
    /// server, the mean load of servers differs by half at most.
    static constexpr double kMinSidecarsPerServer = 4;
    /// The longest mean time between two requests to the same server that a wide pool may cause, in
    /// milliseconds.
    static constexpr Millis kMaxRevisitInterval = 2000;
    /// The maximum time between two draws of the pool, in milliseconds.
    static constexpr Millis kMaxPoolAge = 1000;
    /// Decay time of completion rates, in milliseconds. It is short compared with a slow start.
    static constexpr Millis kRateDecay = 5000;
    /// The share of the mean completion rate assumed for a machine type without a measured warm server,
    /// because that type may be the smallest.
    static constexpr double kUnknownTypeShare = 0.5;

    /// @param siblings   sidecars that share the servers, including this one; 0 counts as 1
    /// @param slow_start must outlive the aperture
    Aperture(std::uint32_t siblings, const SlowStart& slow_start)
        : siblings_(std::max(1U, siblings)), slow_start_(&slow_start) {}

    /// Sets the number of sidecars. The caller calls draw_pool() next.
    void set_siblings(std::uint32_t siblings) { siblings_ = std::max(1U, siblings); }
    /// Replaces all servers with a whole list, in any order. Linear in the fleet. The caller calls
    /// draw_pool() next.
    void set_servers(const std::vector<Server*>& all);
    /// Adds a server from an incremental list. No effect on a server that is already present. The caller
    /// calls draw_pool() next.
    void add(Server* server);
    /// Removes a server. Must be called before the fields of the server change. The caller calls draw_pool()
    /// next.
    void remove(Server* server);
    /// Records that OutlierEjection ejected or restored the server. The caller calls draw_pool() next.
    void set_ejected(Server* server, bool ejected);

    /// Restores the completion rate of an earlier run, per millisecond, as of `at`.
    void restore(double rate, Millis at) {
        completions_ = {rate * kRateDecay, at};
        has_uncounted_restored_rate_ = true;
    }
    /// Records that a warm server of the given machine type completed a request.
    void record_completion(std::uint32_t machine_type, Millis now) {
        completions_.add(now, kRateDecay);
        completions_by_type_[machine_type].add(now, kRateDecay);
    }
    /// Returns the requests per millisecond that warm servers complete for this sidecar.
    double completion_rate(Millis now) const { return completions_.rate(now, kRateDecay); }
    /// Returns the requests per millisecond that one warm server of this machine type completes for this
    /// sidecar, or completed when the pool last contained one.
    double completion_rate_per_server(std::uint32_t machine_type, Millis now) const;

    /// Whether the pool must be redrawn because it is old or too narrow for the attempts in flight.
    bool is_stale(Millis now, int in_flight) const { return now >= redraw_at_ || in_flight > width_; }
    /// Redraws the pool.
    /// @param in_flight attempts in flight at warm servers
    void draw_pool(Millis now, int in_flight);

    /// Returns the servers of the pool by rank, including servers in slow start.
    const std::vector<Server*>& pool() const { return pool_; }
    /// Returns the servers that accept requests but are ejected or being probed, by rank.
    const std::vector<Server*>& ejected() const { return ejected_; }
    /// Returns the number of servers in the endpoint list.
    std::size_t listed_count() const { return listed_count_; }
    /// Returns the number of warm servers in the pool.
    std::size_t warm_count() const { return warm_count_; }
    /// Whether the pool is designed to be narrower than the fleet.
    bool is_subset() const { return width_ < static_cast<double>(ranked_.size()); }
    /// Returns the mean number of sidecars that have one server in their pool: all sidecars if the pool is
    /// the whole fleet.
    double sidecars_per_server() const {
        const double fleet = std::max<double>(1, static_cast<double>(ranked_.size()));
        return siblings_ * std::min(1.0, width_ / fleet);
    }

private:
    struct ByRank {
        bool operator()(const Server* left, const Server* right) const {
            return left->rank != right->rank ? left->rank < right->rank : left->info.id < right->info.id;
        }
    };

    void empty_pool();
    double coverage_width(Millis now) const;
    void fill_pool(Millis now);
    // Updates the numbers of servers that the completion rates are divided by.
    void count_contributors(Millis now);

    double siblings_;
    const SlowStart* slow_start_;

    // Completion rates. The maps have one entry for each machine type, which are few in a deployment.
    DecayingCounter completions_;
    DecayingServerCount contributors_;  // the warm servers that completed the requests
    // Set by restore() until the contributors include the servers of the restored rate.
    bool has_uncounted_restored_rate_ = false;
    std::map<std::uint32_t, DecayingCounter> completions_by_type_;
    std::map<std::uint32_t, DecayingServerCount> contributors_by_type_;
    std::map<std::uint32_t, double> warm_by_type_;  // warm servers of the pool by machine type
    // From the last pool that contained the machine type.
    std::map<std::uint32_t, double> last_rate_per_server_;

    std::set<Server*, ByRank> ranked_;
    std::vector<Server*> pool_;
    std::vector<Server*> ejected_;
    std::size_t warm_count_ = 0;
    std::size_t listed_count_ = 0;
    double width_ = 0;  // target number of warm servers in the pool
    Millis redraw_at_ = 0;
};

}  // namespace elmbay::balancer
