#include "simulation/drivers/sockets/loopback_testbed.hpp"

#include <algorithm>

namespace elmbay::simulation {

void LoopbackTestbed::begin(Millis delay) {
    zero_ = clock_.now() + delay;
    timers_.clear();
    std::fill(lateness_bins_.begin(), lateness_bins_.end(), 0);
    wakeup_count_ = 0;
    max_lateness_ = 0;
}

void LoopbackTestbed::record_lateness(Millis lateness) {
    lateness = std::max(0.0, lateness);
    ++wakeup_count_;
    max_lateness_ = std::max(max_lateness_, lateness);
    ++lateness_bins_[std::min(kLastBin, static_cast<std::size_t>(lateness * 10))];
}

TimerLateness LoopbackTestbed::timer_lateness() const {
    TimerLateness result;
    result.measured = true;
    result.max = max_lateness_;
    std::uint64_t count = 0, late_count = 0;
    bool p99_found = false;
    for (std::size_t i = 0; i <= kLastBin; ++i) {
        count += lateness_bins_[i];
        if (static_cast<Millis>(i) / 10 > TimerLateness::kLateThreshold) late_count += lateness_bins_[i];
        if (!p99_found && count * 100 >= wakeup_count_ * 99 && wakeup_count_ > 0)
            result.p99 = static_cast<Millis>(i) / 10, p99_found = true;
    }
    result.late_share =
        wakeup_count_ > 0 ? static_cast<double>(late_count) / static_cast<double>(wakeup_count_) : 0;
    return result;
}

}  // namespace elmbay::simulation
