// Pick: of two servers drawn by chance, the one with fewer of our outstanding requests (DESIGN) for its size,
// or for a session of our sessions. Where they are equal the quicker one; where crossing zones costs and
// there is no crowd, the nearer.
//
// They are drawn by size: with thin traffic most servers have none of our requests, and what is drawn
// decides. Drawn alike, small servers would get more than their part, and their late answers would close the
// room that large ones still have.
#pragma once

#include <algorithm>
#include <cmath>
#include <vector>

#include "balancer/latency_estimate.hpp"
#include "balancer/request.hpp"
#include "base/random.hpp"

namespace elmbay::balancer {

class Pick {
public:
    Pick(const Settings& settings, Random& random, const LatencyEstimate& latency)
        : preferred_zone_(settings.costs.cross_zone > 0 ? settings.my_zone : std::nullopt),
          cross_zone_cost_(settings.costs.cross_zone),
          random_(&random),
          latency_(&latency) {}

    struct LoadLevel {
        double load_ratio = 0;  // answers' time against their objective
        bool is_busy = false;
        double sidecar_share = 1;  // of what all sidecars do at one server
    };
    // One of the pool for which may_have_it(Server&) holds; before those that this request has tried come the
    // others. None: nullptr. Linear in the pool; takes no memory once it has seen the largest pool.
    template <class Predicate>
    Server* choose(const std::vector<Server*>& pool, const Request& r, const LoadLevel& load_level,
                   Millis now, Predicate may_have_it) {
        untried_.clear();
        tried_.clear();
        for (Server* s : pool)
            if (may_have_it(*s)) (r.has_tried(s->info.id) ? tried_ : untried_).push_back(s);
        if (untried_.empty()) untried_.swap(tried_);
        return untried_.empty() ? nullptr : less_loaded_of_two(r.session, load_level, now);
    }

private:
    std::size_t draw_by_weight(std::size_t count, std::size_t without);
    Server* less_loaded_of_two(bool session, const LoadLevel& load_level, Millis now);

    std::optional<ZoneId> preferred_zone_;  // none where zones don't matter
    double cross_zone_cost_;
    Random* random_;
    const LatencyEstimate* latency_;
    std::vector<Server*> untried_, tried_;  // kept for their memory
};

}  // namespace elmbay::balancer
