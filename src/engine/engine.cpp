#include "engine/engine.hpp"

#include <memory>
#include <utility>
#include <variant>

#include "base/failpoints.hpp"
#include "base/visitor.hpp"

namespace elmbay::engine {

Engine::Engine(balancer::Settings settings, std::uint64_t seed, ActionHandler& action_handler)
    : action_handler_(action_handler), balancer_(std::move(settings), seed) {}

void Engine::begin(Millis now) { dispatch(now, balancer::Started{}); }

void Engine::restore_state(Millis now, balancer::LearnedState learned_state, Millis age) {
    dispatch(now, balancer::StateRestored{std::move(learned_state), age});
}

// ---- Events -----------------------------------------------------------------------------------------------

void Engine::on_request(Millis now, const balancer::RequestArrived& request) {
    const bool is_new = requests_.try_emplace(request.id).second;
    if (is_new) dispatch(now, request);
}

void Engine::on_client_disconnected(Millis now, RequestId id) {
    const auto found = requests_.find(id);
    if (found == requests_.end() || found->second.is_finished) return;
    found->second.is_finished = true;
    dispatch(now, balancer::ClientDisconnected{id});
    release_if_settled(id);
}

void Engine::on_attempt_ended(Millis now, AttemptKey key, Outcome outcome, Millis duration) {
    const auto found = requests_.find(key.request);
    if (found == requests_.end()) return;
    RequestState& request = found->second;
    --request.attempts_in_flight;
    request.last_outcome = outcome;
    if (outcome == Outcome::success) finish_request(key.request, {FinalOutcome::Kind::success});
    dispatch(now, balancer::AttemptEnded{key.request, key.number, outcome, duration, request.is_finished});
    release_if_settled(key.request);
}

void Engine::on_session_ended(Millis now, RequestId id, bool broken) {
    dispatch(now, balancer::SessionEnded{id, broken});
}

void Engine::on_endpoint_list(Millis now, balancer::ServerList list) { dispatch(now, std::move(list)); }

void Engine::on_sibling_count(Millis now, std::uint32_t count) {
    dispatch(now, balancer::SiblingCountChanged{count});
}

void Engine::on_timer(Millis now, balancer::TimerToken token) { dispatch(now, balancer::TimerFired{token}); }

void Engine::dispatch(Millis now, balancer::Event event) {
    queued_events_.push_back({now, std::move(event)});
    // An event that an action causes is handled after the remaining actions of the current event.
    if (!is_dispatching_) handle_queued_events();
}

void Engine::handle_queued_events() {
    is_dispatching_ = true;
    // Clears the flag also when a handler throws, so that later events are handled.
    const std::unique_ptr<bool, void (*)(bool*)> clear_on_exit(&is_dispatching_,
                                                               [](bool* flag) { *flag = false; });
    std::vector<balancer::Action> actions;
    while (!queued_events_.empty()) {
        const QueuedEvent next = std::move(queued_events_.front());
        queued_events_.pop_front();
        actions.clear();
        balancer_.handle(next.now, next.event, actions);
        for (const balancer::Action& action : actions) run_action(action);
    }
}

// ---- Actions ----------------------------------------------------------------------------------------------

void Engine::run_action(const balancer::Action& action) {
    std::visit(balancer::Visitor{[this](const balancer::StartAttempt& start) { start_attempt(start); },
                                 [this](const balancer::Cancel& cancel) {
                                     action_handler_.cancel_attempt({cancel.id, cancel.attempt});
                                 },
                                 [this](const balancer::Reject& reject) { reject_request(reject); },
                                 [this](const balancer::Fail& fail) { fail_request(fail); },
                                 [this](const balancer::SetTimer& timer) {
                                     action_handler_.set_timer(timer.at, timer.token);
                                 },
                                 [this](const balancer::Subscribe& subscription) {
                                     action_handler_.subscribe(subscription.active);
                                 },
                                 [](const balancer::Log&) {}},
               action);
}

void Engine::start_attempt(const balancer::StartAttempt& action) {
    const auto found = requests_.find(action.id);
    if (found == requests_.end()) return;
    start_next_attempt(found->second, action);
    if (failpoint_enabled("twice")) start_next_attempt(found->second, action);
}

void Engine::start_next_attempt(RequestState& request, const balancer::StartAttempt& action) {
    const AttemptKey key{action.id, request.attempts_started};
    ++request.attempts_started;
    ++request.attempts_in_flight;
    action_handler_.start_attempt(key, action.server, action.attempt_deadline, action.write_by);
}

void Engine::reject_request(const balancer::Reject& action) {
    finish_request(action.id, {FinalOutcome::Kind::rejected, action.retry_after});
    release_if_settled(action.id);
}

void Engine::fail_request(const balancer::Fail& action) {
    const auto found = requests_.find(action.id);
    // An attempt that is still in flight has not received a response in time.
    const bool timed_out = found != requests_.end() && (found->second.attempts_in_flight > 0 ||
                                                        found->second.last_outcome == Outcome::timed_out);
    finish_request(action.id, {FinalOutcome::Kind::failed, 0, timed_out});
    release_if_settled(action.id);
}

// Passes the first outcome of a request to the handler and ignores later ones. No other function reports
// outcomes.
void Engine::finish_request(RequestId id, const FinalOutcome& outcome) {
    const auto found = requests_.find(id);
    if (found == requests_.end() || found->second.is_finished) return;
    found->second.is_finished = true;
    if (failpoint_enabled("lose") && id % 5 == 0) return;
    action_handler_.finish_request(id, outcome);
}

void Engine::release_if_settled(RequestId id) {
    const auto found = requests_.find(id);
    if (found == requests_.end()) return;
    const RequestState& request = found->second;
    if (!request.is_finished || request.attempts_in_flight > 0) return;
    requests_.erase(found);
    action_handler_.release_request(id);
}

}  // namespace elmbay::engine
