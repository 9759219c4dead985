// Aperture (Finagle): how many of the servers this sidecar keeps to, and which.
//
// Light clients: spread over the whole fleet, a few requests a second never fill a window, never show a queue
// and open a connection each. So a sidecar keeps to the servers of lowest rank (drawn by chance once for each
// server, so that sidecars differ), replaces one that leaves the pool by the next, and adds cold ones on top,
// as they can take only a part of their share.
#pragma once

#include <algorithm>
#include <map>
#include <set>
#include <vector>

#include "balancer/ejection.hpp"
#include "balancer/slow_start.hpp"

namespace elmbay::balancer {

class Aperture {
public:
    // Never fewer warm servers than kMinWidth, two to choose from when two are lost, and so many that each is
    // in the sight of kSidecarsPerServer sidecars.
    static constexpr double kMinWidth = 4, kSidecarsPerServer = 16;
    // But where there are many more servers than sidecars, no more for that than kMaxCoverageWidth, or than
    // have an answer to give every kMaxRevisitInterval, or than leave each server in the sight of
    // kMinSidecarsPerServer. A light sidecar would come back to a server of a wider pool only after its
    // connection has been closed as idle, and open one for nearly each request. With kMinSidecarsPerServer
    // the load of servers still differs by half at most, in the mean.
    static constexpr double kMaxCoverageWidth = 48, kMinSidecarsPerServer = 4;
    static constexpr Millis kMaxRevisitInterval = 2000;
    static constexpr Millis kMaxPoolAge = 1000;  // the pool is drawn anew after this at the latest
    static constexpr Millis kRateDecay = 5000;   // of what servers complete: short against a warm-up

    static constexpr double kUnknownTypeShare =
        0.5;  // of the mean: a kind that was never seen warm may be the smallest

    Aperture(std::uint32_t siblings, const SlowStart& slow_start)
        : siblings_(std::max(1U, siblings)), slow_start_(&slow_start) {}

    void set_siblings(std::uint32_t siblings) { siblings_ = std::max(1U, siblings); }
    // A whole list: all servers there are, in any order. Linear in the fleet; nothing else here is.
    void set_servers(const std::vector<Server*>& all);
    // An incremental list: each server it names is removed before it changes and added after that, if there
    // is still something to add. draw() comes next.
    void add(Server* s);
    void remove(Server* s);
    // A verdict has taken it out of the pool or put it back: draw() comes next.
    void set_ejected(Server* s, bool ejected);

    // An earlier life had it at so many a ms at that time.
    void restore(double rate, Millis at) {
        completions_ = {rate * kRateDecay, at};
        restored_ = true;
    }
    // A warm server of that kind has completed a request.
    void record_completion(std::uint32_t machine_type, Millis now) {
        for (DecayingCounter* t : {&completions_, &completions_by_type_[machine_type]})
            t->add(now, kRateDecay);
    }
    double completion_rate(Millis now) const { return completions_.rate(now, kRateDecay); }
    // What one warm server of this kind carries of that, or carried when the pool last had one.
    double completion_rate_per_server(std::uint32_t machine_type, Millis now) const;

    bool is_stale(Millis now, int in_flight) const { return now >= redraw_at_ || in_flight > width_; }
    // outstanding: attempts at warm servers.
    void draw_pool(Millis now, int in_flight);

    const std::vector<Server*>& pool() const { return pool_; }        // live servers, cold ones on top
    const std::vector<Server*>& ejected() const { return ejected_; }  // removed, or on trial
    std::size_t listed_count() const { return listed_count_; }
    std::size_t warm_count() const { return warm_count_; }  // of the pool
    bool is_subset() const { return width_ < static_cast<double>(ranked_.size()); }
    // Sidecars that have one server in their pool: all of them where the pool is the whole fleet.
    double sidecars_per_server() const {
        return siblings_ * std::min(1.0, width_ / std::max<double>(1, static_cast<double>(ranked_.size())));
    }

private:
    void count_contributors(Millis now);

    double siblings_;
    const SlowStart* slow_start_;
    DecayingCounter completions_;
    DecayingServerCount contributors_;  // warm servers that did
    bool restored_ = false;             // by an earlier life: its servers are not among the contributors yet
    std::map<std::uint32_t, DecayingCounter>
        completions_by_type_;  // carried, by kind: a deployment has a handful
    std::map<std::uint32_t, DecayingServerCount> contributors_by_type_;
    std::map<std::uint32_t, double> warm_by_type_,
        last_rate_per_server_;  // warm ones of the pool, and what one carries, as of draw()
    struct ByRank {
        bool operator()(const Server* a, const Server* b) const {
            return a->rank != b->rank ? a->rank < b->rank : a->info.id < b->info.id;
        }
    };
    void empty_pool();
    double coverage_width(Millis now) const;

    std::set<Server*, ByRank> ranked_;
    std::vector<Server*> pool_, ejected_;
    std::size_t warm_count_ = 0, listed_count_ = 0;
    double width_ = 0;      // how many warm ones there should be
    Millis redraw_at_ = 0;  // when the pool has to be drawn anew
};

}  // namespace elmbay::balancer
