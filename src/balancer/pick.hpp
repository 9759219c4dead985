#pragma once

#include <algorithm>
#include <cmath>
#include <optional>
#include <vector>

#include "balancer/latency_estimate.hpp"
#include "balancer/request.hpp"
#include "base/random.hpp"

namespace elmbay::balancer {

/// Chooses a server of the pool by the power of two choices (DESIGN).
///
/// Draws two candidates at random, in proportion to their weight, and returns the one with fewer requests of
/// this sidecar in flight per unit of weight; for a session, the one with fewer sessions per unit of weight.
/// On a tie, the server with the lower latency estimate is chosen.
///
/// If crossing zones has a cost and the pool is not busy, the first candidate is drawn from the sidecar's own
/// zone if possible. It is preferred over a server of another zone on a tie, and also with one more request
/// in flight while
///
///     sidecar_share * cross_zone_cost > exp(-1 / load_ratio)
///
/// that is, while this sidecar's share of the cost exceeds the probability of a late response.
///
/// Drawing by weight is essential under light traffic, when most servers have no request in flight and the
/// draw alone decides. With equal probabilities, small servers would receive more than their share, and their
/// late responses would lower the concurrency limit although large servers have capacity.
///
/// Owned by Balancer::Impl; not thread-safe. Linear in the size of the pool; allocates only when the pool
/// exceeds its largest size so far.
class Pick {
public:
    /// The load on the pool, as measured by Admission.
    struct LoadLevel {
        double load_ratio = 0;     ///< Admission::load_ratio()
        bool is_busy = false;      ///< Admission::is_busy()
        double sidecar_share = 1;  ///< Admission::sidecar_share()
    };

    /// @param random must outlive the object, as must `latency`
    Pick(const Settings& settings, Random& random, const LatencyEstimate& latency)
        : preferred_zone_(settings.costs.cross_zone > 0 ? settings.local_zone : std::nullopt),
          cross_zone_cost_(settings.costs.cross_zone),
          random_(&random),
          latency_(&latency) {}

    /// Chooses one of the servers of the pool for which `is_allowed(Server&)` holds. Servers that the request
    /// has already tried are considered only if there are no others. Returns nullptr if no server is allowed.
    template <class Predicate>
    Server* choose(const std::vector<Server*>& pool, const Request& request, const LoadLevel& load_level,
                   Millis now, Predicate is_allowed) {
        candidates_.clear();
        fallback_candidates_.clear();
        for (Server* server : pool) {
            if (!is_allowed(*server)) continue;
            const bool tried = request.has_tried(server->info.id);
            (tried ? fallback_candidates_ : candidates_).push_back(server);
        }
        if (candidates_.empty()) candidates_.swap(fallback_candidates_);
        if (candidates_.empty()) return nullptr;
        return less_loaded_of_two(request.session, load_level, now);
    }

private:
    // Returns a random index below `count` other than `excluded`, with a probability in proportion to the
    // weight of the candidate.
    std::size_t draw_by_weight(std::size_t count, std::size_t excluded);
    // Moves the candidates of the preferred zone to the front, keeping their order. Returns their number.
    std::size_t move_preferred_zone_first();
    bool crossing_costs_more_than_delay(const LoadLevel& load_level) const;
    Server* less_loaded_of_two(bool session, const LoadLevel& load_level, Millis now);

    std::optional<ZoneId> preferred_zone_;  // empty if zones are ignored
    double cross_zone_cost_;
    Random* random_;
    const LatencyEstimate* latency_;
    // These are members only to reuse their memory between calls.
    std::vector<Server*> candidates_;
    std::vector<Server*>
        fallback_candidates_;  // servers that the request has already tried; later a temporary buffer
};

}  // namespace elmbay::balancer
