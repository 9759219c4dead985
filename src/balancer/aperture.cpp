#include "balancer/aperture.hpp"

namespace elmbay::balancer {

void Aperture::set_servers(const std::vector<Server*>& all) {
    for (Server* s : all) s->in_pool = false;
    pool_.clear();
    ejected_.clear();
    ranked_.clear();
    listed_count_ = 0;
    for (Server* s : all) add(s);
}

void Aperture::add(Server* s) {
    if (!ranked_.insert(s).second) return;
    listed_count_ += s->listed;
    set_ejected(s, s->ejection_state != EjectionState::healthy);
}

void Aperture::remove(Server* s) {
    if (ranked_.erase(s) == 0) return;
    listed_count_ -= s->listed;
    set_ejected(s, false);
    if (s->in_pool) empty_pool();
}

void Aperture::empty_pool() {
    for (Server* s : pool_) s->in_pool = false;
    pool_.clear();
}

void Aperture::set_ejected(Server* s, bool ejected) {
    const auto at = std::lower_bound(ejected_.begin(), ejected_.end(), s, ByRank());
    const bool there = at != ejected_.end() && *at == s;
    if (ejected && !there && s->accepts_requests()) ejected_.insert(at, s);
    if (!ejected && there) ejected_.erase(at);
}

double Aperture::coverage_width(Millis now) const {
    const double share = static_cast<double>(ranked_.size()) / siblings_;  // servers for each sidecar
    return std::min(kSidecarsPerServer * share,
                    std::max({kMaxCoverageWidth, completion_rate(now) * kMaxRevisitInterval,
                              kMinSidecarsPerServer * share}));
}

void Aperture::draw_pool(Millis now, int in_flight) {
    const double filled = completion_rate(now) * OutlierEjection::kEjectionTime / OutcomeWindow::kSize;
    width_ = std::max({kMinWidth, coverage_width(now), filled, 2.0 * in_flight});
    empty_pool();
    warm_count_ = 0;
    warm_by_type_.clear();
    redraw_at_ = now + kMaxPoolAge;
    for (Server* s : ranked_) {
        if (static_cast<double>(warm_count_) >= width_) break;
        if (!s->accepts_requests() || s->ejection_state != EjectionState::healthy) continue;
        pool_.push_back(s);
        s->in_pool = true;
        if (!slow_start_->is_warming_up(*s, now)) ++warm_count_, ++warm_by_type_[s->info.machine_type];
    }
    count_contributors(now);
    for (const auto& [machine_type, warm] : warm_by_type_)
        last_rate_per_server_[machine_type] = completions_by_type_[machine_type].rate(now, kRateDecay) /
                                              contributors_by_type_[machine_type].count(now, kRateDecay);
}

// Divided by those that are left alone, what servers carried that have just gone would look like the work of
// one, and cold ones would be sent a share of that.
void Aperture::count_contributors(Millis now) {
    if (restored_ && listed_count_ > 0) {
        restored_ = false;
        contributors_.set(std::min(width_, static_cast<double>(listed_count_)), now, kRateDecay);
    }
    contributors_.set(static_cast<double>(warm_count_), now, kRateDecay);
    for (const auto& [machine_type, warm] : warm_by_type_) contributors_by_type_.try_emplace(machine_type);
    for (auto& [machine_type, contributors] : contributors_by_type_) {
        const auto warm = warm_by_type_.find(machine_type);
        contributors.set(warm == warm_by_type_.end() ? 0 : warm->second, now, kRateDecay);
    }
}

double Aperture::completion_rate_per_server(std::uint32_t machine_type, Millis now) const {
    const auto same_type = warm_by_type_.find(machine_type), last = last_rate_per_server_.find(machine_type);
    const auto all = static_cast<double>(warm_count_);
    const double mean = completion_rate(now) / std::max(1.0, contributors_.count(now, kRateDecay));
    if (same_type == warm_by_type_.end())
        return last == last_rate_per_server_.end() ? mean * (all > 0 ? kUnknownTypeShare : 1) : last->second;
    if (same_type->second == all) return mean;
    return completions_by_type_.at(machine_type).rate(now, kRateDecay) /
           contributors_by_type_.at(machine_type).count(now, kRateDecay);
}

}  // namespace elmbay::balancer
