// Updates: what others report of members, what of it is accepted, and how it is refuted.
#include <algorithm>

#include "cluster/membership.hpp"

namespace elmbay::cluster {

namespace {

// Milliseconds between two notices to one member of its reported state.
constexpr Millis kNoticeInterval = 300;
// Milliseconds between two answers to claims that name no incarnation, so that copies of one claim are
// answered once: a refutation reaches the claimant by way of others in less.
constexpr Millis kUnnamedRefutationInterval = 1000;
constexpr Millis kSecond = 1000;

}  // namespace

bool Membership::is_sound(const Update& update) const {
    return update.member_id < table_.size() && update.incarnation.counter > 0 &&
           update.incarnation.counter <= clock_.max_plausible_counter(due_) &&
           update.state != MemberState::expected;
}

Update Membership::update_on(MemberId id) const {
    const Member& member = table_[id];
    Update update{id, member.incarnation, member.state, 0};
    if (member.state == MemberState::suspect) update.detail = suspicions_.last_accuser(id).value_or(0);
    const bool running = member.state == MemberState::joining || member.state == MemberState::alive;
    if (running) update.detail = member.uptime;
    return update;
}

void Membership::set(Millis now, MemberId id, const Incarnation& incarnation, MemberState state,
                     const std::string& why) {
    table_.set(now, id, incarnation, state, why);
    if (state != MemberState::suspect) suspicions_.clear(id);
    table_changed_at_ = now;
}

void Membership::merge(Millis now, const Update& update, MemberId from) {
    if (!is_sound(update)) return;
    if (update.member_id == setup_.self) return on_claim_about_self(now, update);
    Member& member = table_[update.member_id];
    if (update.incarnation < member.incarnation) return;
    const bool later = update.incarnation > member.incarnation;
    // A member sends its own update to those that are to spread it, so that does not count.
    const bool sent_by_other = !later && update.state == member.state && from != update.member_id;
    if (sent_by_other) gossip_.count_transmission_by_other(update.member_id);
    const bool worse = !later && update.state > member.state;
    const bool shared = update.state == MemberState::suspect && member.state == MemberState::suspect;
    if (!later && !worse && !shared) return;
    if (worse && is_doubtful(now, update, from)) {
        return notify_accused(now, update.member_id, member.address_index);
    }
    if (update.state == MemberState::suspect) {
        if (later) set(now, update.member_id, update.incarnation, MemberState::alive, "a later incarnation");
        return suspect(now, update.member_id, update.detail);
    }
    const bool is_news = needs_gossip(member, update.incarnation, update.state);
    if (update.state <= MemberState::alive) member.uptime = update.detail;
    set(now, update.member_id, update.incarnation, update.state, "said by " + std::to_string(from));
    if (is_news) gossip_.add(update.member_id);
}

// Whether the member may refute the update before it is accepted: the member has just been heard itself, or
// the sender was silent and is back. In the meantime the sender was cut off from others as well.
bool Membership::is_doubtful(Millis now, const Update& update, MemberId from) const {
    if (update.state < MemberState::suspect || update.state == MemberState::left) return false;
    const Member& member = table_[update.member_id];
    const bool heard_lately = member.heard >= 0 && now - member.heard < kRecentlyHeard;
    const bool sender_was_out =
        table_[from].state >= MemberState::failed || now - table_.rejoined_at(from) < kRejoinPeriod;
    return heard_lately || sender_was_out;
}

// Whether the sender has missed a later incarnation, or any, of the member that the update is on.
bool Membership::is_outdated(const Update& update) const {
    return update.member_id < table_.size() && update.incarnation < table_[update.member_id].incarnation &&
           update.state >= MemberState::suspect && update.state <= MemberState::gone;
}

// The member itself may be unable to reach the sender of such an update, so this member sends what it knows:
// at most one datagram for one received.
void Membership::correct_outdated(Millis now, const Message& message) {
    std::vector<Update> known;
    for (const Update& update : message.updates) {
        if (!is_outdated(update)) continue;
        if (update.member_id == setup_.self) {
            if (update.incarnation.counter == 0) refute_unnamed(now);
        } else if (is_present(table_[update.member_id].state)) {
            known.push_back(update_on(update.member_id));
        }
    }
    if (known.empty() || !corrections_.take(now)) return;
    Message answer = make_message(Message::Kind::gossip);
    answer.updates = std::move(known);
    send(now, message.from, std::move(answer));
}

// Sent to the address that its datagram came from: of two processes under one id, the other may be at the
// member's address.
void Membership::notify_accused(Millis now, MemberId id, std::uint32_t address_index) {
    if (now - notified_at_[id] < kNoticeInterval || !notices_.take(now)) return;
    notified_at_[id] = now;
    // Reported as suspect whatever its state is here: that makes the member refute with a later incarnation.
    Message message = make_message(Message::Kind::gossip);
    message.updates.push_back({id, table_[id].incarnation, MemberState::suspect, setup_.self});
    send(now, id, std::move(message));
    if (!yielded_) datagrams_.back().address_index = address_index;
}

// ---- refutation ----------------------------------------------------------------------------------------

// A wrong update on this member is refuted with a later incarnation. Whether another process under this
// member's id still runs is not known at first; if it refutes in its turn, it does.
void Membership::on_claim_about_self(Millis now, const Update& update) {
    const Incarnation own = table_.self().incarnation;
    const bool true_of_us = update.incarnation == own && update.state <= MemberState::alive;
    if (leaving_ || update.incarnation < own || true_of_us) return;
    if (must_yield(now, update)) {
        yielded_ = true;
        table_.record(
            {now, setup_.self, MemberState::alive, MemberState::left, "a younger process has our name"});
        return;
    }
    raise_incarnation(now, update.incarnation.counter);
    if (update.incarnation.nonce == own.nonce) {
        health_.worsen();  // Lifeguard: a member that is suspected may be slow
        return;
    }
    rival_nonce_ = update.incarnation.nonce;
    answered_rival_ = table_.self().incarnation.counter;
}

// Of two running processes under one id the older yields; each compares its own uptime.
bool Membership::must_yield(Millis now, const Update& update) const {
    const Incarnation own = table_.self().incarnation;
    const bool rival_answered =
        update.incarnation.nonce != own.nonce && update.incarnation.nonce == rival_nonce_ &&
        update.state <= MemberState::alive && update.incarnation.counter > answered_rival_;
    if (!rival_answered) return false;
    const auto uptime = static_cast<std::uint32_t>((now - started_at_) / kSecond);
    if (uptime != update.detail) return uptime > update.detail;
    return own.nonce < update.incarnation.nonce;
}

void Membership::refute_unnamed(Millis now) {
    if (leaving_ || now - refuted_unnamed_at_ < kUnnamedRefutationInterval) return;
    refuted_unnamed_at_ = now;
    raise_incarnation(now, 0);
    health_.worsen();
}

void Membership::raise_incarnation(Millis now, std::uint32_t above) {
    const Member& self = table_.self();
    const Incarnation raised{std::max(self.incarnation.counter, above) + 1, self.incarnation.nonce};
    ++counters_.refuted;
    set(now, setup_.self, raised, self.state, "");
    gossip_.add(setup_.self);
    next_gossip_at_ = std::min(next_gossip_at_, now);
}

}  // namespace elmbay::cluster
