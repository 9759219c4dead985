// Datagrams: what is read of them, what is sent, and to whom.
#include <algorithm>

#include "cluster/membership.hpp"

namespace elmbay::cluster {

namespace {

constexpr Millis kSecond = 1000;

}  // namespace

// ---- in ------------------------------------------------------------------------------------------------

void Membership::on_datagram(Millis now, std::optional<std::uint32_t> address_index, std::string_view bytes) {
    detect_stall(now);
    receive(now, address_index, bytes);
    due_ = std::max(now, next_due());
}

void Membership::receive(Millis now, std::optional<std::uint32_t> address_index, std::string_view bytes) {
    if (!address_index || *address_index >= table_.size()) {
        ++counters_.unknown_senders;
        return;
    }
    const std::optional<Message> message = read(bytes);
    if (!message || yielded_) return;
    if (message->from == setup_.self) return on_own_name(now, *message);
    if (message->incarnation < table_[message->from].incarnation) {
        // Delayed from an earlier incarnation, or from a process whose clock was set back: it learns its
        // state here, which it can refute.
        ++counters_.outdated;
        notify_accused(now, message->from, *address_index);
        return;
    }
    note_sender(now, *address_index, *message);
    for (const Update& update : message->updates) merge(now, update, message->from);
    correct_outdated(now, *message);
    if (message->digest != table_.digest()) sync_.note_difference(message->from);
    dispatch(now, *message);
}

std::optional<Message> Membership::read(std::string_view bytes) {
    std::optional<Message> message = decode(bytes);
    // A sender's own counter may be as far ahead again: it may have refuted one that was as far ahead as an
    // update's may be.
    const std::uint32_t highest = clock_.max_plausible_counter(due_) + IncarnationClock::kMaxClockAhead;
    if (!message || message->from >= table_.size() || message->incarnation.counter > highest ||
        message->state == MemberState::expected) {
        ++counters_.malformed;
        return std::nullopt;
    }
    ++counters_.received;
    return message;
}

// From another process under this member's id, or this member's own datagram, returned.
void Membership::on_own_name(Millis now, const Message& message) {
    if (message.incarnation.nonce == table_.self().incarnation.nonce) return;
    on_claim_about_self(now, {message.from, message.incarnation, message.state, message.uptime});
}

// What the arrival of a datagram shows of its sender.
void Membership::note_sender(Millis now, std::uint32_t address_index, const Message& message) {
    Member& sender = table_[message.from];
    const bool later = message.incarnation > sender.incarnation;
    sender.address_index = address_index;
    sender.view = message.view;
    sender.present_count = message.present_count;
    sender.uptime = message.uptime;
    if (later) {
        const bool is_news = needs_gossip(sender, message.incarnation, message.state);
        set(now, message.from, message.incarnation, message.state, "heard itself");
        if (is_news) gossip_.add(message.from);
    } else if (message.state > sender.state && message.state == MemberState::left) {
        set(now, message.from, message.incarnation, message.state, "said so itself");
        gossip_.add(message.from);
    } else if (sender.state < message.state && message.state <= MemberState::alive) {
        set(now, message.from, message.incarnation, message.state, "heard itself");
    } else if (sender.state >= MemberState::failed) {
        notify_accused(now, message.from, address_index);
    }
    sender.heard = now;
    heard_any_at_ = now;
    if (sender.state == MemberState::suspect) end_suspicion(now, message.from);
    if (table_.self().state == MemberState::joining) {
        const Incarnation incarnation = table_.self().incarnation;
        set(now, setup_.self, incarnation, MemberState::alive, "heard " + std::to_string(message.from));
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
    send(now, relay->asker, make_message(Message::Kind::indirect_ack, relay->asker_sequence, relay->target));
}

// ---- out -----------------------------------------------------------------------------------------------

Message Membership::make_message(Message::Kind kind, std::uint32_t sequence, MemberId subject) {
    Message message;
    message.kind = kind;
    message.sequence = sequence;
    message.subject = subject;
    return message;
}

void Membership::fill_header(Millis now, Message& message) {
    Member& self = table_[setup_.self];
    self.uptime = static_cast<std::uint32_t>((now - started_at_) / kSecond);
    message.from = setup_.self;
    message.incarnation = self.incarnation;
    message.state = self.state;
    message.uptime = self.uptime;
    message.digest = table_.digest();
    message.view = view(now);
    message.present_count = table_.headcount().present;
}

void Membership::piggyback(Message& message, MemberId to) {
    // A receiver that is suspected or worse learns that first, so that it can refute it.
    if (table_[to].state >= MemberState::suspect) message.updates.push_back(update_on(to));
    GossipQueue::Selection selection;
    selection.max_updates = Message::kMaxUpdates - std::min(Message::kMaxUpdates, message.updates.size());
    selection.receiver = to;
    selection.skip_receiver = !message.updates.empty() && message.updates.front().member_id == to;
    // Sending a member news of itself spreads the news no further, unless the two are alone.
    selection.count_receiver = table_.headcount().present <= 2;
    // A member that hears no other does not spread suspicions: it is the one that is cut off.
    if (message.view == View::alone) selection.only = setup_.self;
    for (const MemberId id : gossip_.take(selection)) message.updates.push_back(update_on(id));
}

void Membership::send(Millis now, MemberId to, Message message) {
    if (yielded_) return;
    fill_header(now, message);
    // A page has its updates already.
    if (message.kind != Message::Kind::table_page) piggyback(message, to);
    std::string bytes = encode(message);
    ++counters_.sent;
    counters_.bytes_sent += bytes.size();
    datagrams_.push_back({to, table_[to].address_index, std::move(bytes)});
}

void Membership::send_gossip(Millis now) {
    for (const MemberId id : pick_present(kGossipFanout, setup_.self)) {
        send(now, id, make_message(Message::Kind::gossip));
    }
    const bool more_than_fits = gossip_.size() > Message::kMaxUpdates;
    const double pace = more_than_fits ? 0.5 : 1;
    next_gossip_at_ = now + setup_.timing.gossip_interval * health_.multiplier() * pace;
}

std::vector<MemberId> Membership::pick_present(std::uint32_t max, MemberId except,
                                               std::optional<MemberId> preferred) {
    std::vector<MemberId> picked;
    const auto add = [&](MemberId id) {
        const bool known = std::find(picked.begin(), picked.end(), id) != picked.end();
        if (table_.is_present_peer(id) && id != except && !known) picked.push_back(id);
    };
    if (preferred) add(*preferred);
    // Random picks first, which is cheap while most are present; then the first present ones in order.
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
