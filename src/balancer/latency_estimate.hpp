// Which of two equals is quicker: what answers take of their objective, by server and by kind of machine.
//
// A server's own answers of late; while they are few, those of all warm servers of its kind stand in.
#pragma once

#include <cstdint>
#include <map>

#include "balancer/server.hpp"

namespace elmbay::balancer {

class LatencyEstimate {
public:
    static constexpr Millis kServerMemory = 10000, kKindMemory = 60000;
    static constexpr double kKindWeight =
        2;  // the kind counts as much as this many answers of the server's own

    // A server that the list tells of, for the first time or as another kind.
    void learn(Server& s) { s.kind = &machine_types_[s.info.machine_type]; }
    // ratio: an answer's time over its objective. A cold server is slow by nature and says nothing of its
    // kind.
    void answered(Server& s, double ratio, bool cold, Millis now) const {
        s.pace.add(ratio, now, kServerMemory);
        if (!cold) s.kind->add(ratio, now, kKindMemory);
    }
    // 0: at once; 1: answers take all of their objective.
    double of(const Server& s, Millis now) const {
        const double own = s.pace.left(now, kServerMemory), kind = s.kind->value;
        return (own * s.pace.value + kKindWeight * kind) / (own + kKindWeight);
    }

private:
    std::map<std::uint32_t, DecayingAverage>
        machine_types_;  // nodes stay where they are: servers point at them
};

}  // namespace elmbay::balancer
