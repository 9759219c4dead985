#pragma once

#include <cstdint>
#include <map>

#include "balancer/server.hpp"

namespace elmbay::balancer {

/// Estimates the response time of a server as a share of the latency objective.
///
/// The estimate is the mean of the server's own recent responses. While they are few, the responses of all
/// warm servers of its machine type supplement them: with w the weight of the server's own responses,
///
///     estimate = (w * own mean + kMachineTypeWeight * type mean) / (w + kMachineTypeWeight)
///
/// Used by Pick and SlowStart. Owned by Balancer::Impl; not thread-safe. Holds one mean for each machine type
/// that was ever listed; Server holds the means of single servers.
class LatencyEstimate {
public:
    /// Decay time of a server's own mean, in milliseconds.
    static constexpr Millis kServerDecay = 10000;
    /// Decay time of a machine type's mean, in milliseconds.
    static constexpr Millis kMachineTypeDecay = 60000;
    /// The weight of the machine type's mean, in responses of the server itself.
    static constexpr double kMachineTypeWeight = 2;

    /// Sets the server's pointer to the mean of its machine type. Called for each server of a list.
    void set_machine_type(Server& server) {
        server.machine_type_latency = &machine_types_[server.info.machine_type];
    }
    /// Records a response.
    /// @param latency_ratio the response time over the latency objective
    /// @param warming_up    the server is in slow start; its responses are slower and do not represent its
    /// machine type
    void record(Server& server, double latency_ratio, bool warming_up, Millis now) const {
        server.latency.add(latency_ratio, now, kServerDecay);
        if (!warming_up) server.machine_type_latency->add(latency_ratio, now, kMachineTypeDecay);
    }
    /// Returns the estimate. 0: immediate responses; 1: responses take the whole latency objective.
    double latency_ratio(const Server& server, Millis now) const {
        const double own_weight = server.latency.value_at(now, kServerDecay);
        const double type_mean = server.machine_type_latency->value;
        return (own_weight * server.latency.value + kMachineTypeWeight * type_mean) /
               (own_weight + kMachineTypeWeight);
    }

private:
    std::map<std::uint32_t, DecayingAverage>
        machine_types_;  // a node-based container, because servers hold pointers to the means
};

}  // namespace elmbay::balancer
