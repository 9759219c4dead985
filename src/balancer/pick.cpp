#include "balancer/pick.hpp"

namespace elmbay::balancer {

// An index below count other than `without`, by chance: each as likely as its server is large.
std::size_t Pick::draw_by_weight(std::size_t count, std::size_t without) {
    double all = 0;
    for (std::size_t i = 0; i < count; ++i)
        if (i != without) all += untried_[i]->info.weight;
    double left = random_->unit() * all;
    std::size_t drawn = 0;
    for (std::size_t i = 0; i < count; ++i) {
        if (i == without) continue;
        drawn = i;
        left -= untried_[i]->info.weight;
        if (left < 0) break;
    }
    return drawn;
}

// The first is of our zone, if any is: it wins ties, and with one request more where our part of the fee
// exceeds the chance of a late answer.
Server* Pick::less_loaded_of_two(bool session, const LoadLevel& load_level, Millis now) {
    const auto in_my_zone = [this](const Server* s) { return s->info.zone == *preferred_zone_; };
    // In place: the order within each half is that of the pool.
    std::size_t near_count = 0;
    if (preferred_zone_ && !load_level.is_busy) {
        tried_.clear();
        for (Server* s : untried_)
            if (!in_my_zone(s))
                tried_.push_back(s);
            else
                untried_[near_count++] = s;
        std::copy(tried_.begin(), tried_.end(), untried_.begin() + static_cast<std::ptrdiff_t>(near_count));
    }
    const std::size_t first = draw_by_weight(near_count > 0 ? near_count : untried_.size(), untried_.size());
    if (untried_.size() == 1) return untried_[first];
    const std::size_t second = draw_by_weight(untried_.size(), first);
    const Server &a = *untried_[first], &b = *untried_[second];
    const bool nearer = near_count > 0 && second >= near_count;
    const int grace =
        nearer && load_level.sidecar_share * cross_zone_cost_ > std::exp(-1 / load_level.load_ratio);
    const auto load = [&](const Server& s, int more) {
        return ((session ? static_cast<int>(s.sessions) : s.in_flight) + more) / s.info.weight;
    };
    const bool other =
        load(b, grace) < load(a, 0) || (load(b, 0) == load(a, 0) && !nearer &&
                                        latency_->latency_ratio(b, now) < latency_->latency_ratio(a, now));
    return untried_[other ? second : first];
}

}  // namespace elmbay::balancer
