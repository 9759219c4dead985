#pragma once

#include <cstdint>
#include <map>

#include "balancer/server.hpp"

namespace elmbay::balancer {

/// Estimates how quick a server is: its response time as a share of the latency objective.
///
/// It is the mean of the server's own recent responses. While there are few of them, those of all warm
/// servers of its machine type stand in: with w the weight of its own responses,
///
///     estimate = (w * own mean + kMachineTypeWeight * type mean) / (w + kMachineTypeWeight)
///
/// Pick and SlowStart use it. Owned by Balancer::Impl; not thread-safe. Holds one mean for each machine type
/// that was ever listed; the means of single servers stand in Server.
class LatencyEstimate {
public:
    /// Decay time of a server's own mean, in milliseconds.
    static constexpr Millis kServerDecay = 10000;
    /// Decay time of a machine type's mean, in milliseconds.
    static constexpr Millis kMachineTypeDecay = 60000;
    /// The machine type counts as much as this many responses of the server's own.
    static constexpr double kMachineTypeWeight = 2;

    /// Points the server at the mean of its machine type. Called whenever the list tells of a server.
    void set_machine_type(Server& server) {
        server.machine_type_latency = &machine_types_[server.info.machine_type];
    }
    /// Records a response.
    /// @param latency_ratio the response time over the latency objective
    /// @param warming_up    the server is in slow start: slow by nature, it says nothing of its machine type
    void record(Server& server, double latency_ratio, bool warming_up, Millis now) const {
        server.latency.add(latency_ratio, now, kServerDecay);
        if (!warming_up) server.machine_type_latency->add(latency_ratio, now, kMachineTypeDecay);
    }
    /// The estimate; 0: at once, 1: responses take all of their objective.
    double latency_ratio(const Server& server, Millis now) const {
        const double own_weight = server.latency.value_at(now, kServerDecay);
        const double type_mean = server.machine_type_latency->value;
        return (own_weight * server.latency.value + kMachineTypeWeight * type_mean) /
               (own_weight + kMachineTypeWeight);
    }

private:
    std::map<std::uint32_t, DecayingAverage> machine_types_;  // servers point at the means: a node container
};

}  // namespace elmbay::balancer
