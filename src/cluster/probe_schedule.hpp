/// @file
/// The order in which members are probed, and the decision whether the next probe is quick.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "base/random.hpp"
#include "cluster/message.hpp"

namespace elmbay::cluster {

/// Round-robin over the members, shuffled at the start of each round, so that no member waits longer than two
/// rounds (SWIM, 4.3). A value type; not thread-safe.
class ProbeRound {
public:
    /// @param members     the number of members.
    /// @param is_eligible returns whether a member is to be probed now; called again when its turn comes.
    /// @return the next eligible member; nothing if no member is eligible.
    template <class Eligible>
    std::optional<MemberId> next(balancer::Random& random, std::uint32_t members, Eligible is_eligible) {
        // The rest of this round comes first, then one whole round.
        if (const auto id = next_remaining(is_eligible)) return id;
        for (MemberId id = 0; id < members; ++id) {
            if (is_eligible(id)) remaining_.push_back(id);
        }
        for (std::size_t i = remaining_.size(); i > 1; --i)
            std::swap(remaining_[i - 1], remaining_[random.below(i)]);
        return next_remaining(is_eligible);
    }

private:
    template <class Eligible>
    std::optional<MemberId> next_remaining(Eligible is_eligible) {
        while (!remaining_.empty()) {
            const MemberId id = remaining_.back();
            remaining_.pop_back();
            if (is_eligible(id)) return id;
        }
        return std::nullopt;
    }

    std::vector<MemberId> remaining_;  // members that this round has not visited yet, the next one last
};

/// Decides whether the next probe is quick, which means that it follows after a shorter period. Probes are
/// quick while many of them fail. The number of quick probes in a row is bounded, to limit their cost. A
/// value type; not thread-safe.
class FailureBurst {
public:
    /// Maximum number of quick probes in a row. Each probe that is not quick allows one more of them.
    static constexpr std::uint32_t kMaxQuickProbes = 50;

    /// Records that a probe was answered.
    void probe_succeeded() { recent_failures_ -= recent_failures_ > 0 ? 1 : 0; }
    /// Records that a probe was not answered. Two answered probes offset it.
    void probe_failed() { recent_failures_ = std::min(kWindowProbes, recent_failures_ + 2); }
    /// Decides whether the next probe is quick, and counts that probe.
    /// @param allowed whether the caller permits a quick probe now.
    /// @return whether the next probe is quick.
    bool take_quick_probe(bool allowed) {
        const bool quick =
            allowed && recent_failures_ > kBurstFailureFraction * kWindowProbes && quick_probes_left_ > 0;
        if (quick) {
            --quick_probes_left_;
        } else if (quick_probes_left_ < kMaxQuickProbes) {
            ++quick_probes_left_;
        }
        return quick;
    }

private:
    static constexpr std::uint32_t kWindowProbes = 10;  // approximate number of probes taken into account
    static constexpr double kBurstFailureFraction =
        0.2;  // fraction of failed probes above which probes are quick

    std::uint32_t recent_failures_ = 0;
    std::uint32_t quick_probes_left_ = kMaxQuickProbes;
};

}  // namespace elmbay::cluster
