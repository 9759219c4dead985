#include "simulation/baselines/least_outstanding_policy.hpp"

#include <algorithm>
#include <utility>

#include "simulation/baselines/attempt_outcome.hpp"

namespace elmbay::simulation {

namespace {

using balancer::EndpointState;
using balancer::Idempotency;

constexpr int kMaxConsecutiveFailures = 5;
constexpr Millis kEjectionDuration = 5000;
/// Attempt timeout with retries_without_limit: shorter than many requests take under load.
constexpr Millis kShortTimeout = 120;
/// Minimum time between the final response and the deadline, so that the response arrives in time.
constexpr Millis kDeadlineMargin = 20;
/// Maximum attempts of one request without flaws.
constexpr std::size_t kMaxAttempts = 2;

}  // namespace

bool LeastOutstandingPolicy::Request::has_outstanding_attempt() const {
    return std::any_of(attempts.begin(), attempts.end(),
                       [](const Attempt& attempt) { return attempt.is_outstanding; });
}

bool LeastOutstandingPolicy::Request::may_have_run() const {
    return std::any_of(attempts.begin(), attempts.end(),
                       [](const Attempt& attempt) { return attempt.may_have_run; });
}

void LeastOutstandingPolicy::handle(Millis now, const balancer::Event& event,
                                    std::vector<balancer::Action>& actions) {
    now_ = now;
    actions_ = &actions;
    std::visit([this](const auto& alternative) { on(alternative); }, event);
}

void LeastOutstandingPolicy::on(const balancer::ServerList& list) {
    const bool is_complete =
        list.kind == balancer::ListKind::snapshot || list.kind == balancer::ListKind::cached;
    if (is_complete) {
        for (auto& [id, server] : servers_) server.info.state = EndpointState::removed;
    }
    for (const balancer::ServerInfo& info : list.servers) update_server(info);
}

void LeastOutstandingPolicy::update_server(const balancer::ServerInfo& info) {
    Server& server = servers_[info.id];
    const bool was_listed = server.info.id != 0;
    if (flaws_.ignores_drains && info.state != EndpointState::active && was_listed) return;
    if (info.online_since > server.info.online_since) {
        server.consecutive_failures = 0;
        server.ejected_until = 0;
    }
    server.info = info;
}

void LeastOutstandingPolicy::on(const balancer::RequestArrived& event) {
    Request& request = requests_[event.id];
    request.id = event.id;
    request.deadline = now_ + event.time_left;
    if (event.class_index < settings_.classes.size()) {
        request.request_class = settings_.classes[event.class_index];
    }
    set_timer(request.deadline, request.id);
    start_attempt(request);
    if (flaws_.duplicates_attempts && request.request_class.idempotency == Idempotency::idempotent) {
        start_attempt(request);
    }
}

void LeastOutstandingPolicy::on(const balancer::AttemptEnded& event) {
    const auto found = requests_.find(event.id);
    if (found == requests_.end() || event.attempt >= found->second.attempts.size()) return;
    Request& request = found->second;
    Attempt& attempt = request.attempts[event.attempt];
    attempt.is_outstanding = false;
    attempt.may_have_run = may_have_run(event.outcome);
    record_outcome(servers_[attempt.server], event.outcome);
    if (event.request_ended) {
        cancel_attempts(request);
        requests_.erase(found);
        return;
    }
    if (request.has_outstanding_attempt()) return;
    const bool retry_started = may_retry(request) && start_attempt(request);
    if (!retry_started) respond_with_failure(request);
}

void LeastOutstandingPolicy::record_outcome(Server& server, balancer::Outcome outcome) {
    --server.outstanding;
    if (outcome == balancer::Outcome::success) {
        server.consecutive_failures = 0;
        return;
    }
    if (outcome == balancer::Outcome::cancelled) return;
    ++server.consecutive_failures;
    if (server.consecutive_failures < kMaxConsecutiveFailures || flaws_.never_ejects) return;
    server.consecutive_failures = 0;
    server.ejected_until = now_ + kEjectionDuration;
}

void LeastOutstandingPolicy::on(const balancer::ClientDisconnected& event) {
    const auto found = requests_.find(event.id);
    if (found == requests_.end()) return;
    cancel_attempts(found->second);
    requests_.erase(found);
}

void LeastOutstandingPolicy::on(const balancer::TimerFired& event) {
    const auto found = requests_.find(timers_[event.token]);
    timers_.erase(event.token);
    if (found == requests_.end()) return;
    if (now_ >= found->second.deadline - kDeadlineMargin) finish(found->second);
}

bool LeastOutstandingPolicy::may_retry(const Request& request) const {
    const std::size_t max_attempts = flaws_.retries_without_limit ? settings_.max_attempts : kMaxAttempts;
    if (request.attempts.size() >= max_attempts) return false;
    if (now_ >= request.deadline - kDeadlineMargin) return false;
    if (!request.may_have_run()) return true;
    switch (request.request_class.idempotency) {
        case Idempotency::non_idempotent:
            return flaws_.retries_non_idempotent;
        case Idempotency::idempotency_key:
            return request.deadline - now_ <= request.request_class.dedup_window;
        default:
            return true;
    }
}

bool LeastOutstandingPolicy::is_usable(const Server& server) const {
    if (server.info.state != EndpointState::active || now_ < server.ejected_until) return false;
    const bool is_cold =
        server.info.online_since > 0 && now_ < server.info.online_since + settings_.slow_start_duration;
    return !is_cold || flaws_.prefers_newest_server;
}

LeastOutstandingPolicy::Server* LeastOutstandingPolicy::choose_server() {
    std::vector<Server*> usable;
    for (auto& [id, server] : servers_) {
        if (is_usable(server)) usable.push_back(&server);
    }
    if (usable.empty()) return nullptr;
    Server* chosen = usable[random_.below(usable.size())];
    Server* const other = usable[random_.below(usable.size())];
    if (!flaws_.retries_without_limit && other->outstanding < chosen->outstanding) chosen = other;
    if (flaws_.prefers_newest_server) {
        for (Server* candidate : usable) {
            if (candidate->info.online_since > chosen->info.online_since) chosen = candidate;
        }
    }
    return chosen;
}

bool LeastOutstandingPolicy::start_attempt(Request& request) {
    Server* const server = choose_server();
    if (!server) {
        if (request.attempts.empty()) respond_with_failure(request);
        return false;
    }
    request.attempts.push_back({server->info.id});
    ++server->outstanding;
    const Millis timeout =
        flaws_.retries_without_limit ? std::min(request.deadline, now_ + kShortTimeout) : request.deadline;
    append_action(balancer::StartAttempt{request.id, server->info.id, timeout});
    return true;
}

void LeastOutstandingPolicy::respond_with_failure(Request& request) {
    if (!flaws_.delays_failures) {
        finish(request);
        return;
    }
    set_timer(std::max(now_, request.deadline - kDeadlineMargin), request.id);
}

void LeastOutstandingPolicy::finish(Request& request) {
    cancel_attempts(request);
    if (request.may_have_run()) {
        append_action(balancer::Fail{request.id});
    } else {
        append_action(balancer::Reject{request.id, 0});
    }
    requests_.erase(request.id);
}

void LeastOutstandingPolicy::cancel_attempts(const Request& request) {
    for (std::uint32_t i = 0; i < request.attempts.size(); ++i) {
        if (request.attempts[i].is_outstanding) append_action(balancer::Cancel{request.id, i});
    }
}

void LeastOutstandingPolicy::set_timer(Millis at, balancer::RequestId id) {
    timers_[++last_token_] = id;
    append_action(balancer::SetTimer{at, last_token_});
}

}  // namespace elmbay::simulation
