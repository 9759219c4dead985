// The state machine's construction, its queries, time, and table transfers.
#include "cluster/membership.hpp"

#include <algorithm>
#include <cmath>

namespace elmbay::cluster {

namespace {

constexpr Millis kLongAgo = -1e9;

Membership::Setup with_self(Membership::Setup setup) {
    setup.member_count = std::max(setup.member_count, setup.self + 1);
    return setup;
}

}  // namespace

Membership::Membership(const Setup& setup, Millis now, Millis unix_time)
    : setup_(with_self(setup)),
      random_(setup.seed),
      started_at_(now),
      clock_(now, unix_time),
      table_(setup.self, setup_.member_count, now),
      suspicions_(setup_.member_count, setup.timing),
      gossip_(setup_.member_count),
      probes_(setup.timing),
      relays_(setup.timing),
      sync_(setup.timing, now),
      siblings_(setup.configured_siblings),
      last_helper_(setup_.member_count),
      notified_at_(setup_.member_count, kLongAgo),
      refuted_unnamed_at_(kLongAgo) {
    const auto nonce = static_cast<std::uint16_t>(1 + random_.below(UINT16_MAX));
    Member& self = table_[setup_.self];
    self.incarnation = {clock_.first_counter(), nonce};
    self.state = setup_.member_count > 1 ? MemberState::joining : MemberState::alive;
    // Probes of members that started together spread over a period.
    next_probe_at_ = now + setup_.timing.probe_period * random_.uniform() * 0.5;
    next_gossip_at_ = now + setup_.timing.gossip_interval * random_.uniform();
    sync_.postpone(now + setup_.timing.first_sync * (0.5 + random_.uniform()));
    due_ = next_due();
}

// ---- queries -------------------------------------------------------------------------------------------

View Membership::view(Millis now) const {
    const Headcount& count = table_.headcount();
    if (setup_.member_count == 1 || count.ended + 1 >= setup_.member_count) return View::whole;
    const Timing& timing = setup_.timing;
    if (heard_any_at_ < 0) return now - started_at_ < timing.discovery ? View::unknown : View::alone;
    if (now - heard_any_at_ > timing.isolated_after) return View::alone;
    return count.silent > 0 ? View::part : View::whole;
}

Membership::Counters Membership::counters() const {
    Counters counters = counters_;
    counters.failures = table_.failures();
    return counters;
}

std::uint64_t Membership::fingerprint(Millis now) const {
    std::uint64_t sum = 0xcbf29ce484222325ULL;
    const auto add = [&sum](std::uint64_t value) {
        sum = (sum ^ value) * 0x100000001b3ULL;
        sum ^= sum >> 29;
    };
    const auto add_time = [&add, now](Millis at) {
        add(static_cast<std::uint64_t>(std::llround(std::clamp(at - now, -1e7, 1e7))));
    };
    for (MemberId id = 0; id < table_.size(); ++id) {
        const Member& member = table_[id];
        add((std::uint64_t{member.incarnation.counter} << 16) | member.incarnation.nonce);
        add(static_cast<std::uint64_t>(member.state) * 256 + suspicions_.accusers(id) * 8ULL +
            (suspicions_.in_final_probe(id) ? 2 : 0));
        add(gossip_.transmissions(id));
        add_time(member.heard);
        add_time(suspicions_.started_at(id));
        add_time(table_.rejoined_at(id));
        add_time(notified_at_[id]);
    }
    for (const Probe& probe : probes_.running()) {
        const std::uint64_t flags = (probe.purpose == ProbePurpose::final_check ? 4U : 0U) +
                                    (probe.purpose == ProbePurpose::courtesy ? 2U : 0U) +
                                    (probe.indirect_started ? 1U : 0U);
        add((std::uint64_t{probe.target} << 8) | flags);
        add_time(probe.ends_at);
        add_time(probe.retry_at);
    }
    for (const Relay& relay : relays_.running()) {
        add((std::uint64_t{relay.target} << 32) | relay.asker);
        add_time(relay.ends_at);
    }
    add_time(next_probe_at_);
    add_time(heard_any_at_);
    add_time(due_);
    add(health_.score() * 4ULL + (sync_.running() ? 2 : 0) + (yielded_ ? 1 : 0));
    add(gossip_.size());
    return sum;
}

// ---- time ----------------------------------------------------------------------------------------------

Millis Membership::next_due() const {
    if (idle()) return INFINITY;
    Millis at = next_probe_at_;
    if (!gossip_.empty()) at = std::min(at, next_gossip_at_);
    at = std::min(at, probes_.next_due());
    at = std::min(at, relays_.next_due());
    // With every probe in use the end of one comes first.
    if (!probes_.full()) {
        for (const MemberId id : suspicions_.suspects()) {
            if (!suspicions_.in_final_probe(id)) at = std::min(at, suspicions_.deadline(id));
        }
    }
    return std::min(at, sync_.next_due());
}

// If a call comes long after it was due, this process did not run in between, and datagrams that are missing
// since then show nothing of others. Every call that takes a time begins here and ends with a new due_.
void Membership::detect_stall(Millis now) {
    const Millis late = now - due_;
    if (!(late > setup_.timing.stall_threshold)) return;
    due_ = now;
    ++counters_.stalls;
    health_.worsen();
    probes_.clear();
    relays_.clear();
    if (heard_any_at_ >= 0) heard_any_at_ = std::min(now, heard_any_at_ + late);
    suspicions_.postpone_all(now, late);
    next_probe_at_ = std::max(next_probe_at_, now + setup_.timing.direct_timeout);
}

void Membership::on_timer(Millis now) {
    if (idle()) return;
    detect_stall(now);
    run_probes(now);
    run_relays(now);
    start_final_probes(now);
    if (next_probe_at_ <= now) probe_next(now);
    if (!gossip_.empty() && next_gossip_at_ <= now) send_gossip(now);
    sync_tables(now);
    due_ = std::max(now, next_due());
}

void Membership::leave(Millis now) {
    if (idle()) return;
    const Incarnation incarnation = table_.self().incarnation;
    set(now, setup_.self, incarnation, MemberState::left, "told to end");
    gossip_.add(setup_.self);
    for (const MemberId id : pick_present(kLeaveFanout, setup_.self)) {
        send(now, id, make_message(Message::Kind::gossip));
    }
    leaving_ = true;
}

// ---- tables --------------------------------------------------------------------------------------------

// A member that has just started requests a table at once; others wait until they have no news to send.
bool Membership::may_sync(Millis now) const {
    const bool settled = gossip_.empty() && now - table_changed_at_ > setup_.timing.gossip_interval * 2;
    return in_startup(now) || settled;
}

void Membership::sync_tables(Millis now) {
    if (const auto silent = sync_.take_timeout(now)) {  // the member that did not answer
        if (const auto other = pick_present(1, *silent); !other.empty()) sync_.retry_with(now, other.front());
    }
    if (sync_.due(now)) {
        if (may_sync(now)) {
            ++last_sequence_;
            ++counters_.table_requests;
            sync_.start(now, last_sequence_, setup_.timing.page_timeout * health_.multiplier());
        } else {
            sync_.postpone(now + setup_.timing.gossip_interval * 2);
        }
    }
    if (const auto request = sync_.take_request(now)) {
        send(now, request->to, make_message(Message::Kind::table_request, request->sequence, request->first));
    }
}

void Membership::on_table_page(Millis now, const Message& message) {
    if (!sync_.expects(message.from, message.sequence)) return;
    const Timing& timing = setup_.timing;
    if (!sync_.page_arrived(now, message.subject, timing.page_timeout * health_.multiplier())) return;
    const Millis pause = in_startup(now) ? timing.first_sync : timing.sync_interval;
    sync_.finish(now + pause * (0.5 + random_.uniform()));
    if (message.digest == table_.digest()) sync_.note_equal();
}

// In order of ids, and only those that are not present: of the rest nothing needs to be known.
void Membership::on_table_request(Millis now, const Message& message) {
    Message page = make_message(Message::Kind::table_page, message.sequence);
    for (MemberId id = message.subject; id < table_.size(); ++id) {
        if (is_present(table_[id].state)) continue;
        if (page.updates.size() == Message::kMaxUpdates) {
            page.subject = id;
            break;
        }
        page.updates.push_back(update_on(id));
    }
    send(now, message.from, std::move(page));
}

}  // namespace elmbay::cluster
