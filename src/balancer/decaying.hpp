// Counts and means that fade with time, the way every part of the module remembers.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>

#include "elmbay/balancer.hpp"

namespace elmbay::balancer {

// A count that loses all but 1/e of itself in `decay_time` ms.
struct DecayingCounter {
    double count = 0;
    Millis updated_at = 0;
    double value_at(Millis now, Millis decay_time) const {
        return count * std::exp((updated_at - now) / decay_time);
    }
    double rate(Millis now, Millis decay_time) const {
        return value_at(now, decay_time) / decay_time;
    }  // a ms
    void add(Millis now, Millis decay_time) { count = value_at(now, decay_time) + 1, updated_at = now; }
};

// How many carried what a DecayingCounter of the same decay_time still counts: those that there are now, and
// those that have gone, forgotten as slowly as the tally forgets their work.
class DecayingServerCount {
public:
    void set(double present, Millis now, Millis decay_time) {
        departed_ = std::max(0.0, count(now, decay_time) - present);
        present_ = present;
        at_ = now;
    }
    double count(Millis now, Millis decay_time) const {
        return present_ + departed_ * std::exp((at_ - now) / decay_time);
    }

private:
    double present_ = 0, departed_ = 0;  // as of at_
    Millis at_ = 0;
};

// A mean in which samples count less the older they are, and about the last kMaxSamples of them at most:
// light traffic needs the first, heavy traffic the second.
struct DecayingAverage : DecayingCounter {
    static constexpr double kMaxSamples = 10;

    double value = 0;
    void add(double sample, Millis now, Millis decay_time) {
        DecayingCounter::add(now, decay_time);
        count = std::min(count, kMaxSamples);
        value += (sample - value) / count;
    }
};

}  // namespace elmbay::balancer
