// Membership: construction, queries, timers and table transfers.
#include "cluster/membership.hpp"

#include <algorithm>
#include <cmath>

namespace elmbay::cluster {

namespace {

constexpr Millis kLongAgo = -1e9;

Membership::Setup with_count_including_self(Membership::Setup setup) {
    setup.member_count = std::max(setup.member_count, setup.self + 1);
    return setup;
}

}  // namespace

Membership::Membership(const Setup& setup, Millis now, Millis unix_time)
    : setup_(with_count_including_self(setup)),
      random_(setup.seed),
      started_at_(now),
      clock_(now, unix_time),
      table_(setup.self, setup_.member_count, now),
      suspicions_(setup_.member_count, setup.timing),
      gossip_(setup_.member_count),
      probes_(setup.timing),
      relays_(setup.timing),
      table_sync_(setup.timing, now),
      siblings_(setup.configured_siblings),
      last_helpers_(setup_.member_count),
      reported_state_sent_at_(setup_.member_count, kLongAgo),
      refuted_without_incarnation_at_(kLongAgo) {
    const auto nonce = static_cast<std::uint16_t>(1 + random_.below(UINT16_MAX));
    Member& self = table_[setup_.self];
    self.incarnation = {clock_.first_counter(), nonce};
    self.state = setup_.member_count > 1 ? MemberState::joining : MemberState::alive;
    // The random offset spreads the probes of members that started together.
    next_probe_at_ = now + setup_.timing.probe_period * random_.uniform() * 0.5;
    next_gossip_at_ = now + setup_.timing.gossip_interval * random_.uniform();
    table_sync_.postpone(now + setup_.timing.first_sync_delay * (0.5 + random_.uniform()));
    due_at_ = next_due();
}

// ---- queries -------------------------------------------------------------------------------------------

View Membership::view(Millis now) const {
    const MemberCounts& counts = table_.member_counts();
    if (setup_.member_count == 1 || counts.ended + 1 >= setup_.member_count) return View::complete;
    const Timing& timing = setup_.timing;
    if (last_datagram_at_ < 0)
        return now - started_at_ < timing.discovery_timeout ? View::unknown : View::isolated;
    if (now - last_datagram_at_ > timing.isolated_after) return View::isolated;
    return counts.failed > 0 ? View::partial : View::complete;
}

Membership::Counters Membership::counters() const {
    Counters counters = counters_;
    counters.failures = table_.failures();
    return counters;
}

std::uint64_t Membership::fingerprint(Millis now) const {
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    const auto add = [&hash](std::uint64_t value) {
        hash = (hash ^ value) * 0x100000001b3ULL;
        hash ^= hash >> 29;
    };
    const auto add_time = [&add, now](Millis at) {
        add(static_cast<std::uint64_t>(std::llround(std::clamp(at - now, -1e7, 1e7))));
    };
    for (MemberId id = 0; id < table_.size(); ++id) {
        const Member& member = table_[id];
        add((std::uint64_t{member.incarnation.counter} << 16) | member.incarnation.nonce);
        add(static_cast<std::uint64_t>(member.state) * 256 + suspicions_.reporters(id) * 8ULL +
            (suspicions_.in_final_probe(id) ? 2 : 0));
        add(gossip_.transmissions(id));
        add_time(member.last_datagram_at);
        add_time(suspicions_.started_at(id));
        add_time(table_.rejoined_at(id));
        add_time(reported_state_sent_at_[id]);
    }
    for (const Probe& probe : probes_.running()) {
        const std::uint64_t flags = (probe.purpose == ProbePurpose::final_check ? 4U : 0U) +
                                    (probe.purpose == ProbePurpose::rejoin_check ? 2U : 0U) +
                                    (probe.indirect_started ? 1U : 0U);
        add((std::uint64_t{probe.target} << 8) | flags);
        add_time(probe.ends_at);
        add_time(probe.retry_at);
    }
    for (const Relay& relay : relays_.running()) {
        add((std::uint64_t{relay.target} << 32) | relay.requester);
        add_time(relay.ends_at);
    }
    add_time(next_probe_at_);
    add_time(last_datagram_at_);
    add_time(due_at_);
    add(health_.score() * 4ULL + (table_sync_.running() ? 2 : 0) + (yielded_ ? 1 : 0));
    add(gossip_.size());
    return hash;
}

// ---- time ----------------------------------------------------------------------------------------------

Millis Membership::next_due() const {
    if (is_idle()) return INFINITY;
    Millis next = next_probe_at_;
    if (!gossip_.empty()) next = std::min(next, next_gossip_at_);
    next = std::min(next, probes_.next_due());
    next = std::min(next, relays_.next_due());
    // While probes_ is full, no final probe can start before a pending probe ends.
    if (!probes_.full()) {
        for (const MemberId id : suspicions_.suspects()) {
            if (!suspicions_.in_final_probe(id)) next = std::min(next, suspicions_.deadline(id));
        }
    }
    return std::min(next, table_sync_.next_due());
}

// Detects that this process has stalled, by a call that comes long after its due time. Datagrams that did not
// arrive during the stall are no evidence against other members. Each public function with a `now` that
// changes the state calls this first and sets due_at_ last.
void Membership::detect_stall(Millis now) {
    const Millis lateness = now - due_at_;
    if (!(lateness > setup_.timing.stall_threshold)) return;
    due_at_ = now;
    ++counters_.stalls;
    health_.worsen();
    probes_.clear();
    relays_.clear();
    if (last_datagram_at_ >= 0) last_datagram_at_ = std::min(now, last_datagram_at_ + lateness);
    suspicions_.postpone_all(now, lateness);
    next_probe_at_ = std::max(next_probe_at_, now + setup_.timing.direct_timeout);
}

void Membership::on_timer(Millis now) {
    if (is_idle()) return;
    detect_stall(now);
    run_probes(now);
    run_relays(now);
    start_final_probes(now);
    if (next_probe_at_ <= now) probe_next(now);
    if (!gossip_.empty() && next_gossip_at_ <= now) send_gossip(now);
    sync_tables(now);
    due_at_ = std::max(now, next_due());
}

void Membership::leave(Millis now) {
    if (is_idle()) return;
    const Incarnation incarnation = table_.self().incarnation;
    set_state(now, setup_.self, incarnation, MemberState::left, "shutdown requested");
    gossip_.add(setup_.self);
    for (const MemberId id : pick_present_members(kLeaveFanout, setup_.self)) {
        send(now, id, make_message(Message::Kind::gossip));
    }
    leaving_ = true;
}

// ---- tables --------------------------------------------------------------------------------------------

// A member that has just started requests a table at once. Others wait until they have no updates to send.
bool Membership::may_sync(Millis now) const {
    const bool settled = gossip_.empty() && now - table_changed_at_ > setup_.timing.gossip_interval * 2;
    return is_in_startup(now) || settled;
}

void Membership::sync_tables(Millis now) {
    if (const auto unresponsive = table_sync_.take_timeout(now)) {  // a member that did not answer in time
        if (const auto other = pick_present_members(1, *unresponsive); !other.empty())
            table_sync_.retry_with(now, other.front());
    }
    if (table_sync_.is_due(now)) {
        if (may_sync(now)) {
            ++last_sequence_;
            ++counters_.table_requests;
            table_sync_.start(now, last_sequence_, setup_.timing.page_timeout * health_.multiplier());
        } else {
            table_sync_.postpone(now + setup_.timing.gossip_interval * 2);
        }
    }
    if (const auto request = table_sync_.take_request(now)) {
        send(now, request->to, make_message(Message::Kind::table_request, request->sequence, request->first));
    }
}

void Membership::on_table_page(Millis now, const Message& message) {
    if (!table_sync_.expects(message.from, message.sequence)) return;
    const Timing& timing = setup_.timing;
    if (!table_sync_.on_page(now, message.subject, timing.page_timeout * health_.multiplier())) return;
    const Millis pause = is_in_startup(now) ? timing.first_sync_delay : timing.sync_interval;
    table_sync_.finish(now + pause * (0.5 + random_.uniform()));
    if (message.digest == table_.digest()) table_sync_.record_equal();
}

// Sends a page of the members that are not present, in order of ids. The state of present members is omitted,
// as members count as present by default.
void Membership::on_table_request(Millis now, const Message& message) {
    Message page = make_message(Message::Kind::table_page, message.sequence);
    for (MemberId id = message.subject; id < table_.size(); ++id) {
        if (is_present(table_[id].state)) continue;
        if (page.updates.size() == Message::kMaxUpdates) {
            page.subject = id;
            break;
        }
        page.updates.push_back(make_update(id));
    }
    send(now, message.from, std::move(page));
}

}  // namespace elmbay::cluster
