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
    Pick(const Settings& settings, Random& random, const LatencyEstimate& pace)
        : zone_(settings.costs.cross_zone > 0 ? settings.my_zone : std::nullopt),
          cross_zone_cost_(settings.costs.cross_zone),
          random_(&random),
          pace_(&pace) {}

    struct LoadLevel {
        double value = 0;  // answers' time against their objective
        bool crowded = false;
        double our_part = 1;  // of what all sidecars do at one server
    };
    // One of the pool for which may(Server&) holds; before those that this request has tried come the others.
    // None: nullptr. Linear in the pool; takes no memory once it has seen the largest pool.
    template <class May>
    Server* one_of(const std::vector<Server*>& pool, const Request& r, const LoadLevel& crowd, Millis now,
                   May may) {
        fresh_.clear();
        again_.clear();
        for (Server* s : pool)
            if (may(*s)) (r.tried(s->info.id) ? again_ : fresh_).push_back(s);
        if (fresh_.empty()) fresh_.swap(again_);
        return fresh_.empty() ? nullptr : better_of_two(r.session, crowd, now);
    }

private:
    std::size_t draw(std::size_t count, std::size_t without);
    Server* better_of_two(bool session, const LoadLevel& crowd, Millis now);

    std::optional<ZoneId> zone_;  // none where zones don't matter
    double cross_zone_cost_;
    Random* random_;
    const LatencyEstimate* pace_;
    std::vector<Server*> fresh_, again_;  // kept for their memory
};

}  // namespace elmbay::balancer
