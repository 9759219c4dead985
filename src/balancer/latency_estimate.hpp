// Which of two equals is quicker: what answers take of their objective, by server and by machine_type of
// machine.
//
// A server's own answers of late; while they are few, those of all warm servers of its machine_type stand in.
#pragma once

#include <cstdint>
#include <map>

#include "balancer/server.hpp"

namespace elmbay::balancer {

class LatencyEstimate {
public:
    static constexpr Millis kServerDecay = 10000, kMachineTypeDecay = 60000;
    static constexpr double kMachineTypeWeight =
        2;  // the machine_type counts as much as this many answers of the server's own

    // A server that the list tells of, for the first time or as another machine_type.
    void set_machine_type(Server& s) { s.machine_type_latency = &machine_types_[s.info.machine_type]; }
    // ratio: an answer's time over its objective. A cold server is slow by nature and says nothing of its
    // machine_type.
    void record(Server& s, double latency_ratio, bool cold, Millis now) const {
        s.latency.add(latency_ratio, now, kServerDecay);
        if (!cold) s.machine_type_latency->add(latency_ratio, now, kMachineTypeDecay);
    }
    // 0: at once; 1: answers take all of their objective.
    double latency_ratio(const Server& s, Millis now) const {
        const double own = s.latency.value_at(now, kServerDecay),
                     machine_type = s.machine_type_latency->value;
        return (own * s.latency.value + kMachineTypeWeight * machine_type) / (own + kMachineTypeWeight);
    }

private:
    std::map<std::uint32_t, DecayingAverage>
        machine_types_;  // nodes stay where they are: servers point at them
};

}  // namespace elmbay::balancer
