#include "simulation/drivers/sockets/loopback_testbed.hpp"

#include <algorithm>

namespace elmbay::simulation {

void LoopbackTestbed::begin(Millis from_now) {
    zero_ = clock_.now() + from_now;
    timers_.clear();
    std::fill(lateness_.begin(), lateness_.end(), 0);
    wakeups_ = 0;
    most_ = 0;
}

void LoopbackTestbed::note_lateness(Millis late) {
    late = std::max(0.0, late);
    ++wakeups_;
    most_ = std::max(most_, late);
    ++lateness_[std::min(kSteps, static_cast<std::size_t>(late * 10))];
}

Punctuality LoopbackTestbed::punctuality() const {
    Punctuality p;
    p.measured = true;
    p.max = most_;
    std::uint64_t seen = 0, late = 0;
    bool found = false;
    for (std::size_t i = 0; i <= kSteps; ++i) {
        seen += lateness_[i];
        if (static_cast<Millis>(i) / 10 > Punctuality::kLateThreshold) late += lateness_[i];
        if (!found && seen * 100 >= wakeups_ * 99 && wakeups_ > 0)
            p.p99 = static_cast<Millis>(i) / 10, found = true;
    }
    p.late_share = wakeups_ > 0 ? static_cast<double>(late) / static_cast<double>(wakeups_) : 0;
    return p;
}

}  // namespace elmbay::simulation
