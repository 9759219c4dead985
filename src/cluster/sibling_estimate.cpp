#include "cluster/sibling_estimate.hpp"

#include <algorithm>
#include <cmath>

namespace elmbay::cluster {

double SiblingEstimate::target(const Headcount& count, View view) const {
    // A member that has just started, or hears no other, knows less than the configuration.
    if (view == View::unknown || view == View::alone) return configured_;
    // If the list of peers and the settings' count differ, one of them is wrong, and which can't be known
    // here. With the higher one each sidecar takes less.
    const double all = std::max<double>(configured_, count.all);
    const double there = std::max(1.0, all - count.ended);
    return all / std::min(all / there, 1 + kMaxTakeover * all / there);
}

std::uint32_t SiblingEstimate::update(Millis now, const Headcount& count, View view) {
    const Millis elapsed = updated_at_ < 0 ? 0 : std::max(0.0, now - updated_at_);
    const double lowest = value_ * std::exp2(-elapsed / kHalfLife);
    value_ = std::max(target(count, view), lowest);
    updated_at_ = now;
    return value();
}

std::uint32_t SiblingEstimate::value() const {
    constexpr double rounding = 1e-9;  // so that a whole number stays itself
    return static_cast<std::uint32_t>(std::ceil(value_ - rounding));
}

}  // namespace elmbay::cluster
