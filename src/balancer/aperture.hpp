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

#include "balancer/cold_start.hpp"
#include "balancer/ejection.hpp"

namespace elmbay::balancer {

class Aperture {
public:
    // Never fewer warm servers than kNarrow, two to choose from when two are lost, and so many that each is
    // in the sight of kSeen sidecars.
    static constexpr double kNarrow = 4, kSeen = 16;
    // But where there are many more servers than sidecars, no more for that than kWide, or than have an
    // answer to give every kRevisit, or than leave each server in the sight of kLeastSeen. A light sidecar
    // would come back to a server of a wider pool only after its connection has been closed as idle, and open
    // one for nearly each request. With kLeastSeen the load of servers still differs by half at most, in the
    // mean.
    static constexpr double kWide = 48, kLeastSeen = 4;
    static constexpr Millis kRevisit = 2000;
    static constexpr Millis kPoolAge = 1000;     // the pool is drawn anew after this at the latest
    static constexpr Millis kRateMemory = 5000;  // of what servers complete: short against a warm-up

    static constexpr double kUnlike =
        0.5;  // of the mean: a kind that was never seen warm may be the smallest

    Aperture(std::uint32_t siblings, const ColdStart& cold)
        : siblings_(std::max(1U, siblings)), cold_(&cold) {}

    void set_siblings(std::uint32_t siblings) { siblings_ = std::max(1U, siblings); }
    // A whole list: all servers there are, in any order. Linear in the fleet; nothing else here is.
    void set_servers(const std::vector<Server*>& all);
    // An incremental list: each server it names is removed before it changes and added after that, if there
    // is still something to add. draw() comes next.
    void add(Server* s);
    void remove(Server* s);
    // A verdict has taken it out of the pool or put it back: draw() comes next.
    void set_out(Server* s, bool out);

    // An earlier life had it at so many a ms at that time.
    void recall(double rate, Millis at) {
        carried_ = {rate * kRateMemory, at};
        recalled_ = true;
    }
    // A warm server of that kind has completed a request.
    void completed(std::uint32_t machine_type, Millis now) {
        for (DecayingCounter* t : {&carried_, &of_[machine_type]}) t->add(now, kRateMemory);
    }
    double carried_rate(Millis now) const { return carried_.rate(now, kRateMemory); }
    // What one warm server of this kind carries of that, or carried when the pool last had one.
    double each(std::uint32_t machine_type, Millis now) const;

    bool stale(Millis now, int outstanding) const { return now >= until_ || outstanding > width_; }
    // outstanding: attempts at warm servers.
    void draw(Millis now, int outstanding);

    const std::vector<Server*>& pool() const { return pool_; }  // live servers, cold ones on top
    const std::vector<Server*>& out() const { return out_; }    // removed, or on trial
    std::size_t listed() const { return listed_; }
    std::size_t warm() const { return warm_; }  // of the pool
    bool narrow() const { return width_ < static_cast<double>(ranked_.size()); }
    // Sidecars that have one server in their pool: all of them where the pool is the whole fleet.
    double sight() const {
        return siblings_ * std::min(1.0, width_ / std::max<double>(1, static_cast<double>(ranked_.size())));
    }

private:
    void count_carriers(Millis now);

    double siblings_;
    const ColdStart* cold_;
    DecayingCounter carried_;
    Carriers carriers_;      // warm servers that did
    bool recalled_ = false;  // by an earlier life: its servers are not among the carriers yet
    std::map<std::uint32_t, DecayingCounter> of_;  // carried, by kind: a deployment has a handful
    std::map<std::uint32_t, Carriers> carriers_of_;
    std::map<std::uint32_t, double> alike_,
        each_;  // warm ones of the pool, and what one carries, as of draw()
    struct ByRank {
        bool operator()(const Server* a, const Server* b) const {
            return a->rank != b->rank ? a->rank < b->rank : a->info.id < b->info.id;
        }
    };
    void empty_pool();
    double wide_enough_to_be_seen(Millis now) const;

    std::set<Server*, ByRank> ranked_;
    std::vector<Server*> pool_, out_;
    std::size_t warm_ = 0, listed_ = 0;
    double width_ = 0;  // how many warm ones there should be
    Millis until_ = 0;  // when the pool has to be drawn anew
};

}  // namespace elmbay::balancer
