#include "balancer/pick.hpp"

namespace elmbay::balancer {

std::size_t Pick::draw_by_weight(std::size_t count, std::size_t excluded) {
    double total_weight = 0;
    for (std::size_t i = 0; i < count; ++i) {
        if (i != excluded) total_weight += candidates_[i]->info.weight;
    }
    double remaining = random_->uniform() * total_weight;
    std::size_t drawn = 0;
    for (std::size_t i = 0; i < count; ++i) {
        if (i == excluded) continue;
        drawn = i;
        remaining -= candidates_[i]->info.weight;
        if (remaining < 0) break;
    }
    return drawn;
}

std::size_t Pick::move_preferred_zone_first() {
    spare_.clear();
    std::size_t preferred_count = 0;
    for (Server* server : candidates_) {
        if (server->info.zone == *preferred_zone_) {
            candidates_[preferred_count++] = server;
        } else {
            spare_.push_back(server);
        }
    }
    const auto others = candidates_.begin() + static_cast<std::ptrdiff_t>(preferred_count);
    std::copy(spare_.begin(), spare_.end(), others);
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
    const Server& a = *candidates_[first];
    const Server& b = *candidates_[second];

    // How many requests more the first may have in flight and still win.
    const bool only_first_is_near = preferred_count > 0 && second >= preferred_count;
    const int allowance = only_first_is_near && crossing_costs_more_than_delay(load_level) ? 1 : 0;

    const auto load = [&](const Server& server, int more) {
        const int held = session ? static_cast<int>(server.sessions) : server.in_flight;
        return (held + more) / server.info.weight;
    };
    if (load(b, allowance) < load(a, 0)) return candidates_[second];
    const bool latency_decides = load(b, 0) == load(a, 0) && !only_first_is_near;
    const bool second_is_quicker =
        latency_decides && latency_->latency_ratio(b, now) < latency_->latency_ratio(a, now);
    return candidates_[second_is_quicker ? second : first];
}

}  // namespace elmbay::balancer
