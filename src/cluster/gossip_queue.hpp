/// @file
/// The queue of member updates that are piggybacked on datagrams (SWIM's dissemination component).
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "cluster/message.hpp"

namespace elmbay::cluster {

/// The members whose updates are to be sent, with the number of transmissions of each. Updates with the
/// fewest transmissions are sent first, and an update leaves the queue after retransmit_limit()
/// transmissions. A value type without I/O and clock; not thread-safe. Memory: proportional to the number of
/// members, as the queue has at most one update per member.
class GossipQueue {
public:
    /// Transmissions of one update by each member, divided by log10 of the number of members.
    static constexpr double kRetransmitFactor = 3;

    explicit GossipQueue(std::uint32_t members);

    /// Queues an update on this member, with its transmissions reset to 0.
    void add(MemberId id);
    /// Counts a transmission of the same update by another member, which makes one transmission by this
    /// member unnecessary (Demers 1987, feedback).
    void count_transmission_by_other(MemberId id);

    /// The limits on the updates that one datagram carries.
    struct Selection {
        std::size_t max_updates = 0;  ///< number of updates that fit
        MemberId receiver = 0;
        bool skip_receiver = false;           ///< whether the datagram already has the update on its receiver
        bool count_receiver = false;          ///< whether an update sent to its own subject counts
        std::optional<MemberId> only_member;  ///< if set, selects only the update on this member
    };
    /// Selects the members whose updates are sent in a datagram, and counts the transmissions.
    std::vector<MemberId> take(const Selection& selection);

    /// @return whether no update is queued.
    bool empty() const { return queue_.empty(); }
    /// @return the number of members with a queued update.
    std::size_t size() const { return queue_.size(); }
    /// @return transmissions of the member's update so far; UINT32_MAX if none is queued.
    std::uint32_t transmissions(MemberId id) const { return transmissions_[id]; }
    /// @return transmissions after which an update leaves the queue; grows with log10 of the number of
    /// members.
    std::uint32_t retransmit_limit() const;

private:
    static constexpr std::uint32_t kNotQueued = UINT32_MAX;

    std::vector<MemberId> queue_;
    std::vector<std::uint32_t> transmissions_;  // by id
};

}  // namespace elmbay::cluster
