#include "cluster/probes.hpp"

#include <algorithm>
#include <cmath>

#include "cluster/local_health.hpp"

namespace elmbay::cluster {

namespace {

// Of the probe period: a regular probe ends before the next begins.
constexpr double kProbePart = 0.9;

}  // namespace

void ProbeTracker::start(Millis now, MemberId target, ProbePurpose purpose, std::uint32_t sequence,
                         double stretch) {
    const bool is_final = purpose == ProbePurpose::final_check;
    Probe probe;
    probe.sequence = sequence;
    probe.target = target;
    probe.purpose = purpose;
    probe.started_at = now;
    probe.retry_at = now + timing_.ping_retry;
    probe.indirect_at = now + timing_.direct_timeout * stretch;
    probe.ends_at = now + (is_final ? timing_.final_probe : timing_.probe_period * kProbePart) * stretch;
    probes_.push_back(probe);
}

std::vector<ProbeStep> ProbeTracker::take_due(Millis now) {
    std::vector<ProbeStep> steps;
    for (Probe& probe : probes_) {
        const bool courtesy = probe.purpose == ProbePurpose::courtesy;
        if (probe.retry_at > 0 && probe.retry_at <= now) {
            probe.retry_at = courtesy ? 0 : now + 2 * timing_.ping_retry;
            steps.push_back({ProbeStep::Kind::ping, probe.sequence, probe.target, probe.purpose});
        }
        if (!probe.indirect_started && !courtesy && probe.indirect_at <= now) {
            probe.indirect_started = true;
            steps.push_back({ProbeStep::Kind::indirect_ping, probe.sequence, probe.target, probe.purpose});
        }
    }
    return steps;
}

std::vector<Probe> ProbeTracker::take_expired(Millis now) {
    std::vector<Probe> expired;
    std::erase_if(probes_, [&](const Probe& probe) {
        if (probe.ends_at > now) return false;
        expired.push_back(probe);
        return true;
    });
    return expired;
}

bool ProbeTracker::complete(std::uint32_t sequence, MemberId target) {
    const auto found = std::find_if(probes_.begin(), probes_.end(), [&](const Probe& probe) {
        return probe.sequence == sequence && probe.target == target;
    });
    if (found == probes_.end()) return false;
    probes_.erase(found);
    return true;
}

void ProbeTracker::set_helpers(std::uint32_t sequence, std::uint32_t helpers) {
    for (Probe& probe : probes_) {
        if (probe.sequence == sequence) probe.helpers = helpers;
    }
}

void ProbeTracker::add_nack(std::uint32_t sequence, MemberId target) {
    for (Probe& probe : probes_) {
        if (probe.sequence == sequence && probe.target == target) ++probe.nacks;
    }
}

bool ProbeTracker::has_final_probe(MemberId target) const {
    return std::any_of(probes_.begin(), probes_.end(), [&](const Probe& probe) {
        return probe.purpose == ProbePurpose::final_check && probe.target == target;
    });
}

Millis ProbeTracker::next_due() const {
    Millis next = INFINITY;
    for (const Probe& probe : probes_) {
        if (probe.retry_at > 0) next = std::min(next, probe.retry_at);
        const bool will_ask = !probe.indirect_started && probe.purpose != ProbePurpose::courtesy;
        if (will_ask) next = std::min(next, probe.indirect_at);
        next = std::min(next, probe.ends_at);
    }
    return next;
}

void RelayTracker::start(Millis now, MemberId target, MemberId asker, std::uint32_t sequence,
                         std::uint32_t asker_sequence) {
    Relay relay;
    relay.sequence = sequence;
    relay.asker_sequence = asker_sequence;
    relay.target = target;
    relay.asker = asker;
    relay.nack_at = now + timing_.direct_timeout;
    // As long as the asker's probe may run, however slow it believes itself to be.
    relay.ends_at = now + timing_.probe_period * (1 + LocalHealth::kMaxScore);
    relays_.push_back(relay);
}

std::optional<Relay> RelayTracker::complete(std::uint32_t sequence, MemberId target) {
    const auto found = std::find_if(relays_.begin(), relays_.end(), [&](const Relay& relay) {
        return relay.sequence == sequence && relay.target == target;
    });
    if (found == relays_.end()) return std::nullopt;
    const Relay relay = *found;
    relays_.erase(found);
    return relay;
}

std::vector<Relay> RelayTracker::take_due(Millis now) {
    std::vector<Relay> due;
    for (Relay& relay : relays_) {
        if (relay.nacked || relay.nack_at > now) continue;
        relay.nacked = true;
        due.push_back(relay);
    }
    return due;
}

void RelayTracker::drop_expired(Millis now) {
    std::erase_if(relays_, [now](const Relay& relay) { return relay.ends_at <= now; });
}

Millis RelayTracker::next_due() const {
    Millis next = INFINITY;
    for (const Relay& relay : relays_) next = std::min(next, relay.nacked ? relay.ends_at : relay.nack_at);
    return next;
}

}  // namespace elmbay::cluster
