/// @file
/// Which member is probed next, and how soon.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "base/random.hpp"
#include "cluster/message.hpp"

namespace elmbay::cluster {

/// Members in turn, in an order drawn anew for each round, so that nobody waits longer than two rounds (SWIM,
/// 4.3). A value; not thread-safe.
class ProbeRound {
public:
    /// @param members how many there are.
    /// @param wanted  whether a member is to be probed now; asked again when its turn comes.
    /// @return the next that is wanted; nothing if nobody is.
    template <class Wanted>
    std::optional<MemberId> next(balancer::Random& random, std::uint32_t members, Wanted wanted) {
        // What is left of this round, and then one whole round.
        if (const auto id = next_left(wanted)) return id;
        for (MemberId id = 0; id < members; ++id) {
            if (wanted(id)) left_.push_back(id);
        }
        for (std::size_t i = left_.size(); i > 1; --i) std::swap(left_[i - 1], left_[random.below(i)]);
        return next_left(wanted);
    }

private:
    template <class Wanted>
    std::optional<MemberId> next_left(Wanted wanted) {
        while (!left_.empty()) {
            const MemberId id = left_.back();
            left_.pop_back();
            if (wanted(id)) return id;
        }
        return std::nullopt;
    }

    std::vector<MemberId> left_;  // of this round, the next one last
};

/// Whether probes follow each other quickly: while many fail, and for so many in a row that it stays cheap.
/// A value; not thread-safe.
class FailureBurst {
public:
    /// Quick probes in a row; one is earned back with each that is not quick.
    static constexpr std::uint32_t kMaxQuickProbes = 50;

    /// A probe was answered.
    void probe_succeeded() { recent_failures_ -= recent_failures_ > 0 ? 1 : 0; }
    /// A probe was not answered; two answers make up for it.
    void probe_failed() { recent_failures_ = std::min(kWindow, recent_failures_ + 2); }
    /// @param allowed whether quick probes make sense at all now.
    /// @return whether the next probe is to follow quickly. Counts as that probe.
    bool take_quick(bool allowed) {
        const bool quick = allowed && recent_failures_ > kManyFail * kWindow && quick_left_ > 0;
        if (quick) {
            --quick_left_;
        } else if (quick_left_ < kMaxQuickProbes) {
            ++quick_left_;
        }
        return quick;
    }

private:
    static constexpr std::uint32_t kWindow = 10;  // probes that are looked back on, about
    static constexpr double kManyFail = 0.2;      // of them

    std::uint32_t recent_failures_ = 0;
    std::uint32_t quick_left_ = kMaxQuickProbes;
};

}  // namespace elmbay::cluster
