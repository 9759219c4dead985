/// @file
/// Timers of suspicions (Lifeguard, 4.2). The more members report a suspicion, the earlier it expires.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

#include "cluster/message.hpp"
#include "cluster/timing.hpp"

namespace elmbay::cluster {

/// The suspected members, with the start of each suspicion and the members that reported it. A value type
/// without I/O and clock; not thread-safe. Ids must be below the number of members; times are monotonic
/// milliseconds. Memory: proportional to the number of members.
class SuspicionTimers {
public:
    /// Number of reporters with which a suspicion reaches its shortest timeout. Further ones are not stored.
    static constexpr std::uint32_t kMaxReporters = 3;

    SuspicionTimers(std::uint32_t members, const Timing& timing);

    /// Starts a suspicion without reporters.
    void start(Millis now, MemberId id);
    /// Adds a member that reports the suspicion.
    /// @return whether the reporter is new and fewer than kMaxReporters were stored.
    bool add_reporter(MemberId id, MemberId reporter);
    /// Ends the suspicion, because the member has another state.
    void clear(MemberId id);
    /// Restarts the timer of the suspicion, and keeps its reporters.
    void restart(Millis now, MemberId id);
    /// Postpones all timers by `span`, during which this process stalled, and cancels final probes.
    void postpone_all(Millis now, Millis span);

    /// @return the time at which the final probe is due.
    Millis deadline(MemberId id) const;
    /// @return the reporter that was added last, if there is one.
    std::optional<MemberId> last_reporter(MemberId id) const;
    /// @return the number of stored reporters, at most kMaxReporters.
    std::uint32_t reporters(MemberId id) const { return suspicions_[id].reporter_count; }
    /// @return the start of the last suspicion of the member; 0 if there was none.
    Millis started_at(MemberId id) const { return suspicions_[id].started_at; }

    /// Records that the timer has expired and a final probe is pending.
    void begin_final_probe(MemberId id) { suspicions_[id].final_probe = true; }
    /// @return whether a final probe is pending and the suspicion has not ended since its start.
    bool in_final_probe(MemberId id) const { return suspicions_[id].final_probe; }
    /// @return all suspected members, in the order in which their suspicions started.
    const std::vector<MemberId>& suspects() const { return suspects_; }

private:
    /// The suspicion of one member.
    struct Suspicion {
        std::array<MemberId, kMaxReporters> reporters{};
        std::uint32_t reporter_count = 0;
        Millis started_at = 0;
        bool final_probe = false;
    };

    Timing timing_;
    std::vector<Suspicion> suspicions_;  // by id
    std::vector<MemberId> suspects_;
};

}  // namespace elmbay::cluster
