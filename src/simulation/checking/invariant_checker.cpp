#include "simulation/checking/invariant_checker.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace elmbay::simulation {

namespace {

// Slack for chance on the rule about cold servers, as the operators have it: where the rule allows N requests
// of mean work, N + 3 x root of N + 3 do not break it.
double with_chance(double allowed_work, double mean_work) {
    const double n = allowed_work / mean_work;
    return (n + 3 * std::sqrt(n) + 3) * mean_work;
}

}  // namespace

const char* name_of(Invariant rule) {
    switch (rule) {
        case Invariant::one_final_outcome:
            return "one final outcome";
        case Invariant::no_duplicate_effect:
            return "nothing takes effect twice";
        case Invariant::drain_respected:
            return "drains kept";
        case Invariant::cold_server_not_overloaded:
            return "no cold server pushed over";
    }
    return "";
}

InvariantChecker::InvariantChecker(const Scenario& scenario, const ClientModel& clients, Millis slack)
    : scenario_(scenario), clients_(clients), slack_(slack), pushes_(scenario.fleet.servers) {}

const InvariantChecker::Attempt* InvariantChecker::Record::first_possible_run() const {
    for (const Attempt& a : attempts)
        if (a.may_have_run) return &a;
    return nullptr;
}

const ClassSpec& InvariantChecker::class_of(ClientRequestId id) const {
    return scenario_.classes[clients_.ask(operation_of(id)).class_index];
}

void InvariantChecker::broken(Invariant rule, Millis now, ClientRequestId id, const std::string& what) {
    Finding& f = findings_[static_cast<std::size_t>(rule)];
    ++f.violations;
    if (f.examples.size() >= kMaxExamples) return;
    char text[64];
    std::snprintf(text, sizeof text, "%.3fs request %llu try %llu: ", now / 1000,
                  static_cast<unsigned long long>(operation_of(id)),
                  static_cast<unsigned long long>(id % kMaxRequestsPerOperation));
    f.examples.push_back(text + what);
}

bool InvariantChecker::all_hold() const {
    return std::all_of(findings_.begin(), findings_.end(),
                       [](const Finding& f) { return f.violations == 0; });
}

// ---- clients
// ------------------------------------------------------------------------------------------------

void InvariantChecker::on_request_sent(Millis now, const ClientRequest& t) {
    Record& r = tries_[t.id];
    r.last_over = now;
    r.deadline = now + t.time_left;
    r.sidecar = clients_.ask(operation_of(t.id)).sidecar;
    r.may_be_late = frozen_.contains(r.sidecar);
}

void InvariantChecker::on_response(Millis now, ClientRequestId id, Answer answer, bool genuine) {
    const auto at = tries_.find(id);
    if (at == tries_.end()) return;
    Record& r = at->second;
    if (!r.open) {
        if (!r.excused && !r.gone) broken(Invariant::one_final_outcome, now, id, "a second final answer");
        return;
    }
    r.open = false;
    r.ended = now;
    if (answer == Answer::none) {
        if (!r.excused && !r.may_be_late)
            broken(Invariant::one_final_outcome, now, id, "no final answer before the caller gave up");
        return;
    }
    const Millis slack = std::max(slack_, starved_.contains(r.sidecar) ? kStarvedSlack : 0);
    if (now > r.deadline + slack && !r.may_be_late)
        broken(Invariant::one_final_outcome, now, id, "answered after the caller gave up");
    const ClassSpec& c = class_of(id);
    const Attempt* ran = r.first_possible_run();
    if (answer == Answer::served && (!genuine || !ran))
        broken(Invariant::one_final_outcome, now, id, "served with what no server made for it");
    if (answer == Answer::refused && ran && c.idempotency() != balancer::Idempotency::idempotent &&
        (c.idempotency() == balancer::Idempotency::non_idempotent ||
         now >= ran->sent + c.dedup_window + slack_))
        broken(Invariant::no_duplicate_effect, now, id, "refused ('try again') after it may have run");
    const bool out =
        std::any_of(r.attempts.begin(), r.attempts.end(), [](const Attempt& a) { return a.out; });
    if (answer != Answer::served && !out && !r.may_be_late &&
        now - r.last_over > c.latency_objective * kPromptFailureShare + slack_)
        ++held_back_;
}

