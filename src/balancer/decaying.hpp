// Counts and means that fade with time, the way every part of the module remembers.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>

#include "elmbay/balancer.hpp"

namespace elmbay::balancer {

// A count that loses all but 1/e of itself in `memory` ms.
struct DecayingCounter {
    double count = 0;
    Millis at = 0;
    double left(Millis now, Millis memory) const { return count * std::exp((at - now) / memory); }
    double rate(Millis now, Millis memory) const { return left(now, memory) / memory; }  // a ms
    void add(Millis now, Millis memory) { count = left(now, memory) + 1, at = now; }
};

// How many carried what a DecayingCounter of the same memory still counts: those that there are now, and
// those that have gone, forgotten as slowly as the tally forgets their work.
class Carriers {
public:
    void set(double present, Millis now, Millis memory) {
        gone_ = std::max(0.0, count(now, memory) - present);
        present_ = present;
        at_ = now;
    }
    double count(Millis now, Millis memory) const {
        return present_ + gone_ * std::exp((at_ - now) / memory);
    }

private:
    double present_ = 0, gone_ = 0;  // as of at_
    Millis at_ = 0;
};

// A mean in which samples count less the older they are, and about the last kMaxSamples of them at most:
// light traffic needs the first, heavy traffic the second.
struct DecayingAverage : DecayingCounter {
    static constexpr double kMaxSamples = 10;

    double value = 0;
    void add(double sample, Millis now, Millis memory) {
        DecayingCounter::add(now, memory);
        count = std::min(count, kMaxSamples);
        value += (sample - value) / count;
    }
};

}  // namespace elmbay::balancer
