#include "balancer/send_gate.hpp"

#include "balancer/admission.hpp"

namespace elmbay::balancer {

double SendGate::slow_start_tokens(Server& server, Millis now) const {
    const SlowStart::Traffic traffic{aperture_->completion_rate_per_server(server.info.machine_type, now),
                                     aperture_->sidecars_per_server(), OutlierEjection::kEjectionTime,
                                     Admission::kMinAttemptsPerServer};
    return slow_start_->refill_tokens(server, traffic, latency_->latency_ratio(server, now), now);
}

}  // namespace elmbay::balancer
