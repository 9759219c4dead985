/// @file
/// Incarnation counters derived from the wall clock at the start of the process, and the highest counter that
/// is accepted from other members.
#pragma once

#include <algorithm>
#include <cstdint>

#include "elmbay/balancer.hpp"

namespace elmbay::cluster {

using balancer::Millis;

/// Counts tenths of a second since 2024. The wall clock is read once, at the start; after that the monotonic
/// clock advances the count, so a step of the wall clock has no effect while the process runs. A value type;
/// not thread-safe.
class IncarnationClock {
public:
    /// 2024-01-01, in Unix milliseconds.
    static constexpr Millis kEpoch = 1704067200000;
    /// One day, in tenths of a second. A counter that is further ahead of this process's clock is ignored: it
    /// is forged, or it comes from a clock that is a day off. Refuting it could use up the range of counters.
    static constexpr std::uint32_t kMaxCounterLead = 864000;

    /// @param now        monotonic milliseconds.
    /// @param unix_time  Unix milliseconds of this host's wall clock at `now`; any value.
    IncarnationClock(Millis now, Millis unix_time) : started_(now), unix_at_start_(unix_time) {}

    /// @return the incarnation counter with which this process starts: at least 1.
    std::uint32_t first_counter() const { return clamp_counter(tenths_of_second_at(started_)); }
    /// @return the highest counter that is accepted for any member at monotonic time `now`.
    std::uint32_t max_plausible_counter(Millis now) const {
        return clamp_counter(tenths_of_second_at(now) + kMaxCounterLead);
    }

private:
    static constexpr Millis kTenthOfSecond = 100;
    // Below 2^32, which leaves room for refutations with higher counters.
    static constexpr double kMaxCounter = 4e9;

    static std::uint32_t clamp_counter(double tenths) {
        return static_cast<std::uint32_t>(std::clamp(tenths, 1.0, kMaxCounter));
    }
    double tenths_of_second_at(Millis now) const {
        return (unix_at_start_ - kEpoch) / kTenthOfSecond + (now - started_) / kTenthOfSecond;
    }

    Millis started_;
    Millis unix_at_start_;
};

}  // namespace elmbay::cluster
