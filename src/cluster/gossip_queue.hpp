/// @file
/// Which members there is news of, and how often each piece of news has been sent: SWIM's dissemination,
/// piggybacked on other datagrams.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "cluster/message.hpp"

namespace elmbay::cluster {

/// The queue of updates that are to be sent. News that was sent least often goes first, and each piece leaves
/// the queue after retransmit_limit() transmissions. A value without I/O and clock; not thread-safe. Memory:
/// by the number of members, each of which is in it once at most.
class GossipQueue {
public:
    /// Transmissions of one piece of news by each member, divided by log10 of the number of members.
    static constexpr double kRetransmitFactor = 3;

    explicit GossipQueue(std::uint32_t members);

    /// There is news of this member: it is sent from now on, counted from 0.
    void add(MemberId id);
    /// Another member sends the same news: one transmission less is needed (Demers 1987, feedback).
    void count_transmission_by_other(MemberId id);

    /// What one datagram takes along.
    struct Selection {
        std::size_t max_updates = 0;  ///< updates that fit
        MemberId receiver = 0;
        bool skip_receiver = false;    ///< the datagram has the update on its receiver already
        bool count_receiver = false;   ///< sending a member news of itself counts as a transmission
        std::optional<MemberId> only;  ///< news of this member alone
    };
    /// Picks the members whose news goes into a datagram, and counts the transmissions.
    std::vector<MemberId> take(const Selection& selection);

    /// @return whether there is no news of anybody.
    bool empty() const { return queue_.empty(); }
    /// @return members that there is news of.
    std::size_t size() const { return queue_.size(); }
    /// @return transmissions of the member's news so far; UINT32_MAX if there is none.
    std::uint32_t transmissions(MemberId id) const { return transmissions_[id]; }
    /// @return transmissions after which news leaves the queue; grows with log10 of the number of members.
    std::uint32_t retransmit_limit() const;

private:
    static constexpr std::uint32_t kNoNews = UINT32_MAX;

    std::vector<MemberId> queue_;
    std::vector<std::uint32_t> transmissions_;  // by id
};

}  // namespace elmbay::cluster
