// Probes, and what follows from those that are not answered: suspicion and failure.
#include <algorithm>

#include "cluster/membership.hpp"

namespace elmbay::cluster {

// ---- probes --------------------------------------------------------------------------------------------

void Membership::start_probe(Millis now, MemberId target, ProbePurpose purpose) {
    if (probes_.full()) return;
    ++last_sequence_;
    probes_.start(now, target, purpose, last_sequence_, health_.multiplier());
    send(now, target, make_message(Message::Kind::ping, last_sequence_, target));
}

void Membership::probe_next(Millis now) {
    const auto present = [this](MemberId id) { return table_.is_present_peer(id); };
    if (const auto target = present_round_.next(random_, table_.size(), present)) {
        start_probe(now, *target, ProbePurpose::regular);
    }
    // A member that is not present may be back, or its side of a partition: one of them is probed besides.
    if (table_.headcount().silent > 0 || table_.headcount().ended > 0) {
        const auto absent = [this](MemberId id) {
            return id != setup_.self && !is_present(table_[id].state);
        };
        if (const auto target = absent_round_.next(random_, table_.size(), absent)) {
            start_probe(now, *target, ProbePurpose::courtesy);
        }
    }
    const bool quick = burst_.take_quick(view(now) != View::alone);
    const Millis period = quick ? setup_.timing.burst_period : setup_.timing.probe_period;
    next_probe_at_ = now + period * health_.multiplier() * (0.9 + 0.2 * random_.uniform());
}

void Membership::run_probes(Millis now) {
    for (const ProbeStep& step : probes_.take_due(now)) {
        if (step.kind == ProbeStep::Kind::indirect_ping) probe_indirectly(now, step);
        send(now, step.target, make_message(Message::Kind::ping, step.sequence, step.target));
    }
    for (const Probe& probe : probes_.take_expired(now)) on_probe_failed(now, probe);
}

void Membership::probe_indirectly(Millis now, const ProbeStep& step) {
    const bool final_check = step.purpose == ProbePurpose::final_check;
    const std::uint32_t max = final_check ? kFinalIndirectProbes : kIndirectProbes;
    const std::vector<MemberId> helpers = pick_present(max, step.target, last_helper_[step.target]);
    probes_.set_helpers(step.sequence, static_cast<std::uint32_t>(helpers.size()));
    for (const MemberId helper : helpers) {
        send(now, helper, make_message(Message::Kind::ping_req, step.sequence, step.target));
    }
}

// For others: pings the target once more, and sends a nack, by which the asker learns that it is heard
// itself.
void Membership::run_relays(Millis now) {
    for (const Relay& relay : relays_.take_due(now)) {
        send(now, relay.target, make_message(Message::Kind::ping, relay.sequence, relay.target));
        send(now, relay.asker, make_message(Message::Kind::nack, relay.asker_sequence, relay.target));
    }
    relays_.drop_expired(now);
}

void Membership::on_probe_answered(Millis now, std::uint32_t sequence, MemberId target,
                                   std::optional<MemberId> helper) {
    if (!probes_.complete(sequence, target)) return;
    table_[target].indirect_only = helper.has_value();
    if (helper) last_helper_[target] = helper;
    burst_.probe_succeeded();
    health_.improve();
    if (table_[target].state == MemberState::suspect) end_suspicion(now, target);
}

void Membership::on_probe_failed(Millis now, const Probe& probe) {
    // Helpers that send not even a nack are a sign that this process is slow (Lifeguard), but only if no
    // other datagram has come either: in a partition they would slow down all members that have to detect it.
    const bool helpers_silent = probe.helpers > 0 && probe.nacks < probe.helpers;
    if (helpers_silent && heard_any_at_ < probe.started_at) health_.worsen();
    if (probe.purpose == ProbePurpose::courtesy) return;
    burst_.probe_failed();
    const Member& member = table_[probe.target];
    if (!is_present(member.state)) return;
    // Another datagram of the member has come meanwhile: it runs, though its answer was lost.
    if (member.heard >= 0 && now - member.heard < kRecentlyHeard) return;
    // A member that hears no other suspects nobody: it is the one that is cut off.
    if (view(now) == View::alone || view(now) == View::unknown) return;
    if (probe.purpose == ProbePurpose::regular) return suspect(now, probe.target, setup_.self);
    if (!suspicions_.in_final_probe(probe.target)) return;  // it was refuted while the probe ran
    const Incarnation incarnation = member.incarnation;
    set(now, probe.target, incarnation, MemberState::failed, "no answer, by itself or by way of others");
    gossip_.add(probe.target);
}

// The kernel reports that the process is not there. If it has started since, its own datagram is on its way
// and outranks this.
void Membership::on_port_unreachable(Millis now, std::uint32_t address_index) {
    detect_stall(now);
    for (MemberId id = 0; id < table_.size(); ++id) {
        const Member& member = table_[id];
        if (id == setup_.self || member.address_index != address_index || has_ended(member.state)) continue;
        const Incarnation incarnation{std::max(member.incarnation.counter, 1U), member.incarnation.nonce};
        set(now, id, incarnation, MemberState::gone, "its machine says that nobody listens there");
        gossip_.add(id);
    }
}

// ---- suspicions ----------------------------------------------------------------------------------------

void Membership::suspect(Millis now, MemberId target, MemberId accuser) {
    if (table_[target].state < MemberState::suspect) {
        ++counters_.suspicions;
        const Incarnation incarnation = table_[target].incarnation;
        set(now, target, incarnation, MemberState::suspect, "suspected by " + std::to_string(accuser));
        suspicions_.start(now, target);
    }
    if (table_[target].state != MemberState::suspect) return;
    if (!suspicions_.add_accuser(target, accuser)) return;
    gossip_.add(target);
    if (accuser == setup_.self) notify_accused(now, target, table_[target].address_index);
}

void Membership::start_final_probes(Millis now) {
    const std::vector<MemberId> suspects = suspicions_.suspects();
    for (const MemberId id : suspects) {
        if (suspicions_.in_final_probe(id) || suspicions_.deadline(id) > now) continue;
        if (probes_.full()) return;
        suspicions_.begin_final_probe(id);
        start_probe(now, id, ProbePurpose::final_check);
    }
    restart_unfinished_suspicions(now);
}

// A final probe that ended without a verdict, as no other member was heard, is made again.
void Membership::restart_unfinished_suspicions(Millis now) {
    for (const MemberId id : suspicions_.suspects()) {
        if (suspicions_.in_final_probe(id) && !probes_.has_final_probe(id)) suspicions_.restart(now, id);
    }
}

// Whichever member suspected it: its answer has come here.
void Membership::end_suspicion(Millis now, MemberId target) {
    const Incarnation incarnation = table_[target].incarnation;
    set(now, target, incarnation, MemberState::alive, "answers");
}

}  // namespace elmbay::cluster
