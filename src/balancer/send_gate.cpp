#include "balancer/send_gate.hpp"

#include "balancer/admission.hpp"

namespace elmbay::balancer {

double SendGate::refill_slow_start_tokens(Server& server, Millis now) const {
    const SlowStart::Traffic traffic{
        .completion_rate = aperture_->completion_rate_per_server(server.info.machine_type, now),
        .sidecars = aperture_->sidecars_per_server(),
        .probe_interval = OutlierEjection::kEjectionTime,
        .probes = Admission::kMinAttemptsPerServer};
    return slow_start_->refill_tokens(server, traffic, latency_->latency_ratio(server, now), now);
}

}  // namespace elmbay::balancer
