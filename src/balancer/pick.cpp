#include "balancer/pick.hpp"

namespace elmbay::balancer {

std::size_t Pick::draw_by_weight(std::size_t count, std::size_t excluded) {
    double total_weight = 0;
    for (std::size_t index = 0; index < count; ++index) {
        if (index != excluded) total_weight += candidates_[index]->info.weight;
    }
    double remaining = random_->uniform() * total_weight;
    std::size_t drawn = 0;
    for (std::size_t index = 0; index < count; ++index) {
        if (index == excluded) continue;
        drawn = index;
        remaining -= candidates_[index]->info.weight;
        if (remaining < 0) break;
    }
    return drawn;
}

std::size_t Pick::move_preferred_zone_first() {
    fallback_candidates_.clear();
    std::size_t preferred_count = 0;
    for (Server* server : candidates_) {
        if (server->info.zone == *preferred_zone_) {
            candidates_[preferred_count++] = server;
        } else {
            fallback_candidates_.push_back(server);
        }
    }
    const auto others = candidates_.begin() + static_cast<std::ptrdiff_t>(preferred_count);
    std::copy(fallback_candidates_.begin(), fallback_candidates_.end(), others);
    return preferred_count;
}

bool Pick::crossing_costs_more_than_delay(const LoadLevel& load_level) const {
    const double late_probability = std::exp(-1 / load_level.load_ratio);
    return load_level.sidecar_share * cross_zone_cost_ > late_probability;
}

Server* Pick::less_loaded_of_two(bool session, const LoadLevel& load_level, Millis now) {
    const bool zone_matters = preferred_zone_ && !load_level.is_busy;
    const std::size_t preferred_count = zone_matters ? move_preferred_zone_first() : 0;
    const std::size_t nothing_excluded = candidates_.size();
    const std::size_t first =
        draw_by_weight(preferred_count > 0 ? preferred_count : candidates_.size(), nothing_excluded);
    if (candidates_.size() == 1) return candidates_[first];
    const std::size_t second = draw_by_weight(candidates_.size(), first);
    const Server& first_server = *candidates_[first];
    const Server& second_server = *candidates_[second];

    // The number of additional requests that the first server may have in flight and still be chosen.
    const bool only_first_is_near = preferred_count > 0 && second >= preferred_count;
    const int allowance = only_first_is_near && crossing_costs_more_than_delay(load_level) ? 1 : 0;

    const auto load = [&](const Server& server, int extra) {
        const int held_count = session ? static_cast<int>(server.sessions) : server.in_flight;
        return (held_count + extra) / server.info.weight;
    };
    if (load(second_server, allowance) < load(first_server, 0)) return candidates_[second];
    const bool latency_decides = load(second_server, 0) == load(first_server, 0) && !only_first_is_near;
    const bool second_is_quicker = latency_decides && latency_->latency_ratio(second_server, now) <
                                                          latency_->latency_ratio(first_server, now);
    return candidates_[second_is_quicker ? second : first];
}

}  // namespace elmbay::balancer
