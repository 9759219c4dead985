// Which members there is news of, and how often each piece of news was told: SWIM's dissemination,
// piggybacked on whatever is sent.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "cluster/message.hpp"

namespace elmbay::cluster {

/// The queue of updates that are to be told. News that was told least often goes first, and each piece goes
/// after retransmit_limit() tellings. A value without I/O and clock; not thread-safe. Memory: by the number
/// of members, each of which is in it once at most.
class GossipQueue {
public:
    /// Tellings of one piece of news by each member, times log10 of the members.
    static constexpr double kRetransmitFactor = 3;

    explicit GossipQueue(std::uint32_t members);

    /// There is news of this member: it is told from now on as if it never had been.
    void add(MemberId id);
    /// Somebody else tells the same: one telling less is needed (Demers 1987, feedback).
    void note_told_by_other(MemberId id);

    /// What one datagram takes along.
    struct Selection {
        std::size_t room = 0;  ///< updates that fit
        MemberId receiver = 0;
        bool skip_receiver = false;    ///< the datagram has the update on its receiver already
        bool count_receiver = false;   ///< telling a member of itself counts as a telling
        std::optional<MemberId> only;  ///< nobody but this member is told of
    };
    /// Picks members to tell of and counts the tellings.
    std::vector<MemberId> take(const Selection& selection);

    bool empty() const { return queue_.empty(); }
    std::size_t size() const { return queue_.size(); }
    /// @return tellings of the member's news so far; UINT32_MAX if there is none.
    std::uint32_t transmissions(MemberId id) const { return transmissions_[id]; }
    std::uint32_t retransmit_limit() const;

private:
    static constexpr std::uint32_t kNoNews = UINT32_MAX;

    std::vector<MemberId> queue_;
    std::vector<std::uint32_t> transmissions_;  // by id
};

}  // namespace elmbay::cluster
