/// @file
/// How many sidecars share the servers, as far as it is certain. What consumers do in each view is written
/// down in docs/design/members.md.
#pragma once

#include <cstdint>

#include "cluster/message.hpp"
#include "elmbay/balancer.hpp"

namespace elmbay::cluster {

using balancer::Millis;

/// How many members there are, this one included.
struct Headcount {
    std::uint32_t all = 1;      ///< that there should be
    std::uint32_t present = 1;  ///< heard of, or expected and not found silent
    std::uint32_t silent = 0;   ///< failed: dead or cut off
    std::uint32_t ended = 0;    ///< gone or left: nobody is there
};

/// The number that the decision module divides by. It is doubted: it lies between who may be out there and
/// what the settings say, falls slowly and rises at once. A value without a clock; not thread-safe.
class SiblingEstimate {
public:
    /// Nobody takes over more than this part of the whole beyond the shares of those who have ended, for
    /// these may be back at any moment and act on the settings' number until they have heard of the others.
    /// So whatever happens at once, all together act on 1.4 of the whole at most; the module keeps 1.43 free
    /// where a rule depends on it (SlowStart::kOverloadMargin).
    static constexpr double kMaxTakeover = 0.4;
    /// Milliseconds. It falls no faster than by half in this time.
    static constexpr Millis kHalfLife = 5000;

    /// @param configured as the settings say; from 1.
    explicit SiblingEstimate(std::uint32_t configured) : configured_(configured), value_(configured) {}

    /// Those who are silent count as there: they may be on the other side of a partition.
    /// @param now monotonic milliseconds that never go back.
    /// @return the number now; at least 1.
    std::uint32_t update(Millis now, const Headcount& count, View view);
    /// @return the number as of the last update, rounded up.
    std::uint32_t value() const;
    /// @return the number without the bound on its fall.
    double target(const Headcount& count, View view) const;

private:
    double configured_;
    double value_;
    Millis updated_at_ = -1;  // -1: never
};

}  // namespace elmbay::cluster
