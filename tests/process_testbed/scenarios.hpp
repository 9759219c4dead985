// Scenarios that several process tests use. Each returns true if no invariant was violated. The correct
// program must pass every scenario, and a program with the failpoint that a scenario targets must fail it.
#pragma once

#include <gtest/gtest.h>

#include "process_testbed/process_testbed.hpp"

namespace elmbay::process_testbed {

inline Options small_testbed(std::size_t sidecars = 2, std::size_t servers = 2) {
    Options options;
    options.sidecars = sidecars, options.servers = servers;
    options.program = ELMBAY_PROGRAM;
    // Far longer than a busy machine needs, because these tests do not measure latency.
    options.request_deadline = 20000, options.latency_objective = 10000;
    return options;
}

// Freezes a sidecar with forty open requests, half of them unread. Meanwhile their clients disconnect and the
// connections of the attempts in flight are reset, so that on resuming the sidecar has failed attempts to
// retry but no client that waits for them.
inline bool run_freeze_with_forty_requests(ProcessTestbed& testbed) {
    ServerEmulator &first_server = testbed.server(0), &second_server = testbed.server(1);
    first_server.behavior = second_server.behavior = ServerBehavior::hold;
    std::vector<std::string> ids;
    for (int i = 0; i < 20; ++i) ids.push_back(testbed.send_request(0, ClientRequest{"listen", 20000, 800}));
    if (!testbed.run_until([&] {
            return first_server.held_requests() + second_server.held_requests() >=
                   testbed.request_history().open_requests();
        }))
        return false;
    testbed.freeze(0);
    for (int i = 0; i < 20; ++i) ids.push_back(testbed.send_request(0, ClientRequest{"listen", 20000, 800}));
    const auto all_ended = [&] {
        return std::all_of(ids.begin(), ids.end(), [&](const auto& id) { return testbed.has_ended(id); });
    };
    if (!testbed.run_until(all_ended)) return false;
    testbed.link("n-0", "s-0").reset_all();
    testbed.link("n-0", "s-1").reset_all();
    // The history's tolerance counts from the time when the clients disconnected.
    if (!testbed.run_for(2 * RequestHistory::kTolerance)) return false;
    first_server.behavior = second_server.behavior = ServerBehavior::serve;
    const auto received_before = first_server.received_requests() + second_server.received_requests();
    testbed.thaw(0);
    const std::string last_id = testbed.send_request(0, "listen");
    if (!testbed.run_until([&] { return testbed.has_ended(last_id); }) || !testbed.run_until_idle())
        return false;
    return first_server.received_requests() + second_server.received_requests() == received_before + 1;
}

// Cuts the responses to deposits after the server has processed them.
inline bool run_truncated_deposit_responses(ProcessTestbed& testbed) {
    fault_proxy::Rule cut;
    cut.name = "cut", cut.type = fault_proxy::FaultType::reset, cut.from = {"s-*"}, cut.to = {"n-0"};
    cut.trigger = fault_proxy::Trigger::at_byte, cut.trigger_byte = 9;
    testbed.context().put_rule(cut);
    for (int i = 0; i < 5; ++i) {
        const std::string id = testbed.send_request(0, "deposit");
        if (!testbed.run_until([&] { return testbed.has_ended(id); })) return false;
    }
    return testbed.run_until_idle();
}

// Makes the servers slower than the tolerance, so that overlapping attempts are detected.
inline bool run_slow_responses(ProcessTestbed& testbed) {
    testbed.server(0).delay = testbed.server(1).delay = 3 * RequestHistory::kTolerance;
    for (int i = 0; i < 10; ++i) testbed.send_request(0, i % 2 ? "listen" : "annotate");
    return testbed.run_until_idle();
}

// Opens and resets many connections. The descriptors that the process holds must not exceed those that its
// status counts plus its reserve.
inline bool run_repeated_connection_resets(ProcessTestbed& testbed) {
    for (int i = 0; i < 60; ++i) {
        const std::string id = testbed.send_request(0, "listen");
        if (!testbed.run_until([&] { return testbed.has_ended(id); })) return false;
        testbed.link("n-0", "s-0").reset_all();
        testbed.link("n-0", "s-1").reset_all();
    }
    return testbed.run_until_idle() && testbed.descriptors_are_accounted_for(0);
}

}  // namespace elmbay::process_testbed
