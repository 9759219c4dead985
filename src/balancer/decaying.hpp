/// @file
/// Counts and means that decay exponentially with time. The whole module uses them for its statistics.
///
/// Decay times are time constants: after `decay_time` milliseconds, 1/e of a value is left. Every call on one
/// object must pass the same decay time.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>

#include "elmbay/balancer.hpp"

namespace elmbay::balancer {

/// A count of events in which older events have less weight.
struct DecayingCounter {
    /// The count at `updated_at`.
    double count = 0;
    /// The time at which the last event was added: milliseconds on the module's clock.
    Millis updated_at = 0;

    /// Returns the count at `now`.
    double value_at(Millis now, Millis decay_time) const {
        return count * std::exp((updated_at - now) / decay_time);
    }
    /// Returns the mean number of events per millisecond over about the last `decay_time`.
    double rate(Millis now, Millis decay_time) const { return value_at(now, decay_time) / decay_time; }
    /// Adds one event.
    void add(Millis now, Millis decay_time) {
        count = value_at(now, decay_time) + 1;
        updated_at = now;
    }
};

/// The number of servers that did the work counted by a DecayingCounter of the same decay time.
///
/// The number includes present and departed servers. Departed servers decay at the same rate as the count of
/// their work; without them, the work of servers that have just left would be attributed to the remaining
/// servers.
class DecayingServerCount {
public:
    /// Sets the number of servers present.
    void set(double present, Millis now, Millis decay_time) {
        departed_ = std::max(0.0, count(now, decay_time) - present);
        present_ = present;
        updated_at_ = now;
    }
    /// Returns the number of present servers plus the decayed number of departed servers.
    double count(Millis now, Millis decay_time) const {
        return present_ + departed_ * std::exp((updated_at_ - now) / decay_time);
    }

private:
    double present_ = 0;
    double departed_ = 0;  // as of updated_at_
    Millis updated_at_ = 0;
};

/// A mean in which older samples have less weight, over about kMaxSamples samples at most.
///
/// The decay limits the age of samples under light traffic; kMaxSamples limits their number under heavy
/// traffic.
struct DecayingAverage : DecayingCounter {
    /// The maximum total weight of all samples, including the newest.
    static constexpr double kMaxSamples = 10;

    /// The mean; 0 before the first sample.
    double value = 0;
    /// Adds a sample.
    void add(double sample, Millis now, Millis decay_time) {
        DecayingCounter::add(now, decay_time);
        count = std::min(count, kMaxSamples);
        value += (sample - value) / count;
    }
};

}  // namespace elmbay::balancer
