// Membership: probes, suspicions and failures.
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
    // One member that is not present is probed as well, to detect restarted members and the end of
    // partitions.
    if (table_.member_counts().failed > 0 || table_.member_counts().ended > 0) {
        const auto absent = [this](MemberId id) {
            return id != setup_.self && !is_present(table_[id].state);
        };
        if (const auto target = absent_round_.next(random_, table_.size(), absent)) {
            start_probe(now, *target, ProbePurpose::rejoin_check);
        }
    }
    const bool quick = failure_burst_.take_quick_probe(view(now) != View::isolated);
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
    const std::vector<MemberId> helpers = pick_present_members(max, step.target, last_helpers_[step.target]);
    probes_.set_helpers(step.sequence, static_cast<std::uint32_t>(helpers.size()));
    for (const MemberId helper : helpers) {
        send(now, helper, make_message(Message::Kind::ping_req, step.sequence, step.target));
    }
}

// For each due relay, repeats the ping and sends a nack. The nack shows the requester that its link to this
// member works.
void Membership::run_relays(Millis now) {
    for (const Relay& relay : relays_.take_due(now)) {
        send(now, relay.target, make_message(Message::Kind::ping, relay.sequence, relay.target));
        send(now, relay.requester, make_message(Message::Kind::nack, relay.requester_sequence, relay.target));
    }
    relays_.drop_expired(now);
}

void Membership::on_probe_answered(Millis now, std::uint32_t sequence, MemberId target,
                                   std::optional<MemberId> helper) {
    if (!probes_.complete(sequence, target)) return;
    table_[target].indirect_only = helper.has_value();
    if (helper) last_helpers_[target] = helper;
    failure_burst_.probe_succeeded();
    health_.improve();
    if (table_[target].state == MemberState::suspect) clear_suspicion(now, target);
}

void Membership::on_probe_failed(Millis now, const Probe& probe) {
    // Missing nacks of helpers indicate that this process is slow (Lifeguard). They count only if no other
    // datagram has arrived either; otherwise a partition would lengthen the timeouts of all members that have
    // to detect it.
    const bool nacks_missing = probe.helpers > 0 && probe.nacks < probe.helpers;
    if (nacks_missing && last_datagram_at_ < probe.started_at) health_.worsen();
    if (probe.purpose == ProbePurpose::rejoin_check) return;
    failure_burst_.probe_failed();
    const Member& member = table_[probe.target];
    if (!is_present(member.state)) return;
    // A recent datagram of the member shows that it runs and that only its answer was lost.
    if (member.last_datagram_at >= 0 && now - member.last_datagram_at < kRecentDatagramPeriod) return;
    // A member that receives no datagrams suspects no other member, because its own link is the likely cause.
    if (view(now) == View::isolated || view(now) == View::unknown) return;
    if (probe.purpose == ProbePurpose::regular) return suspect(now, probe.target, setup_.self);
    if (!suspicions_.in_final_probe(probe.target)) return;  // refuted while the probe was pending
    const Incarnation incarnation = member.incarnation;
    set_state(now, probe.target, incarnation, MemberState::failed, "no answer to direct and indirect pings");
    gossip_.add(probe.target);
}

// Sets the members at the address to terminated. A process that has started there in the meantime sends
// datagrams with a later incarnation, which overrides this state.
void Membership::on_port_unreachable(Millis now, std::uint32_t address_index) {
    detect_stall(now);
    for (MemberId id = 0; id < table_.size(); ++id) {
        const Member& member = table_[id];
        if (id == setup_.self || member.address_index != address_index || has_ended(member.state)) continue;
        const Incarnation incarnation{std::max(member.incarnation.counter, 1U), member.incarnation.nonce};
        set_state(now, id, incarnation, MemberState::terminated,
                  "its host reported the port as unreachable (ICMP)");
        gossip_.add(id);
    }
}

// ---- suspicions ----------------------------------------------------------------------------------------

void Membership::suspect(Millis now, MemberId target, MemberId reporter) {
    if (table_[target].state < MemberState::suspect) {
        ++counters_.suspicions;
        const Incarnation incarnation = table_[target].incarnation;
        set_state(now, target, incarnation, MemberState::suspect,
                  "suspected by member " + std::to_string(reporter));
        suspicions_.start(now, target);
    }
    if (table_[target].state != MemberState::suspect) return;
    if (!suspicions_.add_reporter(target, reporter)) return;
    gossip_.add(target);
    if (reporter == setup_.self) send_reported_state(now, target, table_[target].address_index);
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

// Restarts suspicions whose final probe ended without a result, which happens while this member is isolated.
void Membership::restart_unfinished_suspicions(Millis now) {
    for (const MemberId id : suspicions_.suspects()) {
        if (suspicions_.in_final_probe(id) && !probes_.has_final_probe(id)) suspicions_.restart(now, id);
    }
}

// Clears the suspicion of a member that has answered a probe or sent a datagram, regardless of the members
// that reported it.
void Membership::clear_suspicion(Millis now, MemberId target) {
    const Incarnation incarnation = table_[target].incarnation;
    set_state(now, target, incarnation, MemberState::alive, "answers");
}

}  // namespace elmbay::cluster
