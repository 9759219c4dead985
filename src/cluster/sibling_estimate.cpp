#include "cluster/sibling_estimate.hpp"

#include <algorithm>
#include <cmath>

namespace elmbay::cluster {

double SiblingEstimate::target(const MemberCounts& counts, View view) const {
    // Without datagrams from other members, the configured number is the better estimate.
    if (view == View::unknown || view == View::isolated) return configured_;
    // The length of the list of peers and the number in the settings should be equal. If they differ, the
    // higher one is safer, as each sidecar then uses a smaller share.
    const double total = std::max<double>(configured_, counts.total);
    const double remaining = std::max(1.0, total - counts.ended);
    return total / std::min(total / remaining, 1 + kMaxTakeoverFraction * total / remaining);
}

std::uint32_t SiblingEstimate::update(Millis now, const MemberCounts& counts, View view) {
    const Millis elapsed = updated_at_ < 0 ? 0 : std::max(0.0, now - updated_at_);
    const double lower_bound = value_ * std::exp2(-elapsed / kHalfLife);
    value_ = std::max(target(counts, view), lower_bound);
    updated_at_ = now;
    return value();
}

std::uint32_t SiblingEstimate::value() const {
    constexpr double tolerance = 1e-9;  // so that rounding errors do not raise a whole number
    return static_cast<std::uint32_t>(std::ceil(value_ - tolerance));
}

}  // namespace elmbay::cluster
