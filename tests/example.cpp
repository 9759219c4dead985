/// @file
/// Example use of elmbay::balancer: a sidecar feeds events with their time and carries out the actions. In
/// this example one request arrives, is sent, fails before it runs, is retried at another server and
/// succeeds.
#include <cstdint>
#include <iostream>
#include <variant>
#include <vector>

#include "elmbay/balancer.hpp"

using elmbay::balancer::Action;
using elmbay::balancer::AttemptEnded;
using elmbay::balancer::Balancer;
using elmbay::balancer::Idempotency;
using elmbay::balancer::ListKind;
using elmbay::balancer::Outcome;
using elmbay::balancer::RequestArrived;
using elmbay::balancer::RequestClass;
using elmbay::balancer::ServerList;
using elmbay::balancer::SetTimer;
using elmbay::balancer::Settings;
using elmbay::balancer::StartAttempt;
using elmbay::balancer::Started;

int main() {
    RequestClass read;
    read.idempotency = Idempotency::idempotent;
    read.latency_objective = 200;
    Settings settings;
    settings.classes = {read};
    Balancer balancer(settings, /*seed=*/42);

    std::vector<Action> actions;
    balancer.handle(1000, Started{}, actions);
    balancer.handle(1000, ServerList{ListKind::snapshot, {{/*id=*/1}, {/*id=*/2}}}, actions);
    balancer.handle(1010, RequestArrived{/*id=*/7, /*class_index=*/0, /*tenant=*/{}, /*time_left=*/500},
                    actions);

    std::uint32_t attempt = 0;
    for (std::size_t i = 0; i < actions.size(); ++i) {
        const Action action = actions[i];  // a copy, because handle() may reallocate the vector
        if (const auto* send = std::get_if<StartAttempt>(&action)) {
            std::cout << "send request " << send->id << " to server " << send->server << '\n';
            AttemptEnded ended{send->id, attempt++};
            ended.outcome = attempt == 1 ? Outcome::connect_failed : Outcome::success;
            ended.request_ended = ended.outcome == Outcome::success;
            balancer.handle(1010 + 20 * attempt, ended, actions);
        } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
            // A sidecar feeds TimerFired{timer->token} at that time.
            std::cout << "timer at " << timer->at << '\n';
        }
    }
    const bool nothing_is_left = balancer.resource_usage().requests == 0;
    return attempt == 2 && nothing_is_left ? 0 : 1;
}
