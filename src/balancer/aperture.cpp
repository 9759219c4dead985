#include "balancer/aperture.hpp"

namespace elmbay::balancer {

void Aperture::set_servers(const std::vector<Server*>& all) {
    for (Server* server : all) server->in_pool = false;
    pool_.clear();
    ejected_.clear();
    ranked_.clear();
    listed_count_ = 0;
    for (Server* server : all) add(server);
}

void Aperture::add(Server* server) {
    const bool is_new = ranked_.insert(server).second;
    if (!is_new) return;
    listed_count_ += server->listed;
    set_ejected(server, server->ejection_state != EjectionState::healthy);
}

void Aperture::remove(Server* server) {
    if (ranked_.erase(server) == 0) return;
    listed_count_ -= server->listed;
    set_ejected(server, false);
    if (server->in_pool) empty_pool();
}

void Aperture::empty_pool() {
    for (Server* server : pool_) server->in_pool = false;
    pool_.clear();
}

void Aperture::set_ejected(Server* server, bool ejected) {
    const auto position = std::lower_bound(ejected_.begin(), ejected_.end(), server, ByRank());
    const bool is_present = position != ejected_.end() && *position == server;
    if (ejected && !is_present && server->accepts_requests()) ejected_.insert(position, server);
    if (!ejected && is_present) ejected_.erase(position);
}

double Aperture::coverage_width(Millis now) const {
    const double servers_per_sidecar = static_cast<double>(ranked_.size()) / siblings_;
    const double max_width = std::max({kMaxCoverageWidth, completion_rate(now) * kMaxRevisitInterval,
                                       kMinSidecarsPerServer * servers_per_sidecar});
    return std::min(kSidecarsPerServer * servers_per_sidecar, max_width);
}

void Aperture::draw_pool(Millis now, int in_flight) {
    const double filled_windows =
        completion_rate(now) * OutlierEjection::kEjectionTime / OutcomeWindow::kSize;
    width_ = std::max({kMinWidth, coverage_width(now), filled_windows, 2.0 * in_flight});
    redraw_at_ = now + kMaxPoolAge;
    fill_pool(now);
    count_contributors(now);
    for (const auto& [machine_type, warm] : warm_by_type_) {
        last_rate_per_server_[machine_type] = completions_by_type_[machine_type].rate(now, kRateDecay) /
                                              contributors_by_type_[machine_type].count(now, kRateDecay);
    }
}

void Aperture::fill_pool(Millis now) {
    empty_pool();
    warm_count_ = 0;
    warm_by_type_.clear();
    for (Server* server : ranked_) {
        if (static_cast<double>(warm_count_) >= width_) break;
        if (!server->accepts_requests() || server->ejection_state != EjectionState::healthy) continue;
        pool_.push_back(server);
        server->in_pool = true;
        if (slow_start_->is_warming_up(*server, now)) continue;
        ++warm_count_;
        ++warm_by_type_[server->info.machine_type];
    }
}

// The completed work is divided by the servers that did it, including those that have just left. Divided by
// the remaining servers only, it would overestimate the rate of one server, and slow start sends servers a
// share of that rate.
void Aperture::count_contributors(Millis now) {
    if (has_uncounted_restored_rate_ && listed_count_ > 0) {
        has_uncounted_restored_rate_ = false;
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
    const auto all_warm = static_cast<double>(warm_count_);
    const double mean_rate = completion_rate(now) / std::max(1.0, contributors_.count(now, kRateDecay));
    const auto warm_of_type = warm_by_type_.find(machine_type);
    if (warm_of_type == warm_by_type_.end()) {
        const auto last_rate = last_rate_per_server_.find(machine_type);
        if (last_rate != last_rate_per_server_.end()) return last_rate->second;
        return mean_rate * (all_warm > 0 ? kUnknownTypeShare : 1);
    }
    if (warm_of_type->second == all_warm) return mean_rate;
    return completions_by_type_.at(machine_type).rate(now, kRateDecay) /
           contributors_by_type_.at(machine_type).count(now, kRateDecay);
}

}  // namespace elmbay::balancer
