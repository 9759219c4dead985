#include "cluster/suspicion.hpp"

#include <algorithm>
#include <cmath>
#include <span>

namespace elmbay::cluster {

SuspicionTimers::SuspicionTimers(std::uint32_t members, const Timing& timing)
    : timing_(timing), suspicions_(members) {}

void SuspicionTimers::start(Millis now, MemberId id) {
    suspicions_[id].started_at = now;
    suspects_.push_back(id);
}

bool SuspicionTimers::add_accuser(MemberId id, MemberId accuser) {
    Suspicion& suspicion = suspicions_[id];
    if (suspicion.accuser_count >= kMaxAccusers) return false;
    const std::span known(suspicion.accusers.data(), suspicion.accuser_count);
    if (std::find(known.begin(), known.end(), accuser) != known.end()) return false;
    suspicion.accusers[suspicion.accuser_count] = accuser;
    ++suspicion.accuser_count;
    return true;
}

void SuspicionTimers::clear(MemberId id) {
    suspicions_[id].accuser_count = 0;
    suspicions_[id].final_probe = false;
    std::erase(suspects_, id);
}

void SuspicionTimers::restart(Millis now, MemberId id) {
    suspicions_[id].final_probe = false;
    suspicions_[id].started_at = now;
}

void SuspicionTimers::postpone_all(Millis now, Millis span) {
    for (const MemberId id : suspects_) {
        Suspicion& suspicion = suspicions_[id];
        suspicion.started_at = std::min(now, suspicion.started_at + span);
        suspicion.final_probe = false;
    }
}

Millis SuspicionTimers::deadline(MemberId id) const {
    const Suspicion& suspicion = suspicions_[id];
    const double others = std::max(0.0, suspicion.accuser_count - 1.0);
    const double part = std::log(others + 1) / std::log(static_cast<double>(kMaxAccusers));
    const Millis shortened = timing_.max_suspicion - (timing_.max_suspicion - timing_.min_suspicion) * part;
    return suspicion.started_at + std::max(timing_.min_suspicion, shortened);
}

std::optional<MemberId> SuspicionTimers::last_accuser(MemberId id) const {
    const Suspicion& suspicion = suspicions_[id];
    if (suspicion.accuser_count == 0) return std::nullopt;
    return suspicion.accusers[suspicion.accuser_count - 1];
}

}  // namespace elmbay::cluster
