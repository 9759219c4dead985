#include "balancer/aperture.hpp"

namespace elmbay::balancer {

void Aperture::set_servers(const std::vector<Server*>& all) {
    for (Server* s : all) s->in_pool = false;
    pool_.clear();
    out_.clear();
    ranked_.clear();
    listed_ = 0;
    for (Server* s : all) add(s);
}

void Aperture::add(Server* s) {
    if (!ranked_.insert(s).second) return;
    listed_ += s->listed;
    set_out(s, s->ejection_state != EjectionState::healthy);
}

void Aperture::remove(Server* s) {
    if (ranked_.erase(s) == 0) return;
    listed_ -= s->listed;
    set_out(s, false);
    if (s->in_pool) empty_pool();
}

void Aperture::empty_pool() {
    for (Server* s : pool_) s->in_pool = false;
    pool_.clear();
}

void Aperture::set_out(Server* s, bool out) {
    const auto at = std::lower_bound(out_.begin(), out_.end(), s, ByRank());
    const bool there = at != out_.end() && *at == s;
    if (out && !there && s->open()) out_.insert(at, s);
    if (!out && there) out_.erase(at);
}

double Aperture::wide_enough_to_be_seen(Millis now) const {
    const double share = static_cast<double>(ranked_.size()) / siblings_;  // servers for each sidecar
    return std::min(kSeen * share, std::max({kWide, carried_rate(now) * kRevisit, kLeastSeen * share}));
}

void Aperture::draw(Millis now, int outstanding) {
    const double filled = carried_rate(now) * OutlierEjection::kBackoff / OutcomeWindow::kSize;
    width_ = std::max({kNarrow, wide_enough_to_be_seen(now), filled, 2.0 * outstanding});
    empty_pool();
    warm_ = 0;
    alike_.clear();
    until_ = now + kPoolAge;
    for (Server* s : ranked_) {
        if (static_cast<double>(warm_) >= width_) break;
        if (!s->open() || s->ejection_state != EjectionState::healthy) continue;
        pool_.push_back(s);
        s->in_pool = true;
        if (!cold_->is_cold(*s, now)) ++warm_, ++alike_[s->info.machine_type];
    }
    count_carriers(now);
    for (const auto& [machine_type, warm] : alike_)
        each_[machine_type] =
            of_[machine_type].rate(now, kRateMemory) / carriers_of_[machine_type].count(now, kRateMemory);
}

// Divided by those that are left alone, what servers carried that have just gone would look like the work of
// one, and cold ones would be sent a share of that.
void Aperture::count_carriers(Millis now) {
    if (recalled_ && listed_ > 0) {
        recalled_ = false;
        carriers_.set(std::min(width_, static_cast<double>(listed_)), now, kRateMemory);
    }
    carriers_.set(static_cast<double>(warm_), now, kRateMemory);
    for (const auto& [machine_type, warm] : alike_) carriers_of_.try_emplace(machine_type);
    for (auto& [machine_type, carriers] : carriers_of_) {
        const auto warm = alike_.find(machine_type);
        carriers.set(warm == alike_.end() ? 0 : warm->second, now, kRateMemory);
    }
}

double Aperture::each(std::uint32_t machine_type, Millis now) const {
    const auto alike = alike_.find(machine_type), last = each_.find(machine_type);
    const auto all = static_cast<double>(warm_);
    const double mean = carried_rate(now) / std::max(1.0, carriers_.count(now, kRateMemory));
    if (alike == alike_.end()) return last == each_.end() ? mean * (all > 0 ? kUnlike : 1) : last->second;
    if (alike->second == all) return mean;
    return of_.at(machine_type).rate(now, kRateMemory) /
           carriers_of_.at(machine_type).count(now, kRateMemory);
}

}  // namespace elmbay::balancer
