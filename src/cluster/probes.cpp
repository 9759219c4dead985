#include "cluster/probes.hpp"

#include <algorithm>
#include <cmath>

#include "cluster/local_health.hpp"

namespace elmbay::cluster {

namespace {

// Fraction of the probe period after which a regular probe ends, which is before the next one starts.
constexpr double kProbePeriodFraction = 0.9;

}  // namespace

void ProbeTracker::start(Millis now, MemberId target, ProbePurpose purpose, std::uint32_t sequence,
                         double timeout_multiplier) {
    const bool is_final = purpose == ProbePurpose::final_check;
    Probe probe;
    probe.sequence = sequence;
    probe.target = target;
    probe.purpose = purpose;
    probe.started_at = now;
    probe.retry_at = now + timing_.ping_retry_delay;
    probe.indirect_at = now + timing_.direct_timeout * timeout_multiplier;
    probe.ends_at =
        now + (is_final ? timing_.final_probe_timeout : timing_.probe_period * kProbePeriodFraction) *
                  timeout_multiplier;
    probes_.push_back(probe);
}

std::vector<ProbeStep> ProbeTracker::take_due(Millis now) {
    std::vector<ProbeStep> steps;
    for (Probe& probe : probes_) {
        const bool rejoin_check = probe.purpose == ProbePurpose::rejoin_check;
        if (probe.retry_at > 0 && probe.retry_at <= now) {
            probe.retry_at = rejoin_check ? 0 : now + 2 * timing_.ping_retry_delay;
            steps.push_back({ProbeStep::Kind::ping, probe.sequence, probe.target, probe.purpose});
        }
        if (!probe.indirect_started && !rejoin_check && probe.indirect_at <= now) {
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
        const bool will_ping_indirectly =
            !probe.indirect_started && probe.purpose != ProbePurpose::rejoin_check;
        if (will_ping_indirectly) next = std::min(next, probe.indirect_at);
        next = std::min(next, probe.ends_at);
    }
    return next;
}

void RelayTracker::start(Millis now, MemberId target, MemberId requester, std::uint32_t sequence,
                         std::uint32_t requester_sequence) {
    Relay relay;
    relay.sequence = sequence;
    relay.requester_sequence = requester_sequence;
    relay.target = target;
    relay.requester = requester;
    relay.nack_at = now + timing_.direct_timeout;
    // The longest time that the requester's probe can take, at its highest local health score.
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
        if (relay.nack_sent || relay.nack_at > now) continue;
        relay.nack_sent = true;
        due.push_back(relay);
    }
    return due;
}

void RelayTracker::drop_expired(Millis now) {
    std::erase_if(relays_, [now](const Relay& relay) { return relay.ends_at <= now; });
}

Millis RelayTracker::next_due() const {
    Millis next = INFINITY;
    for (const Relay& relay : relays_) next = std::min(next, relay.nack_sent ? relay.ends_at : relay.nack_at);
    return next;
}

}  // namespace elmbay::cluster
