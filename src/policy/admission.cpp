#include "policy/admission.hpp"

namespace hollybeam {

Admission::Admission(const Settings& settings)
    : our_part_(std::min(1.0, kFloor / std::max(1U, settings.siblings))) {
    for (const RequestClass& c : settings.classes) top_worth_ = std::max(top_worth_, c.worth);
}

void Admission::answered(double ratio, int out, std::size_t warm, Millis now) {
    crowd_.add(ratio, now, kMemory);
    used_ = std::max<double>(used_ + (out - used_) * 2 / kUsedOver, out);
    const double step = kGain * (kAimShare - crowd_.value);
    if (step < 0)
        room_ = std::max(floor(warm), std::min(room_, used_ + 1.0) + step * std::min(1.0, room_));
    else
        room_ = std::min(kRoomAtStart, room_ + step);
}

// Where slow service alone takes that long, refusing more does not help and idles the servers: one attempt
// for each warm live server is always allowed, and with many sidecars our part of kFloor. That may be less
// than one: a thousand sidecars with one attempt each are a jam.
double Admission::floor(std::size_t warm) const {
    return std::max(kLeastRoom, our_part_ * static_cast<double>(warm));
}

}  // namespace hollybeam
