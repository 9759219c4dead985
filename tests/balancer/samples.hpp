/// @file
/// Shared test data for the tests of single classes: settings, servers and attempts with fixed values.
#pragma once

#include <vector>

#include "balancer/request.hpp"
#include "balancer/server.hpp"

namespace elmbay::balancer::test {

/// The current time in the tests, in milliseconds on the module's clock.
constexpr Millis kNow = 1e6;

/// Returns settings with one idempotent class for each weight, with a latency objective of 400 ms, and a slow
/// start of 10 s.
inline Settings settings_of(std::uint32_t siblings, const std::vector<double>& priority_weights = {1}) {
    Settings settings;
    for (const double priority_weight : priority_weights) {
        RequestClass request_class;
        request_class.idempotency = Idempotency::idempotent;
        request_class.latency_objective = 400;
        request_class.priority_weight = priority_weight;
        settings.classes.push_back(request_class);
    }
    settings.siblings = siblings;
    settings.max_attempts = 4;
    settings.slow_start_min_share = 0.2;
    settings.slow_start_duration = 10000;
    settings.overload_multiple = 2.5;
    return settings;
}

/// Returns a warm server without outcomes.
inline Server server_of(ServerId id, std::uint64_t rank = 0) {
    Server server;
    server.info.id = id;
    server.rank = rank;
    return server;
}

/// Returns an attempt that was sent 100 ms ago.
inline Attempt attempt_at(ServerId server, bool in_flight, bool may_have_run) {
    Attempt attempt;
    attempt.server = server;
    attempt.sent_at = kNow - 100;
    attempt.in_flight = in_flight;
    attempt.may_have_run = may_have_run;
    return attempt;
}

}  // namespace elmbay::balancer::test
