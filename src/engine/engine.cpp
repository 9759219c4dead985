#include "engine/engine.hpp"

#include <memory>
#include <vector>

#include "base/failpoints.hpp"
#include "base/visitor.hpp"

namespace elmbay::engine {

using namespace elmbay::balancer;

Engine::Engine(Settings settings, std::uint64_t seed, ActionHandler& port)
    : action_handler_(port), balancer_(std::move(settings), seed) {}

void Engine::begin(Millis now) { dispatch(now, Started{}); }

void Engine::restore_state(Millis now, LearnedState learned_state, Millis age) {
    dispatch(now, StateRestored{std::move(learned_state), age});
}

void Engine::on_request(Millis now, const RequestArrived& request) {
    if (requests_.try_emplace(request.id).second) dispatch(now, request);
}

void Engine::on_client_disconnected(Millis now, RequestId id) {
    const auto at = requests_.find(id);
    if (at == requests_.end() || at->second.over) return;
    at->second.over = true;
    dispatch(now, ClientDisconnected{id});
    settle(id);
}

void Engine::on_attempt_ended(Millis now, AttemptKey key, Outcome outcome, Millis duration) {
    const auto at = requests_.find(key.request);
    if (at == requests_.end()) return;
    Request& r = at->second;
    --r.out;
    r.last = outcome;
    if (outcome == Outcome::success) finish(key.request, {FinalOutcome::Kind::success});
    dispatch(now, AttemptEnded{key.request, key.number, outcome, duration, r.over});
    settle(key.request);
}

void Engine::on_session_ended(Millis now, RequestId id, bool broken) {
    dispatch(now, SessionEnded{id, broken});
}

void Engine::on_endpoint_list(Millis now, ServerList list) { dispatch(now, std::move(list)); }

void Engine::on_sibling_count(Millis now, std::uint32_t count) { dispatch(now, SiblingsKnown{count}); }

void Engine::on_timer(Millis now, TimerToken token) { dispatch(now, TimerFired{token}); }

void Engine::dispatch(Millis now, Event event) {
    events_.push_back({now, std::move(event)});
    if (handling_) return;  // an action brought it about: it comes after this event's other actions
    handling_ = true;
    // Should anything throw on the way, later events must still be handled.
    const std::unique_ptr<bool, void (*)(bool*)> handled(&handling_, [](bool* flag) { *flag = false; });
    std::vector<Action> actions;
    while (!events_.empty()) {
        const Pending next = std::move(events_.front());
        events_.pop_front();
        actions.clear();
        balancer_.handle(next.now, next.event, actions);
        for (const Action& action : actions) run(action);
    }
}

void Engine::run(const Action& action) {
    std::visit(
        Visitor{
            [this](const StartAttempt& a) {
                const auto at = requests_.find(a.id);
                if (at == requests_.end()) return;
                ++at->second.out;
                action_handler_.start({a.id, at->second.sent++}, a.server, a.attempt_deadline, a.write_by);
                if (failpoint_enabled("twice")) {
                    ++at->second.out;
                    action_handler_.start({a.id, at->second.sent++}, a.server, a.attempt_deadline,
                                          a.write_by);
                }
            },
            [this](const Cancel& a) {
                action_handler_.cancel({a.id, a.attempt});
            },
            [this](const Reject& a) {
                finish(a.id, {FinalOutcome::Kind::rejected, a.retry_after});
                settle(a.id);
            },
            [this](const Fail& a) {
                const auto at = requests_.find(a.id);
                const bool timed_out =
                    at != requests_.end() && (at->second.out > 0 || at->second.last == Outcome::timed_out);
                finish(a.id, {FinalOutcome::Kind::failed, 0, timed_out});
                settle(a.id);
            },
            [this](const SetTimer& a) { action_handler_.set_timer(a.at, a.token); },
            [this](const Subscribe& a) { action_handler_.subscribe(a.active); }, [](const Log&) {}},
        action);
}

// The only way to the caller: the first outcome is the final one.
void Engine::finish(RequestId id, const FinalOutcome& outcome) {
    const auto at = requests_.find(id);
    if (at == requests_.end() || at->second.over) return;
    at->second.over = true;
    if (failpoint_enabled("lose") && id % 5 == 0) return;
    action_handler_.finish(id, outcome);
}

// What has its outcome and nothing out leaves no trace.
void Engine::settle(RequestId id) {
    const auto at = requests_.find(id);
    if (at == requests_.end() || !at->second.over || at->second.out > 0) return;
    requests_.erase(at);
    action_handler_.forget(id);
}

}  // namespace elmbay::engine
