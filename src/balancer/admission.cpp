#include "balancer/admission.hpp"

#include "balancer/learned_state_restorer.hpp"

namespace elmbay::balancer {

Admission::Admission(const Settings& settings) {
    set_siblings(settings.siblings);
    for (const RequestClass& request_class : settings.classes) {
        max_priority_weight_ = std::max(max_priority_weight_, request_class.priority_weight);
    }
}

void Admission::set_warm_servers(std::size_t warm) {
    warm_servers_ = static_cast<double>(warm);
    min_limit_ = sidecar_share() * warm_servers_;
    min_ceiling_ =
        std::max(kCircuitClosedLimit, kMinCeilingMultiple * min_attempts_per_server_ * warm_servers_);
    limit_ = std::max(limit_, std::min(min_limit_, kCircuitClosedLimit));
    const bool has_load_ratio = load_ratio_.count != 0;
    if (has_load_ratio) return;
    limit_ = std::max(kCircuitClosedLimit, kInitialLimitMultiple * min_attempts_per_server_ * warm_servers_);
}

void Admission::record_latency(double latency_ratio, int in_flight, Millis now) {
    limit_ = concurrency_limit(now);
    learned_limit_ *= std::exp((updated_at_ - now) / kLearnedLimitDecay);
    updated_at_ = now;

    load_ratio_.add(latency_ratio, now, kResponseDecay);
    recent_responses_.add(now, kResponseDecay);
    mean_in_flight_ += (in_flight + 1 - mean_in_flight_) / recent_responses_.count;
    mean_warm_servers_ += (warm_servers_ - mean_warm_servers_) / recent_responses_.count;
    learn_limit();

    const double peak_step = (in_flight - recent_peak_in_flight_) * 2 / kPeakResponses;
    recent_peak_in_flight_ = std::max<double>(recent_peak_in_flight_ + peak_step, in_flight);

    const bool circuit_may_open = uses_circuit_breaker() && limit_ <= kCircuitClosedLimit;
    if (circuit_may_open && update_circuit_breaker(latency_ratio, in_flight)) return;
    adjust_limit(in_flight);
}

// Learns by Little's law how many attempts the servers would hold at the target latency.
void Admission::learn_limit() {
    const double sustainable_concurrency =
        mean_in_flight_ * kTargetLoadRatio / std::max(kMinLoadRatio, load_ratio_.value);
    const bool meets_target = load_ratio_.value <= kTargetLoadRatio;
    if (!meets_target || !(sustainable_concurrency >= learned_limit_)) return;
    learned_limit_ = sustainable_concurrency;
    learned_limit_warm_servers_ = mean_warm_servers_;
}

void Admission::adjust_limit(int in_flight) {
    const double step = kLimitGain * (kTargetLoadRatio - load_ratio_.value);
    if (step < 0) {
        const double used_limit = std::min(limit_, recent_peak_in_flight_ + 1.0);
        limit_ = std::max(min_limit_, used_limit + step * std::min(1.0, limit_));
        return;
    }
    const bool is_full = in_flight + 2 >= limit_;
    const bool grows_quickly = !is_busy() && is_full;
    limit_ = std::min(limit_ceiling(), limit_ + (grows_quickly ? kQuickGrowth : step));
}

// The learned limit is scaled down when fewer warm servers are left than when it was measured.
double Admission::limit_ceiling() const {
    const double servers_left = std::min(1.0, warm_servers_ / std::max(1.0, learned_limit_warm_servers_));
    return std::max(min_ceiling_, learned_limit_ * servers_left);
}

// A late response does not open the circuit while the mean meets the target, because a single late response
// may be random.
bool Admission::update_circuit_breaker(double latency_ratio, int in_flight) {
    const bool mean_meets_target = load_ratio_.value <= kTargetLoadRatio;
    if (latency_ratio >= 1 && load_ratio_.value > kTargetLoadRatio) {
        limit_ = kCircuitOpenLimit;
        return true;
    }
    if (latency_ratio <= kTargetLoadRatio && limit_ < kCircuitClosedLimit) {
        limit_ = limit_ < kCircuitHalfOpenLimit ? kCircuitHalfOpenLimit : kCircuitClosedLimit;
        return true;
    }
    const bool closed_and_not_full = in_flight + 1 < kCircuitClosedLimit;
    return mean_meets_target && closed_and_not_full;
}

void Admission::save_to(LearnedState& learned_state, Millis now) const {
    learned_state.load_ratio = LearnedStateRestorer::save_mean(load_ratio_, now);
    learned_state.concurrency_limit = load_ratio_.count > 0 ? concurrency_limit(now) : 0;
    learned_state.learned_limit = learned_limit_ * std::exp((updated_at_ - now) / kLearnedLimitDecay);
    learned_state.learned_limit_warm_servers = learned_limit_warm_servers_;
}

// The learned limit continues to decay. The concurrency limit is only restored while the responses behind it
// weigh at least one sample; otherwise the initial limit of a new sidecar is more accurate.
void Admission::restore(const LearnedState& learned_state, Millis taken_at, Millis now) {
    learned_limit_ = learned_state.learned_limit;
    learned_limit_warm_servers_ = learned_state.learned_limit_warm_servers;
    updated_at_ = taken_at;
    const DecayingAverage load_ratio = LearnedStateRestorer::restore_mean(learned_state.load_ratio, taken_at);
    const bool is_recent = load_ratio.value_at(now, kResponseDecay) >= 1;
    if (!(learned_state.concurrency_limit > 0) || !is_recent) return;
    load_ratio_ = load_ratio;
    limit_ = learned_state.concurrency_limit;
    recent_peak_in_flight_ = learned_state.concurrency_limit;
}

}  // namespace elmbay::balancer
