// Membership: processing of updates, and refutation of wrong updates.
#include <algorithm>

#include "cluster/membership.hpp"

namespace elmbay::cluster {

namespace {

// Milliseconds between two messages that send a member its reported state.
constexpr Millis kNoticeInterval = 300;
// Milliseconds between two refutations of updates without an incarnation, so that copies of one update are
// refuted once. A refutation reaches the sender of the update through other members in less time.
constexpr Millis kRefutationWithoutIncarnationInterval = 1000;
constexpr Millis kSecond = 1000;

}  // namespace

bool Membership::is_valid(const Update& update) const {
    return update.member_id < table_.size() && update.incarnation.counter > 0 &&
           update.incarnation.counter <= clock_.max_plausible_counter(due_at_) &&
           update.state != MemberState::expected;
}

Update Membership::make_update(MemberId id) const {
    const Member& member = table_[id];
    Update update{id, member.incarnation, member.state, 0};
    if (member.state == MemberState::suspect) update.detail = suspicions_.last_reporter(id).value_or(0);
    const bool running = member.state == MemberState::joining || member.state == MemberState::alive;
    if (running) update.detail = member.uptime_seconds;
    return update;
}

void Membership::set_state(Millis now, MemberId id, const Incarnation& incarnation, MemberState state,
                           const std::string& reason) {
    table_.set(now, id, incarnation, state, reason);
    if (state != MemberState::suspect) suspicions_.clear(id);
    table_changed_at_ = now;
}

void Membership::apply_update(Millis now, const Update& update, MemberId from) {
    if (!is_valid(update)) return;
    if (update.member_id == setup_.self) return on_update_about_self(now, update);
    Member& member = table_[update.member_id];
    if (update.incarnation < member.incarnation) return;
    const bool is_later = update.incarnation > member.incarnation;
    // A member sends the update on itself so that others disseminate it; this is not a transmission by
    // another.
    const bool sent_by_other = !is_later && update.state == member.state && from != update.member_id;
    if (sent_by_other) gossip_.count_transmission_by_other(update.member_id);
    const bool state_outranks = !is_later && update.state > member.state;
    const bool is_shared_suspicion =
        update.state == MemberState::suspect && member.state == MemberState::suspect;
    if (!is_later && !state_outranks && !is_shared_suspicion) return;
    if (state_outranks && should_defer(now, update, from)) {
        return send_reported_state(now, update.member_id, member.address_index);
    }
    if (update.state == MemberState::suspect) {
        if (is_later)
            set_state(now, update.member_id, update.incarnation, MemberState::alive,
                      "later incarnation received");
        return suspect(now, update.member_id, update.detail);
    }
    const bool must_gossip = needs_gossip(member, update.incarnation, update.state);
    if (update.state <= MemberState::alive) member.uptime_seconds = update.detail;
    set_state(now, update.member_id, update.incarnation, update.state,
              "reported by member " + std::to_string(from));
    if (must_gossip) gossip_.add(update.member_id);
}

// Returns whether the update is deferred, so that its member can refute it first. This is the case if the
// member itself has sent a datagram recently, or if the sender has just rejoined, because such a sender may
// have been cut off from other members as well.
bool Membership::should_defer(Millis now, const Update& update, MemberId from) const {
    if (update.state < MemberState::suspect || update.state == MemberState::left) return false;
    const Member& member = table_[update.member_id];
    const bool has_recent_datagram =
        member.last_datagram_at >= 0 && now - member.last_datagram_at < kRecentDatagramPeriod;
    const bool sender_was_absent =
        table_[from].state >= MemberState::failed || now - table_.rejoined_at(from) < kRejoinPeriod;
    return has_recent_datagram || sender_was_absent;
}

// Returns whether the update has an incarnation of its member that is earlier than the known one, or none.
bool Membership::is_outdated(const Update& update) const {
    return update.member_id < table_.size() && update.incarnation < table_[update.member_id].incarnation &&
           update.state >= MemberState::suspect && update.state <= MemberState::terminated;
}

// Answers outdated updates with the current state of their members, as the members themselves may be unable
// to reach the sender. Sends at most one datagram per received datagram.
void Membership::correct_outdated(Millis now, const Message& message) {
    std::vector<Update> corrections;
    for (const Update& update : message.updates) {
        if (!is_outdated(update)) continue;
        if (update.member_id == setup_.self) {
            if (update.incarnation.counter == 0) refute_update_without_incarnation(now);
        } else if (is_present(table_[update.member_id].state)) {
            corrections.push_back(make_update(update.member_id));
        }
    }
    if (corrections.empty() || !correction_budget_.take(now)) return;
    Message answer = make_message(Message::Kind::gossip);
    answer.updates = std::move(corrections);
    send(now, message.from, std::move(answer));
}

// Sends a member its state in this table, to the address that its datagram came from. If two processes have
// the same id, the address in the table may be that of the other process.
void Membership::send_reported_state(Millis now, MemberId id, std::uint32_t address_index) {
    if (now - reported_state_sent_at_[id] < kNoticeInterval || !notice_budget_.take(now)) return;
    reported_state_sent_at_[id] = now;
    // The message reports the state suspect regardless of the state in the table, as that makes the member
    // refute with a later incarnation.
    Message message = make_message(Message::Kind::gossip);
    message.updates.push_back({id, table_[id].incarnation, MemberState::suspect, setup_.self});
    send(now, id, std::move(message));
    if (!yielded_) datagrams_.back().address_index = address_index;
}

// ---- refutation ----------------------------------------------------------------------------------------

// Refutes a wrong update on this member with a later incarnation. If the update comes from another process
// with the same id, that process may have ended already. Only a refutation in turn shows that it still runs.
void Membership::on_update_about_self(Millis now, const Update& update) {
    const Incarnation own = table_.self().incarnation;
    const bool matches_own_state = update.incarnation == own && update.state <= MemberState::alive;
    if (leaving_ || update.incarnation < own || matches_own_state) return;
    if (must_yield(now, update)) {
        yielded_ = true;
        table_.record(
            {now, setup_.self, MemberState::alive, MemberState::left, "a younger process has the same id"});
        return;
    }
    raise_incarnation(now, update.incarnation.counter);
    if (update.incarnation.nonce == own.nonce) {
        health_.worsen();  // Lifeguard: a suspected member may be slow
        return;
    }
    duplicate_nonce_ = update.incarnation.nonce;
    duplicate_refutation_counter_ = table_.self().incarnation.counter;
}

// Returns whether this process yields to another running process with the same id. Each of the two compares
// the uptimes, and the older process yields.
bool Membership::must_yield(Millis now, const Update& update) const {
    const Incarnation own = table_.self().incarnation;
    const bool duplicate_refuted =
        update.incarnation.nonce != own.nonce && update.incarnation.nonce == duplicate_nonce_ &&
        update.state <= MemberState::alive && update.incarnation.counter > duplicate_refutation_counter_;
    if (!duplicate_refuted) return false;
    const auto uptime = static_cast<std::uint32_t>((now - started_at_) / kSecond);
    if (uptime != update.detail) return uptime > update.detail;
    return own.nonce < update.incarnation.nonce;
}

void Membership::refute_update_without_incarnation(Millis now) {
    if (leaving_ || now - refuted_without_incarnation_at_ < kRefutationWithoutIncarnationInterval) return;
    refuted_without_incarnation_at_ = now;
    raise_incarnation(now, 0);
    health_.worsen();
}

void Membership::raise_incarnation(Millis now, std::uint32_t above) {
    const Member& self = table_.self();
    const Incarnation raised{std::max(self.incarnation.counter, above) + 1, self.incarnation.nonce};
    ++counters_.refutations;
    set_state(now, setup_.self, raised, self.state, "");
    gossip_.add(setup_.self);
    next_gossip_at_ = std::min(next_gossip_at_, now);
}

}  // namespace elmbay::cluster
