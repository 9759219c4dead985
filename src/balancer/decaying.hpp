/// @file
/// Counts and means that decay exponentially with time. Every part of the module remembers in this way.
///
/// Decay times are time constants: after `decay_time` milliseconds 1/e of a value is left. The same decay
/// time must be given in every call for one object.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>

#include "elmbay/balancer.hpp"

namespace elmbay::balancer {

/// A number of events in which each counts less the older it is.
struct DecayingCounter {
    /// The count at `updated_at`.
    double count = 0;
    /// When an event was last added: milliseconds on the module's clock.
    Millis updated_at = 0;

    /// The count at `now`.
    double value_at(Millis now, Millis decay_time) const {
        return count * std::exp((updated_at - now) / decay_time);
    }
    /// Events per millisecond, in the mean over about the last `decay_time`.
    double rate(Millis now, Millis decay_time) const { return value_at(now, decay_time) / decay_time; }
    /// Adds one event.
    void add(Millis now, Millis decay_time) {
        count = value_at(now, decay_time) + 1;
        updated_at = now;
    }
};

/// How many servers did the work that a DecayingCounter of the same decay time still counts.
///
/// These are the servers present and those that have gone. The latter decay as slowly as the counter forgets
/// their work. Without them the work of servers that have just gone would count as that of the rest.
class DecayingServerCount {
public:
    /// Sets the number of servers present.
    void set(double present, Millis now, Millis decay_time) {
        departed_ = std::max(0.0, count(now, decay_time) - present);
        present_ = present;
        updated_at_ = now;
    }
    /// Servers present, and what is left of those that have gone.
    double count(Millis now, Millis decay_time) const {
        return present_ + departed_ * std::exp((updated_at_ - now) / decay_time);
    }

private:
    double present_ = 0;
    double departed_ = 0;  // as of updated_at_
    Millis updated_at_ = 0;
};

/// A mean in which samples count less the older they are, and which spans about kMaxSamples of them at most.
///
/// Decay bounds the age of samples under light traffic, kMaxSamples bounds their number under heavy traffic.
struct DecayingAverage : DecayingCounter {
    /// The weight that all earlier samples and the newest have together, at most.
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
