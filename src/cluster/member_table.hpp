/// @file
/// One member's view of all: state, incarnation and address of each, their counts and a digest.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cluster/message.hpp"
#include "cluster/sibling_estimate.hpp"

namespace elmbay::cluster {

/// A member's state, as this one sees it, has changed.
struct MemberChange {
    Millis at = 0;  ///< monotonic milliseconds
    MemberId member_id = 0;
    MemberState before = MemberState::expected;
    MemberState after = MemberState::expected;
    std::string reason;  ///< for people
};

/// What this member knows of one.
struct Member {
    Incarnation incarnation;  ///< counter 0: nothing is known of it
    MemberState state = MemberState::expected;
    Millis since = 0;                 ///< of the state; monotonic milliseconds
    Millis heard = -1;                ///< when its own last datagram came; monotonic milliseconds; -1: never
    bool indirect_only = false;       ///< it answered its last probe by way of others only
    std::uint32_t address_index = 0;  ///< where in the list of peers it is reached
    View view = View::unknown;        ///< as it said last
    std::uint32_t present_count = 0;  ///< members that it counted as present, as it said last
    std::uint32_t uptime = 0;         ///< seconds, as it said last
};

/// @return whether a member in that state counts as present: not silent, and not known to have ended.
constexpr bool is_present(MemberState state) { return state <= MemberState::suspect; }
/// @return whether a member in that state is known to have ended, and not merely silent.
constexpr bool has_ended(MemberState state) { return state >= MemberState::gone; }

/// Others need no news of a member that is present for the first time, as is expected. A later incarnation of
/// a known member refutes an update that others may have.
/// @return whether the change of `before` to that incarnation and state is to be gossiped.
bool needs_gossip(const Member& before, const Incarnation& incarnation, MemberState after);

/// The table of all members, this one included. A value without I/O and clock; not thread-safe. Ids must be
/// below size(). Memory: by the number of members, and kMaxChanges changes.
class MemberTable {
public:
    /// Changes that are kept until they are taken; the oldest go first.
    static constexpr std::size_t kMaxChanges = 256;

    /// @param self  this member's own id, below count.
    /// @param count members, this one included; from 1.
    /// @param now   monotonic milliseconds.
    MemberTable(MemberId self, std::uint32_t count, Millis now);

    /// @return members, this one included.
    std::uint32_t size() const { return static_cast<std::uint32_t>(members_.size()); }
    const Member& operator[](MemberId id) const { return members_[id]; }
    /// For what does not change state or incarnation; set() changes those.
    Member& operator[](MemberId id) { return members_[id]; }
    /// @return this member's own entry.
    const Member& self() const { return members_[self_]; }
    /// @return how many are present, silent and ended; together they are size().
    const Headcount& headcount() const { return headcount_; }
    /// Of the incarnations and states of those that are not present: tables with equal digests agree on them.
    std::uint32_t digest() const { return digest_; }
    /// @return when it came back last after it was failed or gone; long ago if never.
    Millis rejoined_at(MemberId id) const { return rejoined_at_[id]; }
    /// @return whether it is another member than this one and present.
    bool is_present_peer(MemberId id) const { return id != self_ && is_present(members_[id].state); }

    /// Sets a member's incarnation and state, and records the change if the state is another than before.
    /// @param why for people.
    void set(Millis now, MemberId id, const Incarnation& incarnation, MemberState state,
             const std::string& why);
    /// Adds a change that set() does not see.
    void record(MemberChange change);
    /// @return the changes since the last call, in order.
    std::vector<MemberChange> take_changes() { return std::exchange(changes_, {}); }
    /// @return changes to failed since the start.
    std::uint64_t failures() const { return failures_; }

private:
    std::uint32_t hash_of(MemberId id) const;
    std::uint32_t& counter_of(MemberState state);

    MemberId self_;
    std::vector<Member> members_;
    std::vector<Millis> rejoined_at_;
    Headcount headcount_;
    std::uint32_t digest_ = 0;
    std::vector<MemberChange> changes_;
    std::uint64_t failures_ = 0;
};

}  // namespace elmbay::cluster
