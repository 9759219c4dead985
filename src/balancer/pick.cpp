#include "balancer/pick.hpp"

namespace elmbay::balancer {

// An index below count other than `without`, by chance: each as likely as its server is large.
std::size_t Pick::draw(std::size_t count, std::size_t without) {
    double all = 0;
    for (std::size_t i = 0; i < count; ++i)
        if (i != without) all += fresh_[i]->info.weight;
    double left = random_->unit() * all;
    std::size_t drawn = 0;
    for (std::size_t i = 0; i < count; ++i) {
        if (i == without) continue;
        drawn = i;
        left -= fresh_[i]->info.weight;
        if (left < 0) break;
    }
    return drawn;
}

// The first is of our zone, if any is: it wins ties, and with one request more where our part of the fee
// exceeds the chance of a late answer.
Server* Pick::better_of_two(bool session, const LoadLevel& crowd, Millis now) {
    const auto in_my_zone = [this](const Server* s) { return s->info.zone == *zone_; };
    // In place: the order within each half is that of the pool.
    std::size_t near = 0;
    if (zone_ && !crowd.crowded) {
        again_.clear();
        for (Server* s : fresh_)
            if (!in_my_zone(s))
                again_.push_back(s);
            else
                fresh_[near++] = s;
        std::copy(again_.begin(), again_.end(), fresh_.begin() + static_cast<std::ptrdiff_t>(near));
    }
    const std::size_t first = draw(near > 0 ? near : fresh_.size(), fresh_.size());
    if (fresh_.size() == 1) return fresh_[first];
    const std::size_t second = draw(fresh_.size(), first);
    const Server &a = *fresh_[first], &b = *fresh_[second];
    const bool nearer = near > 0 && second >= near;
    const int grace = nearer && crowd.our_part * cross_zone_cost_ > std::exp(-1 / crowd.value);
    const auto load = [&](const Server& s, int more) {
        return ((session ? static_cast<int>(s.sessions) : s.outstanding) + more) / s.info.weight;
    };
    const bool other = load(b, grace) < load(a, 0) ||
                       (load(b, 0) == load(a, 0) && !nearer && pace_->of(b, now) < pace_->of(a, now));
    return fresh_[other ? second : first];
}

}  // namespace elmbay::balancer
