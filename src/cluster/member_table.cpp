#include "cluster/member_table.hpp"

namespace elmbay::cluster {

namespace {

constexpr Millis kLongAgo = -1e9;

// The finalizer of SplitMix64, truncated to 32 bits.
std::uint32_t mix_bits(std::uint64_t value) {
    value = (value ^ (value >> 33)) * 0xff51afd7ed558ccdULL;
    value = (value ^ (value >> 33)) * 0xc4ceb9fe1a85ec53ULL;
    return static_cast<std::uint32_t>(value ^ (value >> 33));
}

}  // namespace

bool needs_gossip(const Member& before, const Incarnation& incarnation, MemberState after) {
    const bool replaces_known = before.incarnation.counter > 0 && incarnation > before.incarnation;
    return before.state >= MemberState::suspect || after >= MemberState::suspect || replaces_known;
}

MemberTable::MemberTable(MemberId self, std::uint32_t count, Millis now)
    : self_(self), members_(count), rejoined_at_(count, kLongAgo), member_counts_{count, count, 0, 0} {
    for (MemberId id = 0; id < count; ++id) {
        members_[id].address_index = id;
        members_[id].state_since = now;
    }
}

std::uint32_t MemberTable::hash_entry(MemberId id) const {
    const Member& member = members_[id];
    // Present members do not contribute to the digest, because no decision depends on their incarnations.
    if (is_present(member.state)) return 0;
    const std::uint64_t key = (std::uint64_t{id} << 32) | member.incarnation.counter;
    return mix_bits(key * 31 + member.incarnation.nonce * 7919ULL + static_cast<std::uint64_t>(member.state));
}

std::uint32_t& MemberTable::counter_for(MemberState state) {
    if (is_present(state)) return member_counts_.present;
    return has_ended(state) ? member_counts_.ended : member_counts_.failed;
}

void MemberTable::set(Millis now, MemberId id, const Incarnation& incarnation, MemberState state,
                      const std::string& reason) {
    Member& member = members_[id];
    const MemberState before = member.state;
    digest_ ^= hash_entry(id);
    --counter_for(before);
    member.incarnation = incarnation;
    member.state = state;
    ++counter_for(state);
    digest_ ^= hash_entry(id);
    const bool was_absent = before == MemberState::failed || before == MemberState::terminated;
    if (was_absent && is_present(state)) rejoined_at_[id] = now;
    if (state == before) return;
    member.state_since = now;
    if (state == MemberState::failed) ++failures_;
    record({now, id, before, state, reason});
}

void MemberTable::record(MemberChange change) {
    if (changes_.size() >= kMaxChanges) changes_.erase(changes_.begin());
    changes_.push_back(std::move(change));
}

}  // namespace elmbay::cluster
