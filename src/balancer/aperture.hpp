#pragma once

#include <algorithm>
#include <map>
#include <set>
#include <vector>

#include "balancer/ejection.hpp"
#include "balancer/slow_start.hpp"

namespace elmbay::balancer {

/// Decides which servers this sidecar sends to: its pool. The name and the idea are Finagle's.
///
/// A sidecar with little traffic that spread it over the whole fleet would never fill an outcome window,
/// never see a queue, and open a connection for nearly each request. So it keeps to the servers of lowest
/// rank. Ranks are drawn at random, one for each server, so that sidecars differ. A server that leaves the
/// pool is replaced by the next one. Servers in slow start come on top of the width, as they take only a part
/// of their share.
///
/// With S servers, N sidecars, c requests completed per millisecond and n attempts in flight, the pool holds
/// this many warm servers, if there are that many:
///
///     coverage = min(kSidecarsPerServer * S/N, max(kMaxCoverageWidth, c * kMaxRevisitInterval,
///                                                  kMinSidecarsPerServer * S/N))
///     width    = max(kMinWidth, coverage, c * kEjectionTime / OutcomeWindow::kSize, 2 * n)
///
/// The third term of the width is the number of outcome windows that the traffic fills within one ejection;
/// the fourth leaves a choice of two when every server of the pool holds an attempt.
///
/// Also measures what warm servers complete, by machine type: slow start is a share of that.
///
/// Owned by Balancer::Impl; not thread-safe. Points at the servers of ServerTable, which removes each here
/// before it is destroyed. Holds one entry for each server and each machine type. draw_pool() is linear in
/// the width and in the servers that it passes over; nothing but set_servers() is linear in the fleet.
class Aperture {
public:
    /// Warm servers in the pool, at least: two are left to choose from when two are lost.
    static constexpr double kMinWidth = 4;
    /// Sidecars that should have each server in their pool.
    static constexpr double kSidecarsPerServer = 16;
    /// Where there are many more servers than sidecars, coverage alone widens the pool to this at most,
    /// unless traffic comes back to each server within kMaxRevisitInterval, or fewer than
    /// kMinSidecarsPerServer would have each server in their pool. In a wider pool a connection would be
    /// closed as idle before it is used again.
    static constexpr double kMaxCoverageWidth = 48;
    /// With four sidecars to each server the load of servers differs by half at most, in the mean.
    static constexpr double kMinSidecarsPerServer = 4;
    /// Milliseconds between two requests to the same server, in the mean, that a wide pool may lead to.
    static constexpr Millis kMaxRevisitInterval = 2000;
    /// Milliseconds after which the pool is drawn anew at the latest.
    static constexpr Millis kMaxPoolAge = 1000;
    /// Decay time of completion rates, in milliseconds. Short against a slow start.
    static constexpr Millis kRateDecay = 5000;
    /// A machine type that was never seen warm is taken for this share of the mean: it may be the smallest.
    static constexpr double kUnknownTypeShare = 0.5;

    /// @param siblings   sidecars that share the servers, this one included; 0 counts as 1
    /// @param slow_start must outlive the aperture
    Aperture(std::uint32_t siblings, const SlowStart& slow_start)
        : siblings_(std::max(1U, siblings)), slow_start_(&slow_start) {}

    /// Sets the number of sidecars. Call draw_pool() next.
    void set_siblings(std::uint32_t siblings) { siblings_ = std::max(1U, siblings); }
    /// Takes a whole list: all servers there are, in any order. Linear in the fleet. Call draw_pool() next.
    void set_servers(const std::vector<Server*>& all);
    /// Adds a server of an incremental list. No effect on one that is here. Call draw_pool() next.
    void add(Server* server);
    /// Removes a server. Must be called before what an incremental list says of it is changed. Call
    /// draw_pool() next.
    void remove(Server* server);
    /// A verdict of OutlierEjection has taken the server out of the pool or put it back. Call draw_pool()
    /// next.
    void set_ejected(Server* server, bool ejected);

    /// Takes over the completion rate of an earlier run, per millisecond, as of `at`.
    void restore(double rate, Millis at) {
        completions_ = {rate * kRateDecay, at};
        restored_ = true;
    }
    /// A warm server of that machine type has completed a request.
    void record_completion(std::uint32_t machine_type, Millis now) {
        completions_.add(now, kRateDecay);
        completions_by_type_[machine_type].add(now, kRateDecay);
    }
    /// Requests per millisecond that warm servers complete for this sidecar.
    double completion_rate(Millis now) const { return completions_.rate(now, kRateDecay); }
    /// Requests per millisecond that one warm server of this machine type completes for this sidecar, or
    /// completed when the pool last had one.
    double completion_rate_per_server(std::uint32_t machine_type, Millis now) const;

    /// Whether the pool has to be drawn anew: it is old, or too narrow for the attempts in flight.
    bool is_stale(Millis now, int in_flight) const { return now >= redraw_at_ || in_flight > width_; }
    /// Draws the pool anew.
    /// @param in_flight attempts in flight at warm servers
    void draw_pool(Millis now, int in_flight);

    /// The servers to send to, by rank. Those in slow start are among them.
    const std::vector<Server*>& pool() const { return pool_; }
    /// Servers that accept requests but are ejected or being probed, by rank.
    const std::vector<Server*>& ejected() const { return ejected_; }
    /// Servers that the endpoint list names.
    std::size_t listed_count() const { return listed_count_; }
    /// Warm servers in the pool.
    std::size_t warm_count() const { return warm_count_; }
    /// Whether the pool is meant to be narrower than the fleet.
    bool is_subset() const { return width_ < static_cast<double>(ranked_.size()); }
    /// Sidecars that have one server in their pool, in the mean: all of them where the pool is the fleet.
    double sidecars_per_server() const {
        const double fleet = std::max<double>(1, static_cast<double>(ranked_.size()));
        return siblings_ * std::min(1.0, width_ / fleet);
    }

private:
    struct ByRank {
        bool operator()(const Server* a, const Server* b) const {
            return a->rank != b->rank ? a->rank < b->rank : a->info.id < b->info.id;
        }
    };

    void empty_pool();
    double coverage_width(Millis now) const;
    void fill_pool(Millis now);
    // Brings the numbers of servers up to date that the completion rates are divided by.
    void count_contributors(Millis now);

    double siblings_;
    const SlowStart* slow_start_;

    // Completion rates. Maps by machine type: a deployment has a handful.
    DecayingCounter completions_;
    DecayingServerCount contributors_;  // warm servers that completed them
    bool restored_ = false;             // by restore(): its servers are not among the contributors yet
    std::map<std::uint32_t, DecayingCounter> completions_by_type_;
    std::map<std::uint32_t, DecayingServerCount> contributors_by_type_;
    std::map<std::uint32_t, double> warm_by_type_;          // warm servers of the pool
    std::map<std::uint32_t, double> last_rate_per_server_;  // as of the last pool that had one of the type

    std::set<Server*, ByRank> ranked_;
    std::vector<Server*> pool_;
    std::vector<Server*> ejected_;
    std::size_t warm_count_ = 0;
    std::size_t listed_count_ = 0;
    double width_ = 0;  // warm servers that the pool should have
    Millis redraw_at_ = 0;
};

}  // namespace elmbay::balancer
