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

bool SuspicionTimers::add_reporter(MemberId id, MemberId reporter) {
    Suspicion& suspicion = suspicions_[id];
    if (suspicion.reporter_count >= kMaxReporters) return false;
    const std::span stored_reporters(suspicion.reporters.data(), suspicion.reporter_count);
    if (std::find(stored_reporters.begin(), stored_reporters.end(), reporter) != stored_reporters.end())
        return false;
    suspicion.reporters[suspicion.reporter_count] = reporter;
    ++suspicion.reporter_count;
    return true;
}

void SuspicionTimers::clear(MemberId id) {
    suspicions_[id].reporter_count = 0;
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
    const double other_reporters = std::max(0.0, suspicion.reporter_count - 1.0);
    const double fraction = std::log(other_reporters + 1) / std::log(static_cast<double>(kMaxReporters));
    const Millis shortened = timing_.max_suspicion_timeout -
                             (timing_.max_suspicion_timeout - timing_.min_suspicion_timeout) * fraction;
    return suspicion.started_at + std::max(timing_.min_suspicion_timeout, shortened);
}

std::optional<MemberId> SuspicionTimers::last_reporter(MemberId id) const {
    const Suspicion& suspicion = suspicions_[id];
    if (suspicion.reporter_count == 0) return std::nullopt;
    return suspicion.reporters[suspicion.reporter_count - 1];
}

}  // namespace elmbay::cluster
