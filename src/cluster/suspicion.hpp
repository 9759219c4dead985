/// @file
/// The timers of suspicions (Lifeguard, 4.2): the more members share one, the sooner it ends.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

#include "cluster/message.hpp"
#include "cluster/timing.hpp"

namespace elmbay::cluster {

/// Who is suspected, since when and by whom. A value without I/O and clock; not thread-safe. Ids must be
/// below the number of members; times are monotonic milliseconds. Memory: by the number of members.
class SuspicionTimers {
public:
    /// Members that must share a suspicion until it is as short as it gets.
    static constexpr std::uint32_t kMaxAccusers = 3;

    SuspicionTimers(std::uint32_t members, const Timing& timing);

    /// Begins a suspicion without an accuser yet.
    void start(Millis now, MemberId id);
    /// Adds one that shares the suspicion.
    /// @return whether it is a new one, and there were fewer than kMaxAccusers.
    bool add_accuser(MemberId id, MemberId accuser);
    /// The member has another state: the suspicion ends.
    void clear(MemberId id);
    /// The timer begins anew; who shares the suspicion is kept.
    void restart(Millis now, MemberId id);
    /// This process stood still for `span`: all timers are put off by it, and final probes are void.
    void postpone_all(Millis now, Millis span);

    /// @return when the final probe is due.
    Millis deadline(MemberId id) const;
    /// @return who shared the suspicion last, if anybody.
    std::optional<MemberId> last_accuser(MemberId id) const;
    /// @return how many members share the suspicion; kMaxAccusers at most.
    std::uint32_t accusers(MemberId id) const { return suspicions_[id].accuser_count; }
    /// @return when the suspicion began last; 0 if never.
    Millis started_at(MemberId id) const { return suspicions_[id].started_at; }

    /// The suspicion has ended and a final probe runs.
    void begin_final_probe(MemberId id) { suspicions_[id].final_probe = true; }
    /// @return whether a final probe runs whose suspicion has not ended meanwhile.
    bool in_final_probe(MemberId id) const { return suspicions_[id].final_probe; }
    /// @return all suspects, in the order of their suspicions.
    const std::vector<MemberId>& suspects() const { return suspects_; }

private:
    /// Of one member.
    struct Suspicion {
        std::array<MemberId, kMaxAccusers> accusers{};
        std::uint32_t accuser_count = 0;
        Millis started_at = 0;
        bool final_probe = false;
    };

    Timing timing_;
    std::vector<Suspicion> suspicions_;  // by id
    std::vector<MemberId> suspects_;
};

}  // namespace elmbay::cluster
