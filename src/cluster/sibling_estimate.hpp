/// @file
/// A cautious estimate of the number of sidecars that share the servers. docs/design/members.md describes its
/// use in each view.
#pragma once

#include <cstdint>

#include "cluster/message.hpp"
#include "elmbay/balancer.hpp"

namespace elmbay::cluster {

using balancer::Millis;

/// Numbers of members by state, including this member.
struct MemberCounts {
    std::uint32_t total = 1;    ///< configured members
    std::uint32_t present = 1;  ///< members that are not known to have failed or ended
    std::uint32_t failed = 0;   ///< members that have crashed or are cut off by a partition
    std::uint32_t ended = 0;    ///< members that have terminated or left
};

/// The number of sidecars by which the decision module divides to compute this sidecar's share. It lies
/// between the number of members that may be running and the configured number, decreases slowly and
/// increases at once. A value type without a clock; not thread-safe.
class SiblingEstimate {
public:
    /// Maximum load, as a fraction of the fleet's total, that the remaining members together take over from
    /// members that have ended. Ended members may return at any moment, and use the configured number until
    /// they receive datagrams of the others. Even then the shares of all sidecars add up to at most 1.4 times
    /// the total. The decision module leaves room for a factor of 1.43 where a rule depends on it
    /// (SlowStart::kOverloadMargin).
    static constexpr double kMaxTakeoverFraction = 0.4;
    /// Milliseconds in which the estimate decreases at most by half.
    static constexpr Millis kHalfLife = 5000;

    /// @param configured the number of sidecars in the settings; at least 1.
    explicit SiblingEstimate(std::uint32_t configured) : configured_(configured), value_(configured) {}

    /// Updates the estimate. Failed members count as running, as they may be on the other side of a
    /// partition.
    /// @param now monotonic milliseconds that never decrease.
    /// @return the new estimate; at least 1.
    std::uint32_t update(Millis now, const MemberCounts& counts, View view);
    /// @return the estimate as of the last update, rounded up.
    std::uint32_t value() const;
    /// @return the value that the estimate approaches, without the limit on its decrease.
    double target(const MemberCounts& counts, View view) const;

private:
    double configured_;
    double value_;
    Millis updated_at_ = -1;  // -1: never
};

}  // namespace elmbay::cluster
