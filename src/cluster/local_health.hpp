/// @file
/// How slow this process itself is believed to be (Lifeguard's local health multiplier, Dadgar and others
/// 2018).
#pragma once

#include <cstdint>

namespace elmbay::cluster {

/// A score that stretches this member's own timeouts. A value; not thread-safe.
class LocalHealth {
public:
    /// Highest score: timeouts are stretched nine times at most.
    static constexpr std::uint32_t kMaxScore = 8;

    /// A sign that this process is well, such as a probe that was answered.
    void improve() { score_ -= score_ > 0 ? 1 : 0; }
    /// A sign that this process is slow, such as being woken late or being suspected.
    void worsen() { score_ += score_ < kMaxScore ? 1 : 0; }
    /// @return 0 (well) to kMaxScore.
    std::uint32_t score() const { return score_; }
    /// @return what timeouts are multiplied by: 1 to 1 + kMaxScore.
    double multiplier() const { return 1 + score_; }

private:
    std::uint32_t score_ = 0;
};

}  // namespace elmbay::cluster
