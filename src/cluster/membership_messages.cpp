// Membership: processing of received datagrams, and sending of datagrams.
#include <algorithm>

#include "cluster/membership.hpp"

namespace elmbay::cluster {

namespace {

constexpr Millis kSecond = 1000;

}  // namespace

// ---- received messages ---------------------------------------------------------------------------------

void Membership::on_datagram(Millis now, std::optional<std::uint32_t> address_index, std::string_view bytes) {
    detect_stall(now);
    process_datagram(now, address_index, bytes);
    due_at_ = std::max(now, next_due());
}

void Membership::process_datagram(Millis now, std::optional<std::uint32_t> address_index,
                                  std::string_view bytes) {
    if (!address_index || *address_index >= table_.size()) {
        ++counters_.unknown_senders;
        return;
    }
    const std::optional<Message> message = decode_message(bytes);
    if (!message || yielded_) return;
    if (message->from == setup_.self) return on_message_from_own_id(now, *message);
    if (message->incarnation < table_[message->from].incarnation) {
        // The datagram was delayed and has an earlier incarnation, or the process restarted with a wall clock
        // that was set back. The reply contains the state of the sender in this table, which the sender can
        // refute.
        ++counters_.outdated;
        send_reported_state(now, message->from, *address_index);
        return;
    }
    update_sender(now, *address_index, *message);
    for (const Update& update : message->updates) apply_update(now, update, message->from);
    correct_outdated(now, *message);
    if (message->digest != table_.digest()) table_sync_.record_difference(message->from);
    dispatch(now, *message);
}

std::optional<Message> Membership::decode_message(std::string_view bytes) {
    std::optional<Message> message = decode(bytes);
    // A sender's own counter may exceed the limit for updates by kMaxCounterLead: the sender may have refuted
    // an update whose counter was at that limit.
    const std::uint32_t highest = clock_.max_plausible_counter(due_at_) + IncarnationClock::kMaxCounterLead;
    if (!message || message->from >= table_.size() || message->incarnation.counter > highest ||
        message->state == MemberState::expected) {
        ++counters_.malformed;
        return std::nullopt;
    }
    ++counters_.received;
    return message;
}

// Handles a message with this member's own id. Its sender is another process with the same id, unless a
// datagram of this process was sent back to it.
void Membership::on_message_from_own_id(Millis now, const Message& message) {
    if (message.incarnation.nonce == table_.self().incarnation.nonce) return;
    on_update_about_self(now, {message.from, message.incarnation, message.state, message.uptime_seconds});
}

// Updates the entry of the sender of a datagram.
void Membership::update_sender(Millis now, std::uint32_t address_index, const Message& message) {
    Member& sender = table_[message.from];
    const bool is_later = message.incarnation > sender.incarnation;
    sender.address_index = address_index;
    sender.view = message.view;
    sender.present_count = message.present_count;
    sender.uptime_seconds = message.uptime_seconds;
    if (is_later) {
        const bool must_gossip = needs_gossip(sender, message.incarnation, message.state);
        set_state(now, message.from, message.incarnation, message.state, "received its datagram");
        if (must_gossip) gossip_.add(message.from);
    } else if (message.state > sender.state && message.state == MemberState::left) {
        set_state(now, message.from, message.incarnation, message.state, "announced by itself");
        gossip_.add(message.from);
    } else if (sender.state < message.state && message.state <= MemberState::alive) {
        set_state(now, message.from, message.incarnation, message.state, "received its datagram");
    } else if (sender.state >= MemberState::failed) {
        send_reported_state(now, message.from, address_index);
    }
    sender.last_datagram_at = now;
    last_datagram_at_ = now;
    if (sender.state == MemberState::suspect) clear_suspicion(now, message.from);
    if (table_.self().state == MemberState::joining) {
        const Incarnation incarnation = table_.self().incarnation;
        set_state(now, setup_.self, incarnation, MemberState::alive,
                  "received a datagram of member " + std::to_string(message.from));
    }
}

void Membership::dispatch(Millis now, const Message& message) {
    switch (message.kind) {
        case Message::Kind::ping:
            return send(now, message.from, make_message(Message::Kind::ack, message.sequence));
        case Message::Kind::ping_req:
            return on_probe_request(now, message);
        case Message::Kind::ack:
            return on_ack(now, message);
        case Message::Kind::indirect_ack:
            return on_probe_answered(now, message.sequence, message.subject, message.from);
        case Message::Kind::nack:
            return probes_.add_nack(message.sequence, message.subject);
        case Message::Kind::table_request:
            return on_table_request(now, message);
        case Message::Kind::table_page:
            return on_table_page(now, message);
        case Message::Kind::gossip:
            return;
    }
}

void Membership::on_probe_request(Millis now, const Message& message) {
    if (message.subject >= table_.size() || message.subject == setup_.self || relays_.full()) return;
    ++last_sequence_;
    relays_.start(now, message.subject, message.from, last_sequence_, message.sequence);
    send(now, message.subject, make_message(Message::Kind::ping, last_sequence_, message.subject));
}

void Membership::on_ack(Millis now, const Message& message) {
    const std::optional<Relay> relay = relays_.complete(message.sequence, message.from);
    if (!relay) return on_probe_answered(now, message.sequence, message.from, {});
    send(now, relay->requester,
         make_message(Message::Kind::indirect_ack, relay->requester_sequence, relay->target));
}

// ---- sent messages -------------------------------------------------------------------------------------

Message Membership::make_message(Message::Kind kind, std::uint32_t sequence, MemberId subject) {
    Message message;
    message.kind = kind;
    message.sequence = sequence;
    message.subject = subject;
    return message;
}

void Membership::fill_header(Millis now, Message& message) {
    Member& self = table_[setup_.self];
    self.uptime_seconds = static_cast<std::uint32_t>((now - started_at_) / kSecond);
    message.from = setup_.self;
    message.incarnation = self.incarnation;
    message.state = self.state;
    message.uptime_seconds = self.uptime_seconds;
    message.digest = table_.digest();
    message.view = view(now);
    message.present_count = table_.member_counts().present;
}

void Membership::piggyback(Message& message, MemberId to) {
    // A receiver that is not alive in this table gets the update on itself first, so that it can refute it.
    if (table_[to].state >= MemberState::suspect) message.updates.push_back(make_update(to));
    GossipQueue::Selection selection;
    selection.max_updates = Message::kMaxUpdates - std::min(Message::kMaxUpdates, message.updates.size());
    selection.receiver = to;
    selection.skip_receiver = !message.updates.empty() && message.updates.front().member_id == to;
    // An update that is sent to its own subject is not disseminated further, so it does not count as a
    // transmission, except in a fleet of two present members.
    selection.count_receiver = table_.member_counts().present <= 2;
    // An isolated member does not disseminate suspicions, because its own link is the likely cause.
    if (message.view == View::isolated) selection.only_member = setup_.self;
    for (const MemberId id : gossip_.take(selection)) message.updates.push_back(make_update(id));
}

void Membership::send(Millis now, MemberId to, Message message) {
    if (yielded_) return;
    fill_header(now, message);
    // The updates of a table page are its content.
    if (message.kind != Message::Kind::table_page) piggyback(message, to);
    std::string bytes = encode(message);
    ++counters_.sent;
    counters_.bytes_sent += bytes.size();
    datagrams_.push_back({to, table_[to].address_index, std::move(bytes)});
}

void Membership::send_gossip(Millis now) {
    for (const MemberId id : pick_present_members(kGossipFanout, setup_.self)) {
        send(now, id, make_message(Message::Kind::gossip));
    }
    const bool exceeds_one_datagram = gossip_.size() > Message::kMaxUpdates;
    const double interval_factor = exceeds_one_datagram ? 0.5 : 1;
    next_gossip_at_ = now + setup_.timing.gossip_interval * health_.multiplier() * interval_factor;
}

std::vector<MemberId> Membership::pick_present_members(std::uint32_t max, MemberId except,
                                                       std::optional<MemberId> preferred) {
    std::vector<MemberId> picked;
    const auto add = [&](MemberId id) {
        const bool already_picked = std::find(picked.begin(), picked.end(), id) != picked.end();
        if (table_.is_present_peer(id) && id != except && !already_picked) picked.push_back(id);
    };
    if (preferred) add(*preferred);
    // Tries random members first, which is cheap while most members are present, then all members in order.
    for (std::uint32_t tries = 0; tries < 4 * max && picked.size() < max; ++tries) {
        add(static_cast<MemberId>(random_.below(table_.size())));
    }
    const auto first = static_cast<MemberId>(random_.below(table_.size()));
    for (MemberId offset = 0; offset < table_.size() && picked.size() < max; ++offset) {
        add((first + offset) % table_.size());
    }
    return picked;
}

}  // namespace elmbay::cluster
