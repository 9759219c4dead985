#include "balancer/send_gate.hpp"

#include "balancer/admission.hpp"

namespace elmbay::balancer {

double SendGate::cold_tokens(Server& server, Millis now) const {
    const ColdStart::Traffic traffic{aperture_->each(server.info.machine_type, now), aperture_->sight(),
                                     OutlierEjection::kBackoff, Admission::kFloor};
    return cold_->tokens(server, traffic, pace_->of(server, now), now);
}

}  // namespace elmbay::balancer
