#include "balancer/admission.hpp"

#include "balancer/learned_state_restorer.hpp"

namespace elmbay::balancer {

Admission::Admission(const Settings& settings) {
    set_siblings(settings.siblings);
    for (const RequestClass& c : settings.classes)
        max_priority_weight_ = std::max(max_priority_weight_, c.priority_weight);
}

// Where slow service alone takes that long, refusing more does not help and idles the servers: one attempt
// for each warm live server is always allowed, and with many sidecars our part of kFloor.
void Admission::pool_is(std::size_t warm) {
    warm_ = static_cast<double>(warm);
    floor_ = our_part() * warm_;
    least_ceiling_ = std::max(kOpen, kBelieved * each_ * warm_);
    room_ = std::max(room_, std::min(floor_, kOpen));
    if (crowd_.count == 0) room_ = std::max(kOpen, kFirst * each_ * warm_);
}

void Admission::answered(double ratio, int out, Millis now) {
    room_ = room(now);
    learned_ *= std::exp((at_ - now) / kLearned);
    at_ = now;
    crowd_.add(ratio, now, kMemory);
    answers_.add(now, kMemory);
    load_ += (out + 1 - load_) / answers_.count;
    carriers_ += (warm_ - carriers_) / answers_.count;
    const double could = load_ * kAimShare / std::max(kLeastShare, crowd_.value);
    if (crowd_.value <= kAimShare && could >= learned_) learned_ = could, taught_by_ = carriers_;
    used_ = std::max<double>(used_ + (out - used_) * 2 / kUsedOver, out);
    if (light() && room_ <= kOpen && breaker(ratio, out)) return;
    const double step = kGain * (kAimShare - crowd_.value);
    const bool wanted = !crowded() && out + 2 >= room_;
    if (step < 0)
        room_ = std::max(floor_, std::min(room_, used_ + 1.0) + step * std::min(1.0, room_));
    else
        room_ = std::min(ceiling(), room_ + (wanted ? kWanted : step));
}

// Fewer servers than taught it carry no more than their part of it.
double Admission::ceiling() const {
    return std::max(least_ceiling_, learned_ * std::min(1.0, warm_ / std::max(1.0, taught_by_)));
}

void Admission::know(LearnedState& k, Millis now) const {
    k.load_ratio = LearnedStateRestorer::of(crowd_, now);
    k.concurrency_limit = crowd_.count > 0 ? room(now) : 0;
    k.learned_limit = learned_ * std::exp((at_ - now) / kLearned);
    k.servers_behind_learned_limit = taught_by_;
}

// The ceiling fades as ever. The room is as good as the answers that it follows: once these weigh less than
// one, a new sidecar's is better.
void Admission::recall(const LearnedState& k, Millis taken_at, Millis now) {
    learned_ = k.learned_limit, taught_by_ = k.servers_behind_learned_limit, at_ = taken_at;
    const DecayingAverage crowd = LearnedStateRestorer::recalled(k.load_ratio, taken_at);
    if (k.concurrency_limit > 0 && crowd.left(now, kMemory) >= 1)
        crowd_ = crowd, room_ = used_ = k.concurrency_limit;
}

// Whether the answer opens or closes it. One that is late among quick ones is chance and closes nothing.
bool Admission::breaker(double ratio, int out) {
    if (ratio >= 1 && crowd_.value > kAimShare)
        room_ = kProbe;
    else if (ratio <= kAimShare && room_ < kOpen)
        room_ = room_ < kHalfOpen ? kHalfOpen : kOpen;
    else
        return crowd_.value <= kAimShare && out + 1 < kOpen;  // open, and not all of it is used
    return true;
}

}  // namespace elmbay::balancer
