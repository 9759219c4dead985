// How a sidecar uses elmbay::balancer: feed events with their time, carry out the actions. Here one request
// is taken, sent, fails before it ran, is sent elsewhere and served.
#include <iostream>

#include "elmbay/balancer.hpp"

using namespace elmbay::balancer;

int main() {
    Settings settings;
    RequestClass read;
    read.idempotency = Idempotency::idempotent;
    read.latency_objective = 200;
    settings.classes = {read};
    Balancer balancer(settings, /*seed=*/42);

    std::vector<Action> actions;
    balancer.handle(1000, Started{}, actions);
    balancer.handle(1000, ServerList{ListKind::snapshot, {{/*id=*/1}, {/*id=*/2}}}, actions);
    balancer.handle(1010, RequestArrived{/*id=*/7, /*class_index=*/0, /*tenant=*/{}, /*time_left=*/500},
                    actions);

    std::uint32_t attempt = 0;
    for (std::size_t i = 0; i < actions.size(); ++i) {
        const Action action = actions[i];  // handle() may move the vector's storage
        if (const auto* send = std::get_if<StartAttempt>(&action)) {
            std::cout << "send request " << send->id << " to server " << send->server << '\n';
            AttemptEnded ended{send->id, attempt++};
            ended.outcome = attempt == 1 ? Outcome::connect_failed : Outcome::success;
            ended.request_ended = ended.outcome == Outcome::success;
            balancer.handle(1010 + 20 * attempt, ended, actions);
        } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
            std::cout << "timer at " << timer->at << '\n';  // hand TimerFired{timer->token} back then
        }
    }
    return attempt == 2 && balancer.resource_usage().requests == 0 ? 0 : 1;
}
