#include "cluster/sibling_estimate.hpp"

#include <algorithm>
#include <cmath>

namespace elmbay::cluster {

double SiblingEstimate::target(const Headcount& c, View view) const {
    // Who has just started, or hears nobody, knows nothing that others would not know better.
    if (view == View::unknown || view == View::alone) return configured_;
    // A list of peers that names fewer than the settings count, or more, is wrong in a way nobody can see
    // here.
    const double all = std::max<double>(configured_, c.all);
    const double there = std::max(1.0, all - c.ended);
    return all / std::min(all / there, 1 + kMaxTakeover * all / there);
}

std::uint32_t SiblingEstimate::update(Millis now, const Headcount& c, View view) {
    const double least = at_ < 0 ? value_ : value_ * std::exp2(-std::max(0.0, now - at_) / kHalfLife);
    value_ = std::max(target(c, view), least);
    at_ = now;
    return value();
}

std::uint32_t SiblingEstimate::value() const { return static_cast<std::uint32_t>(std::ceil(value_ - 1e-9)); }

}  // namespace elmbay::cluster
