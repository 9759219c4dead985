/// @file
/// Incarnation counters from the wall clock at the start of the process, and how far ahead of it a counter is
/// plausible.
#pragma once

#include <algorithm>
#include <cstdint>

#include "elmbay/balancer.hpp"

namespace elmbay::cluster {

using balancer::Millis;

/// Counts tenths of a second since 2024. The wall clock is read once, at the start; from then on the
/// monotonic clock counts, so a step of the wall clock changes nothing while the process runs. A value; not
/// thread-safe.
class IncarnationClock {
public:
    /// 2024-01-01, in Unix milliseconds.
    static constexpr Millis kEpoch = 1704067200000;
    /// A day, in tenths of a second. A counter so far ahead of this process's own clock is forged, or
    /// comes from a clock that is a day off, and is ignored: a refutation of it could leave no counter above.
    static constexpr std::uint32_t kMaxClockAhead = 864000;

    /// @param now        monotonic milliseconds.
    /// @param unix_time  Unix milliseconds at that moment, as this machine has them; any value.
    IncarnationClock(Millis now, Millis unix_time) : started_(now), unix_at_start_(unix_time) {}

    /// @return the counter of a process that starts now: at least 1.
    std::uint32_t first_counter() const { return clamped(tenths_at(started_)); }
    /// @return the highest counter that is accepted of any member at monotonic time `now`.
    std::uint32_t max_plausible_counter(Millis now) const { return clamped(tenths_at(now) + kMaxClockAhead); }

private:
    static constexpr Millis kTenth = 100;
    static constexpr double kMaxCounter = 4e9;  // below 2^32, so that refutations above it fit

    static std::uint32_t clamped(double tenths) {
        return static_cast<std::uint32_t>(std::clamp(tenths, 1.0, kMaxCounter));
    }
    double tenths_at(Millis now) const {
        return (unix_at_start_ - kEpoch) / kTenth + (now - started_) / kTenth;
    }

    Millis started_;
    Millis unix_at_start_;
};

}  // namespace elmbay::cluster
