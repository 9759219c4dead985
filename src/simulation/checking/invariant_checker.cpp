#include "simulation/checking/invariant_checker.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace elmbay::simulation {

namespace {

using balancer::EndpointState;
using balancer::Idempotency;

long whole_ms(Millis time) { return static_cast<long>(time); }

}  // namespace

const char* name_of(Invariant invariant) {
    switch (invariant) {
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
    : scenario_(scenario), clients_(clients), slack_(slack), cold_loads_(scenario.fleet.servers) {}

const InvariantChecker::Attempt* InvariantChecker::RequestRecord::first_attempt_that_may_have_run() const {
    const auto found = std::find_if(attempts.begin(), attempts.end(),
                                    [](const Attempt& attempt) { return attempt.may_have_run; });
    return found == attempts.end() ? nullptr : &*found;
}

bool InvariantChecker::RequestRecord::has_outstanding_attempt() const {
    return std::any_of(attempts.begin(), attempts.end(),
                       [](const Attempt& attempt) { return attempt.is_outstanding; });
}

const ClassSpec& InvariantChecker::class_of(ClientRequestId id) const {
    return scenario_.classes[clients_.arrival_of(operation_of(id)).class_index];
}

InvariantChecker::RequestRecord* InvariantChecker::find_request(ClientRequestId id) {
    const auto found = requests_.find(id);
    return found == requests_.end() ? nullptr : &found->second;
}

InvariantChecker::Attempt* InvariantChecker::find_attempt(ClientRequestId id, std::uint32_t attempt) {
    RequestRecord* const request = find_request(id);
    if (!request || attempt >= request->attempts.size()) return nullptr;
    return &request->attempts[attempt];
}

const InvariantChecker::EndpointView* InvariantChecker::find_view(std::uint32_t sidecar,
                                                                  std::uint32_t server) const {
    const auto found = endpoint_views_.find({sidecar, server});
    return found == endpoint_views_.end() ? nullptr : &found->second;
}

void InvariantChecker::add_violation(Invariant invariant, Millis now, ClientRequestId id,
                                     const std::string& description) {
    Finding& finding = findings_[static_cast<std::size_t>(invariant)];
    ++finding.violations;
    if (finding.examples.size() >= kMaxExamples) return;
    finding.examples.push_back(fmt::format("{:.3f}s request {} try {}: {}", now / 1000, operation_of(id),
                                           id % kMaxRequestsPerOperation, description));
}

bool InvariantChecker::all_hold() const {
    return std::all_of(findings_.begin(), findings_.end(),
                       [](const Finding& finding) { return finding.violations == 0; });
}

// Observations of clients

void InvariantChecker::on_request_sent(Millis now, const ClientRequest& request) {
    RequestRecord& record = requests_[request.id];
    record.last_attempt_ended_at = now;
    record.deadline = now + request.timeout;
    record.sidecar = clients_.arrival_of(operation_of(request.id)).sidecar;
    record.may_be_late = paused_sidecars_.contains(record.sidecar);
}

void InvariantChecker::on_response(Millis now, ClientRequestId id, ResponseKind response,
                                   bool matches_request) {
    RequestRecord* const request = find_request(id);
    if (!request) return;
    if (!request->is_open) {
        const bool is_expected = request->is_response_optional || request->client_left;
        if (!is_expected) add_violation(Invariant::one_final_outcome, now, id, "a second final answer");
        return;
    }
    if (response == ResponseKind::none) {
        if (request->requires_response()) {
            add_violation(Invariant::one_final_outcome, now, id, "no final answer before the caller gave up");
        }
    } else {
        check_response_in_time(now, id, *request);
        if (response == ResponseKind::served) check_response_matches(now, id, *request, matches_request);
        if (response == ResponseKind::rejected) check_rejection_is_safe(now, id, *request);
        if (response != ResponseKind::served) count_delayed_failure(now, id, *request);
    }
    request->is_open = false;
    request->ended_at = now;
}

void InvariantChecker::check_response_in_time(Millis now, ClientRequestId id, const RequestRecord& request) {
    const bool is_cpu_limited = cpu_limited_sidecars_.contains(request.sidecar);
    const Millis slack = std::max(slack_, is_cpu_limited ? kCpuLimitedSlack : 0);
    if (now > request.deadline + slack && !request.may_be_late) {
        add_violation(Invariant::one_final_outcome, now, id, "answered after the caller gave up");
    }
}

void InvariantChecker::check_response_matches(Millis now, ClientRequestId id, const RequestRecord& request,
                                              bool matches_request) {
    if (!matches_request || !request.first_attempt_that_may_have_run()) {
        add_violation(Invariant::one_final_outcome, now, id, "served with what no server made for it");
    }
}

void InvariantChecker::check_rejection_is_safe(Millis now, ClientRequestId id, const RequestRecord& request) {
    const Attempt* const earlier = request.first_attempt_that_may_have_run();
    const ClassSpec& spec = class_of(id);
    if (!earlier || spec.idempotency() == Idempotency::idempotent) return;
    const bool dedup_window_is_over = now >= earlier->started_at + spec.dedup_window + slack_;
    if (spec.idempotency() == Idempotency::non_idempotent || dedup_window_is_over) {
        add_violation(Invariant::no_duplicate_effect, now, id, "refused ('try again') after it may have run");
    }
}

void InvariantChecker::count_delayed_failure(Millis now, ClientRequestId id, const RequestRecord& request) {
    if (request.has_outstanding_attempt() || request.may_be_late) return;
    const Millis prompt_limit = class_of(id).latency_objective * kPromptFailureShare + slack_;
    if (now - request.last_attempt_ended_at > prompt_limit) ++delayed_failures_;
}

void InvariantChecker::on_client_left(Millis now, ClientRequestId id) {
    RequestRecord* const request = find_request(id);
    if (!request) return;
    request->is_open = false;
    request->client_left = true;
    request->ended_at = now;
}

void InvariantChecker::on_connection_closed(Millis now, ClientRequestId id) {
    RequestRecord* const request = find_request(id);
    if (!request) return;
    if (request->is_open && request->attempts.empty()) request->is_response_optional = true;
    on_response(now, id, ResponseKind::none);
}

void InvariantChecker::waive_response(ClientRequestId id) {
    if (RequestRecord* const request = find_request(id)) request->is_response_optional = true;
}

// Observations of sidecar processes

void InvariantChecker::on_sidecar_killed(std::uint32_t sidecar) {
    for (auto& [id, request] : requests_) {
        if (request.sidecar != sidecar) continue;
        if (request.is_open) request.is_response_optional = true;
        for (Attempt& attempt : request.attempts) attempt.is_outstanding = false;
    }
    std::erase_if(concurrent_attempts_, [&](const ConcurrentAttempt& concurrent) {
        return requests_.at(concurrent.request).sidecar == sidecar;
    });
    on_sidecar_stopped(sidecar);
}

void InvariantChecker::on_sidecar_stopped(std::uint32_t sidecar) {
    std::erase_if(endpoint_views_, [&](const auto& entry) { return entry.first.first == sidecar; });
    paused_sidecars_.erase(sidecar);
}

void InvariantChecker::on_sidecar_paused(std::uint32_t sidecar) {
    paused_sidecars_.insert(sidecar);
    for (auto& [id, request] : requests_) {
        if (request.sidecar == sidecar && request.is_open) request.may_be_late = true;
    }
}

void InvariantChecker::on_sidecar_resumed(std::uint32_t sidecar) { paused_sidecars_.erase(sidecar); }

void InvariantChecker::on_sidecar_cpu_limited(std::uint32_t sidecar, bool limited) {
    if (limited) {
        cpu_limited_sidecars_.insert(sidecar);
    } else {
        cpu_limited_sidecars_.erase(sidecar);
    }
}

void InvariantChecker::on_endpoint_update(Millis now, std::uint32_t sidecar, std::uint32_t server,
                                          EndpointState state, Millis online_since) {
    EndpointView& view = endpoint_views_[{sidecar, server}];
    const bool was_active = view.state == EndpointState::active;
    if (was_active || state == EndpointState::active) view.inactive_since = now;
    view.state = state;
    view.online_since = std::max(view.online_since, online_since);
}

// Observations of servers

std::uint32_t InvariantChecker::on_attempt_started(Millis now, ClientRequestId id, std::uint32_t server,
                                                   std::uint32_t sidecar) {
    RequestRecord* const request = find_request(id);
    if (!request) {
        add_violation(Invariant::one_final_outcome, now, id, "sent to a server, and no caller asked for it");
        return 0;
    }
    ++attempts_;
    check_repetition_is_safe(now, id, *request, server);
    check_attempt_limit(now, id, *request);
    check_request_is_open(now, id, *request);
    record_concurrent_attempts(now, id, *request);
    check_drain(now, id, server, sidecar);
    request->attempts.push_back({server, now});
    max_attempts_ = std::max<std::uint64_t>(max_attempts_, request->attempts.size());
    return static_cast<std::uint32_t>(request->attempts.size() - 1);
}

void InvariantChecker::check_repetition_is_safe(Millis now, ClientRequestId id, const RequestRecord& request,
                                                std::uint32_t server) {
    const Attempt* const earlier = request.first_attempt_that_may_have_run();
    if (!earlier) return;
    const ClassSpec& spec = class_of(id);
    if (spec.idempotency() == Idempotency::non_idempotent) {
        add_violation(
            Invariant::no_duplicate_effect, now, id,
            fmt::format("unsafe, sent to s-{} after s-{} may have run it", server, earlier->server));
    }
    const bool dedup_window_is_over = now >= earlier->started_at + spec.dedup_window + slack_;
    if (spec.idempotency() == Idempotency::idempotency_key && dedup_window_is_over) {
        add_violation(Invariant::no_duplicate_effect, now, id,
                      "keyed, sent again after servers forgot the key");
    }
}

void InvariantChecker::check_attempt_limit(Millis now, ClientRequestId id, const RequestRecord& request) {
    if (request.attempts.size() >= scenario_.sidecars.max_attempts) {
        add_violation(Invariant::no_duplicate_effect, now, id, "more attempts than are allowed");
    }
}

void InvariantChecker::check_request_is_open(Millis now, ClientRequestId id, const RequestRecord& request) {
    if (request.is_open || request.is_response_optional || now <= request.ended_at + slack_) return;
    add_violation(Invariant::one_final_outcome, now, id,
                  request.client_left ? "sent to a server after its caller had gone"
                                      : "sent to a server after its final answer");
}

void InvariantChecker::record_concurrent_attempts(Millis now, ClientRequestId id,
                                                  const RequestRecord& request) {
    for (std::uint32_t i = 0; i < request.attempts.size(); ++i) {
        if (request.attempts[i].is_outstanding) concurrent_attempts_.push_back({id, i, now});
    }
}

void InvariantChecker::check_drain(Millis now, ClientRequestId id, std::uint32_t server,
                                   std::uint32_t sidecar) {
    const EndpointView* const view = find_view(sidecar, server);
    if (!view || view->state == EndpointState::active) return;
    if (now <= view->inactive_since + scenario_.invariants.drain_grace + slack_) return;
    add_violation(Invariant::drain_respected, now, id,
                  fmt::format("sent to s-{}, {}ms after n-{} was told that it drains or is gone", server,
                              whole_ms(now - view->inactive_since), sidecar));
}

bool InvariantChecker::on_attempt_delivered(Millis now, ClientRequestId id, std::uint32_t attempt_number,
                                            Delivery delivery, const ServerLoad& load) {
    Attempt* const attempt = find_attempt(id, attempt_number);
    if (!attempt) return false;
    if (delivery != Delivery::accepted) attempt->may_have_run = false;
    if (delivery == Delivery::not_received || !load.cold) return false;
    return check_cold_server(now, id, attempt->server, requests_.at(id).sidecar, load);
}

bool InvariantChecker::check_cold_server(Millis now, ClientRequestId id, std::uint32_t server,
                                         std::uint32_t sidecar, const ServerLoad& load) {
    const EndpointView* const view = find_view(sidecar, server);
    const bool sender_notified_of_start = view && view->online_since >= load.started_at;
    ColdServerLoad& cold_load = cold_loads_[server];
    cold_load.add({now, load.work, sender_notified_of_start}, now - scenario_.invariants.overload_window,
                  load.started_at);
    const Millis work = cold_load.work();
    const Millis allowed = allowed_cold_work(scenario_, load.capacity);
    if (work <= allowed) return false;
    ++overloaded_servers_;
    if (cold_load.is_mostly_from_notified_senders()) {
        add_violation(
            Invariant::cold_server_not_overloaded, now, id,
            fmt::format("s-{} fell over, {}ms after its start: sent {}ms of work, could take {}ms", server,
                        whole_ms(now - load.started_at), whole_ms(work), whole_ms(allowed)));
    }
    cold_load.clear();
    return true;
}

void InvariantChecker::on_attempt_ended(Millis now, ClientRequestId id, std::uint32_t attempt_number) {
    Attempt* const attempt = find_attempt(id, attempt_number);
    if (!attempt || !attempt->is_outstanding) return;
    attempt->is_outstanding = false;
    requests_.at(id).last_attempt_ended_at = now;
    std::erase_if(concurrent_attempts_, [&](const ConcurrentAttempt& concurrent) {
        if (concurrent.request != id || concurrent.attempt != attempt_number) return false;
        if (now > concurrent.since + slack_) {
            add_violation(Invariant::no_duplicate_effect, concurrent.since, id, "two attempts out at once");
        }
        return true;
    });
}

void InvariantChecker::on_unknown_request(Millis now, const std::string& description) {
    add_violation(Invariant::one_final_outcome, now, 0, description);
}

void InvariantChecker::finish(Millis now) {
    for (const ConcurrentAttempt& concurrent : concurrent_attempts_) {
        add_violation(Invariant::no_duplicate_effect, concurrent.since, concurrent.request,
                      "two attempts out at once");
    }
    concurrent_attempts_.clear();
    check_no_request_unanswered(now);
}

void InvariantChecker::check_no_request_unanswered(Millis now) {
    std::vector<ClientRequestId> unanswered;
    for (const auto& [id, request] : requests_) {
        if (request.requires_response()) unanswered.push_back(id);
    }
    std::sort(unanswered.begin(), unanswered.end());
    for (const ClientRequestId id : unanswered) {
        add_violation(Invariant::one_final_outcome, now, id, "never answered");
    }
}

}  // namespace elmbay::simulation
