#include "balancer/admission.hpp"

#include "balancer/learned_state_restorer.hpp"

namespace elmbay::balancer {

Admission::Admission(const Settings& settings) {
    set_siblings(settings.siblings);
    for (const RequestClass& c : settings.classes)
        max_priority_weight_ = std::max(max_priority_weight_, c.priority_weight);
}

// Where slow service alone takes that long, refusing more does not help and idles the servers: one attempt
// for each warm live server is always allowed, and with many sidecars our part of kMinAttemptsPerServer.
void Admission::set_warm_servers(std::size_t warm) {
    warm_servers_ = static_cast<double>(warm);
    min_limit_ = sidecar_share() * warm_servers_;
    min_ceiling_ =
        std::max(kCircuitClosedLimit, kMinCeilingMultiple * min_attempts_per_server_ * warm_servers_);
    limit_ = std::max(limit_, std::min(min_limit_, kCircuitClosedLimit));
    if (load_ratio_.count == 0)
        limit_ =
            std::max(kCircuitClosedLimit, kInitialLimitMultiple * min_attempts_per_server_ * warm_servers_);
}

void Admission::record_latency(double latency_ratio, int in_flight, Millis now) {
    limit_ = concurrency_limit(now);
    learned_limit_ *= std::exp((updated_at_ - now) / kLearnedLimitDecay);
    updated_at_ = now;
    load_ratio_.add(latency_ratio, now, kAnswerDecay);
    recent_answers_.add(now, kAnswerDecay);
    mean_in_flight_ += (in_flight + 1 - mean_in_flight_) / recent_answers_.count;
    mean_warm_servers_ += (warm_servers_ - mean_warm_servers_) / recent_answers_.count;
    const double sustainable_concurrency =
        mean_in_flight_ * kTargetLoadRatio / std::max(kMinLoadRatio, load_ratio_.value);
    if (load_ratio_.value <= kTargetLoadRatio && sustainable_concurrency >= learned_limit_)
        learned_limit_ = sustainable_concurrency, servers_behind_learned_limit_ = mean_warm_servers_;
    recent_peak_in_flight_ = std::max<double>(
        recent_peak_in_flight_ + (in_flight - recent_peak_in_flight_) * 2 / kPeakAnswers, in_flight);
    if (uses_circuit_breaker() && limit_ <= kCircuitClosedLimit &&
        update_circuit_breaker(latency_ratio, in_flight))
        return;
    const double step = kLimitGain * (kTargetLoadRatio - load_ratio_.value);
    const bool grows_quickly = !is_busy() && in_flight + 2 >= limit_;
    if (step < 0)
        limit_ = std::max(min_limit_,
                          std::min(limit_, recent_peak_in_flight_ + 1.0) + step * std::min(1.0, limit_));
    else
        limit_ = std::min(limit_ceiling(), limit_ + (grows_quickly ? kQuickGrowth : step));
}

// Fewer servers than taught it carry no more than their part of it.
double Admission::limit_ceiling() const {
    return std::max(
        min_ceiling_,
        learned_limit_ * std::min(1.0, warm_servers_ / std::max(1.0, servers_behind_learned_limit_)));
}

void Admission::save_to(LearnedState& k, Millis now) const {
    k.load_ratio = LearnedStateRestorer::saved(load_ratio_, now);
    k.concurrency_limit = load_ratio_.count > 0 ? concurrency_limit(now) : 0;
    k.learned_limit = learned_limit_ * std::exp((updated_at_ - now) / kLearnedLimitDecay);
    k.servers_behind_learned_limit = servers_behind_learned_limit_;
}

// The ceiling fades as ever. The room is as good as the answers that it follows: once these weigh less than
// one, a new sidecar's is better.
void Admission::restore(const LearnedState& k, Millis taken_at, Millis now) {
    learned_limit_ = k.learned_limit, servers_behind_learned_limit_ = k.servers_behind_learned_limit,
    updated_at_ = taken_at;
    const DecayingAverage load_ratio = LearnedStateRestorer::restored(k.load_ratio, taken_at);
    if (k.concurrency_limit > 0 && load_ratio.value_at(now, kAnswerDecay) >= 1)
        load_ratio_ = load_ratio, limit_ = recent_peak_in_flight_ = k.concurrency_limit;
}

// Whether the answer opens or closes it. One that is late among quick ones is chance and closes nothing.
bool Admission::update_circuit_breaker(double latency_ratio, int in_flight) {
    if (latency_ratio >= 1 && load_ratio_.value > kTargetLoadRatio)
        limit_ = kCircuitOpenLimit;
    else if (latency_ratio <= kTargetLoadRatio && limit_ < kCircuitClosedLimit)
        limit_ = limit_ < kCircuitHalfOpenLimit ? kCircuitHalfOpenLimit : kCircuitClosedLimit;
    else
        return load_ratio_.value <= kTargetLoadRatio &&
               in_flight + 1 < kCircuitClosedLimit;  // open, and not all of it is used
    return true;
}

}  // namespace elmbay::balancer
