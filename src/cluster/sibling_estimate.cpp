#include "cluster/sibling_estimate.hpp"

#include <algorithm>
#include <cmath>

namespace elmbay::cluster {

double SiblingEstimate::target(const Headcount& count, View view) const {
    // Who has just started, or hears nobody, knows nothing that others would not know better.
    if (view == View::unknown || view == View::alone) return configured_;
    // A list of peers that names fewer than the settings count, or more, is wrong in a way nobody can see
    // here.
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