void InvariantChecker::on_client_left(Millis now, ClientRequestId id) {
    const auto at = tries_.find(id);
    if (at == tries_.end()) return;
    at->second.open = false;
    at->second.gone = true;
    at->second.ended = now;
}

void InvariantChecker::on_connection_closed(Millis now, ClientRequestId id) {
    const auto at = tries_.find(id);
    if (at == tries_.end()) return;
    if (at->second.open && at->second.attempts.empty()) at->second.excused = true;
    on_response(now, id, Answer::none);
}

void InvariantChecker::on_unknown_request(Millis now, const std::string& what) {
    broken(Invariant::one_final_outcome, now, 0, what);
}

void InvariantChecker::excuse(ClientRequestId id) {
    if (const auto at = tries_.find(id); at != tries_.end()) at->second.excused = true;
}

void InvariantChecker::on_sidecar_killed(std::uint32_t sidecar) {
    for (auto& [id, r] : tries_) {
        if (r.sidecar != sidecar) continue;
        if (r.open) r.excused = true;
        for (Attempt& a : r.attempts) a.out = false;
    }
    std::erase_if(suspects_, [&](const Suspect& s) { return tries_.at(s.id).sidecar == sidecar; });
    on_sidecar_stopped(sidecar);
}

void InvariantChecker::on_sidecar_paused(std::uint32_t sidecar) {
    frozen_.insert(sidecar);
    for (auto& [id, r] : tries_)
        if (r.sidecar == sidecar && r.open) r.may_be_late = true;
}
void InvariantChecker::on_sidecar_resumed(std::uint32_t sidecar) { frozen_.erase(sidecar); }
void InvariantChecker::on_sidecar_cpu_limited(std::uint32_t sidecar, bool starved) {
    if (starved)
        starved_.insert(sidecar);
    else
        starved_.erase(sidecar);
}

void InvariantChecker::on_sidecar_stopped(std::uint32_t sidecar) {
    std::erase_if(told_, [&](const auto& entry) { return entry.first.first == sidecar; });
    frozen_.erase(sidecar);
}

// ---- the registry
// -------------------------------------------------------------------------------------------

void InvariantChecker::on_endpoint_update(Millis now, std::uint32_t sidecar, std::uint32_t server,
                                          balancer::EndpointState state, Millis online_since) {
    Told& t = told_[{sidecar, server}];
    if (t.state == balancer::EndpointState::active || state == balancer::EndpointState::active)
        t.at = now;  // the first word counts
    t.state = state;
    t.online_since = std::max(t.online_since, online_since);
}

// ---- servers
// ------------------------------------------------------------------------------------------------

void InvariantChecker::check_twice(Millis now, ClientRequestId id, const Record& r, std::uint32_t server) {
    const ClassSpec& c = class_of(id);
    if (const Attempt* ran = r.first_possible_run()) {
        if (c.idempotency() == balancer::Idempotency::non_idempotent)
            broken(Invariant::no_duplicate_effect, now, id,
                   "unsafe, sent to s-" + std::to_string(server) + " after s-" + std::to_string(ran->server) +
                       " may have run it");
        if (c.idempotency() == balancer::Idempotency::idempotency_key &&
            now >= ran->sent + c.dedup_window + slack_)
            broken(Invariant::no_duplicate_effect, now, id, "keyed, sent again after servers forgot the key");
    }
    if (r.attempts.size() >= scenario_.sidecars.max_attempts)
        broken(Invariant::no_duplicate_effect, now, id, "more attempts than are allowed");
}

