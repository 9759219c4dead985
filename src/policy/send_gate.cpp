#include "policy/send_gate.hpp"

#include "policy/admission.hpp"

namespace hollybeam {

double SendGate::cold_tokens(Server& s, Millis now) const {
    const ColdStart::Traffic traffic{aperture_->each(s.info.kind, now), aperture_->sight(),
                                     OutlierEjection::kBackoff, Admission::kFloor};
    return cold_->tokens(s, traffic, pace_->of(s, now), now);
}

}  // namespace hollybeam
