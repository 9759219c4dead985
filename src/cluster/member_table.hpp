/// @file
/// One member's table of all members: the state, incarnation and address of each, the number of members by
/// state, and a digest of the table.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cluster/message.hpp"
#include "cluster/sibling_estimate.hpp"

namespace elmbay::cluster {

/// A change of a member's state in this member's table.
struct MemberChange {
    Millis at = 0;  ///< monotonic milliseconds
    MemberId member_id = 0;
    MemberState before = MemberState::expected;
    MemberState after = MemberState::expected;
    std::string reason;  ///< for the log
};

/// The entry of one member in the table.
struct Member {
    Incarnation incarnation;  ///< counter 0: no incarnation has been received
    MemberState state = MemberState::expected;
    Millis state_since = 0;           ///< monotonic milliseconds
    Millis last_datagram_at = -1;     ///< arrival of its own last datagram; monotonic milliseconds; -1: never
    bool indirect_only = false;       ///< whether only a helper relayed the answer to its last probe
    std::uint32_t address_index = 0;  ///< index of its address in the list of peers
    View view = View::unknown;        ///< as it last reported
    std::uint32_t present_count = 0;  ///< number of present members, as it last reported
    std::uint32_t uptime_seconds = 0;  ///< as it last reported
};

/// @return whether a member in that state counts as present: neither failed nor known to have ended.
constexpr bool is_present(MemberState state) { return state <= MemberState::suspect; }
/// @return whether a member in that state is known to have ended, as opposed to being unreachable.
constexpr bool has_ended(MemberState state) { return state >= MemberState::terminated; }

/// Decides whether a change is disseminated. The first appearance of a member is not, because the other
/// members already count it as present. A later incarnation of a known member is, because it refutes an
/// update that others may have.
/// @return whether the change of `before` to that incarnation and state is to be gossiped.
bool needs_gossip(const Member& before, const Incarnation& incarnation, MemberState after);

/// The table of all members, including this one. A value type without I/O and clock; not thread-safe. Ids
/// must be below size(). Memory: proportional to the number of members, plus kMaxChanges changes.
class MemberTable {
public:
    /// Maximum number of changes kept until take_changes(). When it is reached, the oldest change is dropped.
    static constexpr std::size_t kMaxChanges = 256;

    /// @param self  this member's own id, below count.
    /// @param count number of members, including this one; at least 1.
    /// @param now   monotonic milliseconds.
    MemberTable(MemberId self, std::uint32_t count, Millis now);

    /// @return the number of members, including this one.
    std::uint32_t size() const { return static_cast<std::uint32_t>(members_.size()); }
    const Member& operator[](MemberId id) const { return members_[id]; }
    /// Returns the entry for updating fields other than state and incarnation. Use set() for those two.
    Member& operator[](MemberId id) { return members_[id]; }
    /// @return this member's own entry.
    const Member& self() const { return members_[self_]; }
    /// @return the numbers of present, failed and ended members, which add up to size().
    const MemberCounts& member_counts() const { return member_counts_; }
    /// @return a digest of the incarnations and states of the members that are not present. Tables with equal
    /// digests agree on these members.
    std::uint32_t digest() const { return digest_; }
    /// @return the last time at which the member became present after it was failed or terminated; a time in
    /// the distant past if it never did. Monotonic milliseconds.
    Millis rejoined_at(MemberId id) const { return rejoined_at_[id]; }
    /// @return whether the member is present and is not this member itself.
    bool is_present_peer(MemberId id) const { return id != self_ && is_present(members_[id].state); }

    /// Sets a member's incarnation and state, and records the change if the state is another than before.
    /// @param reason text for the log.
    void set(Millis now, MemberId id, const Incarnation& incarnation, MemberState state,
             const std::string& reason);
    /// Adds a change that does not result from set().
    void record(MemberChange change);
    /// @return the changes since the last call, oldest first.
    std::vector<MemberChange> take_changes() { return std::exchange(changes_, {}); }
    /// @return the number of changes to the state failed since the start.
    std::uint64_t failures() const { return failures_; }

private:
    std::uint32_t hash_entry(MemberId id) const;
    std::uint32_t& counter_for(MemberState state);

    MemberId self_;
    std::vector<Member> members_;
    std::vector<Millis> rejoined_at_;
    MemberCounts member_counts_;
    std::uint32_t digest_ = 0;
    std::vector<MemberChange> changes_;
    std::uint64_t failures_ = 0;
};

}  // namespace elmbay::cluster
