/// @file
/// An estimate of how slow this process itself is (Lifeguard's local health multiplier, Dadgar and others
/// 2018).
#pragma once

#include <cstdint>

namespace elmbay::cluster {

/// A score that lengthens this member's own timeouts. A value type; not thread-safe.
class LocalHealth {
public:
    /// Highest score. With it, timeouts are multiplied by nine.
    static constexpr std::uint32_t kMaxScore = 8;

    /// Records evidence that this process runs in time, such as a probe that was answered.
    void improve() { score_ -= score_ > 0 ? 1 : 0; }
    /// Records evidence that this process is slow, such as a late timer or a suspicion of this member.
    void worsen() { score_ += score_ < kMaxScore ? 1 : 0; }
    /// @return the score, from 0 (healthy) to kMaxScore.
    std::uint32_t score() const { return score_; }
    /// @return the factor by which timeouts are multiplied: 1 to 1 + kMaxScore.
    double multiplier() const { return 1 + score_; }

private:
    std::uint32_t score_ = 0;
};

}  // namespace elmbay::cluster
