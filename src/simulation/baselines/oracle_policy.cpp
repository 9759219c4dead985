#include "simulation/baselines/oracle_policy.hpp"

#include <algorithm>
#include <limits>
#include <utility>

#include "simulation/baselines/attempt_outcome.hpp"
#include "simulation/models/service_model.hpp"

namespace elmbay::simulation {

namespace {

using balancer::EndpointState;

/// Decision module time at the start of the simulation, as defined by the virtual driver.
constexpr Millis kEpoch = 1e9;
/// by_priority: share of the acceptable time that a class of priority weight 0 would have.
constexpr double kMinPriorityShare = 0.4;
/// Maximum attempts of one request.
constexpr std::uint32_t kMaxAttempts = 2;
/// Expected time on a server that cannot execute any request.
constexpr Millis kUnavailable = 1e9;
/// Lower bound of the greatest priority weight, which prevents a division by 0 if all weights are 0.
constexpr double kMinPriorityWeight = 1e-9;

}  // namespace

const std::vector<OracleOptions>& oracle_variants() {
    static const std::vector<OracleOptions> kVariants{
        {"oracle-35", 0.35, false},      {"oracle-45", 0.45, false},      {"oracle-55", 0.55, false},
        {"oracle-65", 0.65, false},      {"oracle-35-worth", 0.35, true}, {"oracle-45-worth", 0.45, true},
        {"oracle-55-worth", 0.55, true}, {"oracle-65-worth", 0.65, true}, {"oracle-75-worth", 0.75, true}};
    return kVariants;
}

OraclePolicy::OraclePolicy(const balancer::Settings& settings, OracleOptions options)
    : settings_(settings), options_(std::move(options)), max_priority_weight_(kMinPriorityWeight) {
    for (const balancer::RequestClass& request_class : settings.classes) {
        max_priority_weight_ = std::max(max_priority_weight_, request_class.priority_weight);
    }
}

void OraclePolicy::handle(Millis now, const balancer::Event& event, std::vector<balancer::Action>& actions) {
    now_ = now;
    actions_ = &actions;
    std::visit([this](const auto& alternative) { on(alternative); }, event);
}

void OraclePolicy::on(const balancer::ServerList& list) {
    if (list.kind != balancer::ListKind::incremental) servers_.clear();
    for (const balancer::ServerInfo& info : list.servers) servers_[info.id] = info.state;
}

void OraclePolicy::on(const balancer::RequestArrived& event) {
    Request& request = requests_[event.id];
    if (event.class_index < settings_.classes.size()) {
        request.request_class = settings_.classes[event.class_index];
    }
    request.mean_work = service_model_->mean_work(event.class_index);
    request.deadline = now_ + event.time_left;
    assign_server(event.id, request);
}

void OraclePolicy::on(const balancer::ClientDisconnected& event) {
    const auto found = requests_.find(event.id);
    if (found == requests_.end()) return;
    const Request& request = found->second;
    if (request.has_outstanding_attempt) {
        actions_->push_back(balancer::Cancel{event.id, request.attempts - 1});
    }
    requests_.erase(found);
}

void OraclePolicy::on(const balancer::AttemptEnded& event) {
    const auto found = requests_.find(event.id);
    if (found == requests_.end()) return;
    Request& request = found->second;
    request.has_outstanding_attempt = false;
    if (may_have_run(event.outcome)) request.may_have_run = true;
    if (event.request_ended) {
        requests_.erase(found);
        return;
    }
    const bool may_repeat = !request.may_have_run || request.is_idempotent();
    if (request.attempts < kMaxAttempts && now_ < request.deadline && may_repeat) {
        assign_server(event.id, request);
    } else {
        respond_with_failure(event.id, request);
    }
}

void OraclePolicy::assign_server(balancer::RequestId id, Request& request) {
    balancer::ServerId best = 0;
    Millis best_time = acceptable_time(request);
    for (const auto& [server, state] : servers_) {
        if (state != EndpointState::active) continue;
        const Millis time = expected_time(server - 1, request.mean_work);
        if (time < best_time) {
            best_time = time;
            best = server;
        }
    }
    if (best == 0) {
        respond_with_failure(id, request);
        return;
    }
    request.has_outstanding_attempt = true;
    ++request.attempts;
    actions_->push_back(balancer::StartAttempt{id, best, request.deadline});
}

void OraclePolicy::respond_with_failure(balancer::RequestId id, const Request& request) {
    if (request.may_have_run && !request.is_idempotent()) {
        actions_->push_back(balancer::Fail{id});
    } else {
        actions_->push_back(balancer::Reject{id, 0});
    }
    requests_.erase(id);
}

Millis OraclePolicy::acceptable_time(const Request& request) const {
    const double priority_share = options_.by_priority
                                      ? kMinPriorityShare + (1 - kMinPriorityShare) *
                                                                request.request_class.priority_weight /
                                                                max_priority_weight_
                                      : 1;
    return request.request_class.latency_objective * options_.objective_share * priority_share;
}

Millis OraclePolicy::expected_time(std::uint32_t server_number, Millis work) const {
    const ServerModel& server = service_model_->server(server_number);
    const Millis model_time = now_ - kEpoch;
    if (!server.is_running() || !server.is_reachable() || server.is_frozen(model_time)) return kUnavailable;
    const double cores = service_model_->cores();
    const double requests = static_cast<double>(server.executing_count() + server.queued_count()) + 1;
    return work * std::max(1.0, requests / cores) * cores / server.capacity(model_time);
}

}  // namespace elmbay::simulation