std::uint32_t InvariantChecker::on_attempt_started(Millis now, ClientRequestId id, std::uint32_t server,
                                                   std::uint32_t sidecar) {
    const auto at = tries_.find(id);
    if (at == tries_.end()) {
        broken(Invariant::one_final_outcome, now, id, "sent to a server, and no caller asked for it");
        return 0;
    }
    Record& r = at->second;
    ++attempts_;
    check_twice(now, id, r, server);
    if (!r.open && !r.excused && now > r.ended + slack_)
        broken(Invariant::one_final_outcome, now, id,
               r.gone ? "sent to a server after its caller had gone"
                      : "sent to a server after its final answer");
    for (std::uint32_t i = 0; i < r.attempts.size(); ++i)
        if (r.attempts[i].out) suspects_.push_back({id, i, now});
    if (const auto t = told_.find({sidecar, server});
        t != told_.end() && t->second.state != balancer::EndpointState::active &&
        now > t->second.at + scenario_.invariants.drain_grace + slack_)
        broken(Invariant::drain_respected, now, id,
               "sent to s-" + std::to_string(server) + ", " +
                   std::to_string(static_cast<long>(now - t->second.at)) + "ms after n-" +
                   std::to_string(sidecar) + " was told that it drains or is gone");
    r.attempts.push_back({server, now});
    most_attempts_ = std::max<std::uint64_t>(most_attempts_, r.attempts.size());
    return static_cast<std::uint32_t>(r.attempts.size() - 1);
}

bool InvariantChecker::on_attempt_delivered(Millis now, ClientRequestId id, std::uint32_t attempt,
                                            Delivery what, const ServerLoad& load) {
    const auto at = tries_.find(id);
    if (at == tries_.end() || attempt >= at->second.attempts.size()) return false;
    Record& r = at->second;
    Attempt& a = r.attempts[attempt];
    if (what != Delivery::accepted) a.may_have_run = false;
    if (what == Delivery::not_received || !load.cold) return false;
    const auto told = told_.find({r.sidecar, a.server});
    auto& pushes = pushes_[a.server];
    pushes.push_back({now, load.work, told != told_.end() && told->second.online_since >= load.started_at});
    while (pushes.front().at <= now - scenario_.invariants.overload_window ||
           pushes.front().at < load.started_at)
        pushes.pop_front();
    double work = 0, knowing = 0, shares = 0, mean = 0;
    for (const Push& p : pushes) work += p.work, knowing += p.told ? p.work : 0;
    for (const ClassSpec& c : scenario_.classes) shares += c.share, mean += c.share * c.work;
    const double bound = with_chance(
        scenario_.invariants.overload_multiple * load.capacity * scenario_.invariants.overload_window,
        mean / shares);
    if (work <= bound) return false;
    ++fallen_;
    if (knowing * 3 >= work * 2)  // by those who had been told of its start; others could not know
        broken(Invariant::cold_server_not_overloaded, now, id,
               "s-" + std::to_string(a.server) + " fell over, " +
                   std::to_string(static_cast<long>(now - load.started_at)) + "ms after its start: sent " +
                   std::to_string(static_cast<long>(work)) + "ms of work, could take " +
                   std::to_string(static_cast<long>(bound)) + "ms");
    pushes.clear();
    return true;
}

void InvariantChecker::on_attempt_ended(Millis now, ClientRequestId id, std::uint32_t attempt) {
    const auto at = tries_.find(id);
    if (at == tries_.end() || attempt >= at->second.attempts.size()) return;
    Record& r = at->second;
    if (!r.attempts[attempt].out) return;
    r.attempts[attempt].out = false;
    r.last_over = now;
    std::erase_if(suspects_, [&](const Suspect& s) {
        if (s.id != id || s.attempt != attempt) return false;
        if (now > s.since + slack_)
            broken(Invariant::no_duplicate_effect, s.since, id, "two attempts out at once");
        return true;
    });
}

void InvariantChecker::finish(Millis now) {
    for (const Suspect& s : suspects_)
        broken(Invariant::no_duplicate_effect, s.since, s.id, "two attempts out at once");
    suspects_.clear();
    std::vector<ClientRequestId> lost;
    for (const auto& [id, r] : tries_)
        if (r.open && !r.excused && !r.may_be_late) lost.push_back(id);
    std::sort(lost.begin(), lost.end());
    for (const ClientRequestId id : lost) broken(Invariant::one_final_outcome, now, id, "never answered");
}

}  // namespace elmbay::simulation
