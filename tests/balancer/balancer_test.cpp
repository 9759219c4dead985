// Tests the decisions of the whole module, one in each test.
#include <limits>
#include <set>
#include <stdexcept>

#include "rig.hpp"

namespace elmbay::balancer::test {
namespace {

// Sends requests one after the other. Attempts at server `bad` end with `outcome`, attempts at other servers
// succeed.
void run(Rig& rig, int requests, ServerId bad, Outcome outcome, std::set<ServerId>* used = nullptr) {
    for (int i = 0; i < requests; ++i) {
        const RequestId id = rig.request();
        ASSERT_TRUE(rig.is_in_flight(id));
        if (used) used->insert(rig.last_server(id));
        while (rig.is_in_flight(id)) rig.end(id, rig.last_server(id) == bad ? outcome : Outcome::success, 20);
    }
}

// Returns a sidecar whose list contains servers 1 to `servers`.
Rig fleet(ServerId servers, RequestClass request_class = make_class(Idempotency::idempotent),
          std::uint64_t seed = 1) {
    Rig rig(make_settings({request_class}), seed);
    rig.handle(Started{});
    rig.apply_list(ListKind::snapshot, make_servers(servers));
    return rig;
}

TEST(BalancerEjection, EjectsServerBelowMinSuccessRateForEjectionTime) {
    Rig rig = fleet(6);
    run(rig, 120, 2, Outcome::error_response);
    EXPECT_EQ(rig.ejection_count(), 1);
    std::set<ServerId> used;
    const Millis until = rig.now + 7000;
    while (rig.now < until) run(rig, 1, 2, Outcome::error_response, &used);
    EXPECT_EQ(used.count(2), 0U) << "the server stays ejected for the whole ejection time";
    EXPECT_EQ(used.size(), 5U);
}

TEST(BalancerEjection, KeepsServerWithTwoFailuresInAFullWindow) {
    Rig rig = fleet(4);
    run(rig, 200, 0, Outcome::success);
    int failed = 0;
    for (int i = 0; i < 40; ++i) {
        const RequestId id = rig.request();
        // 18 of 20 is 0.9, which is not below the threshold.
        const bool fails = rig.last_server(id) == 2 && failed < 2;
        failed += fails;
        rig.end(id, fails ? Outcome::error_response : Outcome::success, 20);
        while (rig.is_in_flight(id)) rig.end(id, Outcome::success, 20);
    }
    EXPECT_EQ(failed, 2);
    EXPECT_EQ(rig.ejection_count(), 0);
}

TEST(BalancerEjection, CountsRejectionsAndConnectionFailuresAsFailures) {
    for (const Outcome outcome : {Outcome::rejected, Outcome::connect_failed, Outcome::connection_reset}) {
        Rig rig = fleet(6);
        for (int i = 0; i < 40; ++i) {
            const std::vector<RequestId> ids = rig.burst(6);
            rig.now += 20;
            for (const RequestId id : ids) {
                while (rig.is_in_flight(id)) {
                    rig.end(id, rig.last_server(id) == 3 ? outcome : Outcome::success, 0);
                }
            }
        }
        EXPECT_EQ(rig.ejection_count(), 1) << static_cast<int>(outcome);
    }
}

TEST(BalancerEjection, IgnoresAttemptsOfDisconnectedClients) {
    Rig rig = fleet(4);
    for (int i = 0; i < 100; ++i) {
        const RequestId id = rig.request();
        rig.requests.at(id).client_disconnected = true;
        rig.handle(ClientDisconnected{id});
        rig.end(id, Outcome::cancelled, 20);
    }
    EXPECT_EQ(rig.ejection_count(), 0);
}

TEST(BalancerEjection, RestoresServerAfterOneSuccessfulProbe) {
    Rig rig = fleet(4);
    run(rig, 100, 2, Outcome::error_response);
    ASSERT_EQ(rig.ejection_count(), 1);
    rig.now += 15000;
    const std::vector<RequestId> ids = rig.burst(8);
    int probes = 0;
    for (const RequestId id : ids) probes += rig.last_server(id) == 2;
    EXPECT_EQ(probes, 1) << "half-open: one probe at a time";
    rig.complete_all(ids, 20);
    EXPECT_EQ(rig.logs.back(), "restored after a successful probe");
    run(rig, 30, 2, Outcome::success);
    EXPECT_EQ(rig.ejection_count(), 1) << "the server was restored with an empty window";
}

TEST(BalancerEjection, EjectsAgainAfterFailedProbe) {
    Rig rig = fleet(4);
    run(rig, 100, 2, Outcome::error_response);
    rig.now += 15000;
    run(rig, 20, 2, Outcome::error_response);  // the probe is among them
    std::set<ServerId> used;
    const Millis until = rig.now + 7000;
    while (rig.now < until) run(rig, 1, 2, Outcome::error_response, &used);
    EXPECT_EQ(used.count(2), 0U);
}

TEST(BalancerEjection, KeepsHalfOfTheServersWhenMostFail) {
    Rig rig = fleet(6);
    run(rig, 200, 0, Outcome::success);
    // The servers start to fail one after the other, so that each differs from the rest.
    for (ServerId bad = 1; bad <= 4; ++bad) {
        for (int i = 0; i < 100; ++i) {
            const RequestId id = rig.request();
            while (rig.is_in_flight(id)) {
                rig.end(id, rig.last_server(id) <= bad ? Outcome::error_response : Outcome::success, 10);
            }
        }
    }
    EXPECT_EQ(rig.ejection_count(), 3);
}

TEST(BalancerEjection, EjectsNoServerWhenAllServersAreSlow) {
    Rig rig = fleet(6);
    run(rig, 200, 0, Outcome::success);
    for (int i = 0; i < 100; ++i) {
        const RequestId id = rig.request();
        if (rig.is_in_flight(id)) rig.end(id, Outcome::success, 600);  // later than the objective of 400
    }
    EXPECT_EQ(rig.ejection_count(), 0);
}

TEST(BalancerPick, PrefersServerWithFewerInFlight) {
    Rig rig = fleet(2);
    for (int i = 0; i < 20; ++i) {
        const std::vector<RequestId> pair = rig.burst(2);
        EXPECT_NE(rig.last_server(pair[0]), rig.last_server(pair[1]));
        rig.complete_all(pair, 20);
    }
}

TEST(BalancerPick, PrefersQuickerServerOnTies) {
    Rig rig = fleet(2);
    std::vector<int> attempts_by_server(3);
    for (int i = 0; i < 200; ++i) {
        const RequestId id = rig.request();
        ++attempts_by_server[rig.last_server(id)];
        rig.end(id, Outcome::success, rig.last_server(id) == 1 ? 200 : 40);
    }
    EXPECT_GT(attempts_by_server[2], 2 * attempts_by_server[1]);
}

TEST(BalancerEndpointList, IncrementalListChangesAndSnapshotReplaces) {
    Rig rig = fleet(2);
    rig.apply_list(ListKind::incremental,
                   {{3, 0, 0, 0, EndpointState::active, 0}, {1, 0, 0, 0, EndpointState::removed, 0}});
    std::set<ServerId> used;
    run(rig, 60, 0, Outcome::success, &used);
    EXPECT_EQ(used, (std::set<ServerId>{2, 3}));
    rig.apply_list(ListKind::snapshot, {{4, 0, 0, 0, EndpointState::active, 0}});
    used.clear();
    run(rig, 10, 0, Outcome::success, &used);
    EXPECT_EQ(used, (std::set<ServerId>{4}));
}

TEST(BalancerEndpointList, FailedCallKeepsTheListAndIsRetriedLater) {
    Settings settings = make_settings();
    settings.requires_subscription = true;
    Rig rig(settings);
    rig.handle(Started{});
    EXPECT_EQ(rig.count<Subscribe>(), 1);
    rig.apply_list(ListKind::cached, make_servers(2));
    rig.handle(ServerList{ListKind::failed, {}});
    ASSERT_EQ(rig.count<SetTimer>(), 1);
    const TimerToken token = rig.timers.begin()->second;
    EXPECT_GT(rig.timers.begin()->first, rig.now);
    rig.timers.clear();
    const RequestId id = rig.request();
    EXPECT_TRUE(rig.is_in_flight(id));
    rig.handle(TimerFired{token});
    EXPECT_EQ(rig.count<Subscribe>(), 1);
}

TEST(BalancerEndpointList, RestartedServerStartsWithEmptyWindow) {
    Rig rig = fleet(4);
    run(rig, 100, 2, Outcome::error_response);
    ASSERT_EQ(rig.ejection_count(), 1);
    rig.apply_list(ListKind::incremental, {{2, 2, 0, 0, EndpointState::active, rig.now - 40000}});
    std::set<ServerId> used;
    run(rig, 40, 0, Outcome::success, &used);
    EXPECT_EQ(used.count(2), 1U);
}

// Rule 4: a server in slow start is sent a share of requests that depends on its age.
TEST(BalancerSlowStart, SendsServerInSlowStartLessThanItsEvenShare) {
    Rig rig = fleet(4);
    run(rig, 400, 0, Outcome::success);
    rig.apply_list(ListKind::incremental, {{4, 1, 0, 0, EndpointState::active, rig.now - 1}});
    int sent_in_slow_start = 0;
    for (int i = 0; i < 200; ++i) {  // 4 s, in which the server has a fifth of its capacity or slightly more
        const RequestId id = rig.request();
        sent_in_slow_start += rig.last_server(id) == 4;
        rig.end(id, Outcome::success, 20);
    }
    EXPECT_GT(sent_in_slow_start, 0);
    EXPECT_LT(sent_in_slow_start, 45) << "an even share would be 50";
}

// ---- One sidecar of many --------------------------------------------------------------------------------

Settings one_of_many(std::uint32_t siblings,
                     RequestClass request_class = make_class(Idempotency::idempotent)) {
    Settings settings = make_settings({request_class});
    settings.siblings = siblings;
    return settings;
}

TEST(BalancerAperture, SidecarWithLightTrafficUsesFewServersAndReplacesRemovedOnes) {
    Rig rig(one_of_many(1000));
    rig.apply_list(ListKind::snapshot, make_servers(40));
    std::set<ServerId> used;
    for (int i = 0; i < 100; ++i, rig.now += 500) run(rig, 1, 0, Outcome::success, &used);
    EXPECT_LE(used.size(), 5U);
    EXPECT_GE(used.size(), 2U);
    rig.apply_list(ListKind::incremental, {{*used.begin(), 0, 0, 0, EndpointState::removed, 0}});
    std::set<ServerId> after;
    for (int i = 0; i < 100; ++i, rig.now += 500) run(rig, 1, 0, Outcome::success, &after);
    EXPECT_EQ(after.count(*used.begin()), 0U);
    EXPECT_GE(after.size(), used.size()) << "the server of the next rank has joined the pool";
}

TEST(BalancerAperture, SidecarsDrawDifferentPoolsAndHeavyTrafficWidensThePool) {
    std::set<ServerId> all;
    std::set<ServerId> busy;
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        Rig rig(one_of_many(1000), seed);
        rig.apply_list(ListKind::snapshot, make_servers(40));
        for (int i = 0; i < 10; ++i, rig.now += 500) run(rig, 1, 0, Outcome::success, &all);
    }
    EXPECT_GT(all.size(), 30U) << "if all sidecars used the same few servers, these would be overloaded";
    Rig rig(one_of_many(1000));
    rig.apply_list(ListKind::snapshot, make_servers(40));
    run(rig, 2000, 0, Outcome::success, &busy);
    EXPECT_GT(busy.size(), 15U);
}

TEST(BalancerEjection, EjectsAfterTwoFailuresUnderLightTraffic) {
    Rig rig(one_of_many(1000));
    rig.apply_list(ListKind::snapshot, make_servers(40));
    const RequestId first = rig.request();
    const ServerId bad = rig.last_server(first);
    rig.end(first, Outcome::error_response);
    EXPECT_EQ(rig.ejection_count(), 0) << "one failure may be random";
    for (int i = 0; i < 300 && rig.ejection_count() == 0; ++i, rig.now += 300) {
        run(rig, 1, bad, Outcome::error_response);
    }
    EXPECT_EQ(rig.ejection_count(), 1);
}

// Rule 4: a minimum of probes for each sidecar must not add up to a load that overloads a server in slow
// start.
TEST(BalancerSlowStart, SidecarsShareTheProbesOfAServerInSlowStart) {
    int sent = 0;
    const std::uint32_t siblings = 400;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {  // a tenth of the sidecars
        Rig rig(one_of_many(siblings), seed);
        rig.apply_list(ListKind::snapshot, {{1, 0, 0, 0, EndpointState::active, rig.now - 1}});
        for (int i = 0; i < 200; ++i, rig.now += 100) {  // 20 s of requests that wait for the server
            const RequestId id = rig.request(0, 90);
            if (!rig.is_in_flight(id)) continue;
            ++sent;
            rig.end(id, Outcome::success, 0);
        }
    }
    EXPECT_LE(sent, 8) << "all 400 sidecars together may send 4 probes in 10 s; a tenth of them sends a "
                          "tenth of that, with random variation";
}

TEST(BalancerAdmission, SidecarWithLightTrafficAdmitsSomeRequestsWhileServersAreSlow) {
    Rig rig(one_of_many(1000));
    rig.apply_list(ListKind::snapshot, make_servers(40));
    const auto sent = [&](int requests, Millis duration) {
        int count = 0;
        for (int i = 0; i < requests; ++i) {
            const RequestId id = rig.request(0, 2000);
            rig.advance(30);  // the request may have waited
            if (rig.is_in_flight(id)) {
                ++count;
                rig.end(id, Outcome::success, duration);
            }
            rig.advance(300);
        }
        return count;
    };
    const int under_overload = sent(200, 700);  // far later than the objective of 400
    EXPECT_LT(under_overload, 150) << "a thousand sidecars with one attempt each would overload the servers";
    EXPECT_GT(under_overload, 20) << "probes continue";
    sent(150, 40);
    EXPECT_EQ(sent(50, 40), 50) << "responses are fast again: no request is rejected";
}

TEST(BalancerAdmission, RejectsAtOnceWhenAnImmediateResponseIsNeeded) {
    Rig rig = fleet(4);
    const RequestId id = rig.next_id++;
    rig.requests[id] = {rig.settings.classes[0], rig.now + 1000, {}, 0, false, false};
    RequestArrived event{id, 0, {}, 1000, 0, false};
    event.needs_immediate_response = true;
    rig.handle(event);
    EXPECT_TRUE(rig.requests.at(id).rejected);
    EXPECT_EQ(rig.attempt_count(id), 0U) << "the driver needs the final response at once";
    EXPECT_EQ(rig.count<SetTimer>(), 0) << "the request has ended";
    rig.finish_all();
}

TEST(BalancerAttemptDeadline, EqualsLatencyObjectiveOnlyForNonIdempotentClassWithoutLateWeight) {
    const auto until = [](Idempotency idempotency, double late_weight, std::uint32_t siblings = 1000) {
        RequestClass request_class = make_class(idempotency);
        request_class.late_weight = late_weight;
        Rig rig(one_of_many(siblings, request_class));
        rig.apply_list(ListKind::snapshot, make_servers(20));
        const RequestId id = rig.request(0, 1000);
        return rig.requests.at(id).attempts.back().deadline - rig.now;
    };
    EXPECT_EQ(until(Idempotency::non_idempotent, 0), 400);
    EXPECT_EQ(until(Idempotency::non_idempotent, 0.3), 1000)
        << "a late response still earns a part of the weight";
    EXPECT_EQ(until(Idempotency::idempotent, 0), 1000) << "clients would retry the request";
    EXPECT_EQ(until(Idempotency::non_idempotent, 0, 3), 1000)
        << "with few sidecars, each must count the work that continues at the servers";
}

TEST(BalancerPick, AvoidsSlowMachineTypeBeforeEachOfItsServersIsMeasured) {
    Rig rig(make_settings());
    std::vector<ServerInfo> servers = make_servers(20);
    for (ServerInfo& server : servers) server.machine_type = server.id % 2;
    rig.apply_list(ListKind::snapshot, servers);
    int slow_type = 0;
    for (int i = 0; i < 60; ++i) {
        const RequestId id = rig.request();
        if (i >= 10) slow_type += rig.last_server(id) % 2;
        rig.end(id, Outcome::success, rig.last_server(id) % 2 ? 160 : 40);
    }
    EXPECT_LT(slow_type, 18) << "a random choice would give 25";
}

// Under light traffic there are no queues to compare: without weights, a small machine would be sent as many
// requests as a large one.
TEST(BalancerPick, SendsSmallServersTheirShareByWeight) {
    Rig rig(make_settings());
    std::vector<ServerInfo> servers = make_servers(12);
    for (ServerInfo& server : servers) server.weight = server.id <= 6 ? 1 : 16;
    rig.apply_list(ListKind::snapshot, servers);
    int small_server = 0;
    for (int i = 0; i < 400; ++i) {
        const RequestId id = rig.request();
        small_server += rig.last_server(id) <= 6;
        rig.end(id, Outcome::success, 40);
    }
    EXPECT_GT(small_server, 0);
    EXPECT_LT(small_server, 50) << "their share of the weight is 6 of 102; drawn with equal probability and "
                                   "compared by size, it would be 5 of 22";
}

TEST(BalancerFairness, TenantFarBeyondItsQuotaGetsLessWhileServersAreBusy) {
    Settings settings = one_of_many(1000);
    settings.tenants = {{10}, {10}};
    Rig rig(settings);
    rig.apply_list(ListKind::snapshot, make_servers(2));
    std::vector<int> arrived(2);
    std::vector<int> admitted(2);
    for (int i = 0; i < 600; ++i) {
        // Tenant 0 sends five sixths of the traffic with half of the quotas.
        const std::uint32_t tenant = i % 6 == 0 ? 1 : 0;
        const RequestId id = rig.next_id++;
        rig.requests[id] = {settings.classes[0], rig.now + 1500, {}, 0, false, false};
        rig.handle(RequestArrived{id, 0, tenant, 1500});
        ++arrived[tenant];
        admitted[tenant] += rig.is_in_flight(id);
        // Responses take 0.65 of the objective, so the pool is busy.
        if (rig.is_in_flight(id)) rig.end(id, Outcome::success, 260);
        rig.advance(20);
    }
    const double first = 1.0 * admitted[0] / arrived[0];
    const double second = 1.0 * admitted[1] / arrived[1];
    EXPECT_LT(first, 0.9 * second);
}

// ---- Bad input ------------------------------------------------------------------------------------------

TEST(BalancerInput, IgnoresNonFiniteTimesAndTimesThatGoBack) {
    const double infinity = std::numeric_limits<double>::infinity(),
                 not_a_number = std::numeric_limits<double>::quiet_NaN();
    Rig rig = fleet(3);
    std::vector<Action> actions;
    for (const double bad : {infinity, -infinity, not_a_number, -5.0, 0.0}) {
        rig.balancer.handle(bad, ClientDisconnected{77}, actions);
    }
    EXPECT_TRUE(actions.empty());
    const RequestId id = rig.request();
    ASSERT_TRUE(rig.is_in_flight(id));
    EXPECT_EQ(rig.requests.at(id).attempts.back().deadline, rig.now + 1000);
    rig.end(id, Outcome::success);
    for (const double bad : {infinity, not_a_number, -7.0}) {
        actions.clear();
        rig.balancer.handle(rig.now, RequestArrived{static_cast<RequestId>(900), 0, {}, bad}, actions);
        ASSERT_FALSE(actions.empty());
        for (const Action& action : actions) {
            EXPECT_FALSE(std::holds_alternative<StartAttempt>(action)) << "the request has no time left";
        }
        rig.balancer.handle(rig.now, ClientDisconnected{900}, actions);
    }
    EXPECT_EQ(rig.balancer.resource_usage().requests, 0U);
}

TEST(BalancerInput, IgnoresEventsAboutUnknownRequestsAndAttempts) {
    Rig rig = fleet(3);
    std::vector<Action> actions;
    rig.balancer.handle(rig.now, AttemptEnded{55, 0}, actions);
    rig.balancer.handle(rig.now, ResponseStarted{55, 3}, actions);
    rig.balancer.handle(rig.now, TimerFired{12345}, actions);
    EXPECT_TRUE(actions.empty());
    const RequestId id = rig.request();
    rig.balancer.handle(rig.now, RequestArrived{id, 0, 9, 1000}, actions);
    rig.balancer.handle(rig.now, AttemptEnded{id, 7}, actions);
    EXPECT_TRUE(actions.empty()) << "the id exists already, and the attempt does not exist";
    rig.end(id, Outcome::success);
    rig.balancer.handle(rig.now, AttemptEnded{id, 0}, actions);
    EXPECT_TRUE(actions.empty());
}

TEST(BalancerInput, AcceptsEmptyListsAndDuplicateServers) {
    Rig rig = fleet(2);
    rig.apply_list(ListKind::snapshot, {});
    const RequestId id = rig.request(0, 300);
    EXPECT_FALSE(rig.is_in_flight(id));
    rig.apply_list(ListKind::snapshot,
                   {{5, 0, 0, 0, EndpointState::active, 0}, {5, 0, 0, 0, EndpointState::active, 0}});
    EXPECT_EQ(rig.balancer.resource_usage().servers, 1U);
    run(rig, 5, 0, Outcome::success);
    rig.finish_all();
}

// Without purge_ended(), the queue would grow by one entry for each request while there is no server.
TEST(BalancerInput, WaitQueueStaysBoundedWithoutServers) {
    Rig rig = fleet(2);
    rig.apply_list(ListKind::snapshot, {});
    for (int i = 0; i < 5000; ++i) {
        rig.request(0, 300);
        rig.advance(5);
        ASSERT_LE(rig.balancer.resource_usage().waiting, 2 * rig.balancer.resource_usage().requests + 64);
    }
    const RequestId last = rig.request(0, 300);
    rig.apply_list(ListKind::snapshot, make_servers(1));
    EXPECT_TRUE(rig.is_in_flight(last)) << "the waiting request is still in the queue";
    rig.end(last, Outcome::success);
    rig.finish_all();
}

TEST(BalancerSettings, ThrowsInvalidSettingWithItsName) {
    const auto error_message = [](auto change) {
        Settings settings = make_settings();
        change(settings);
        try {
            Balancer(settings, 1);
        } catch (const InvalidSetting& error) {
            EXPECT_EQ(error.what(), "elmbay: invalid setting: " + error.setting());
            return std::string(error.what());
        }
        return std::string("accepted");
    };
    const auto expect_rejected = [&](auto change, const std::string& setting) {
        EXPECT_NE(error_message(change).find(setting), std::string::npos)
            << setting << ": " << error_message(change);
    };
    expect_rejected([](Settings& settings) { settings.classes.clear(); }, "classes");
    expect_rejected([](Settings& settings) { settings.classes[0].latency_objective = 0; }, "classes[0].aim");
    expect_rejected(
        [](Settings& settings) {
            settings.classes[0].latency_objective = std::numeric_limits<double>::quiet_NaN();
        },
        "classes[0].aim");
    expect_rejected([](Settings& settings) { settings.classes[0].priority_weight = -1; }, "classes[0].worth");
    expect_rejected([](Settings& settings) { settings.classes[0].dedup_window = -1; },
                    "classes[0].dedup_window");
    expect_rejected([](Settings& settings) { settings.classes[0].late_weight = 2; }, "classes[0].late_worth");
    expect_rejected([](Settings& settings) { settings.tenants = {{1}, {-1}}; }, "tenants[1].quota");
    expect_rejected([](Settings& settings) { settings.max_attempts = 0; }, "max_attempts");
    expect_rejected([](Settings& settings) { settings.slow_start_min_share = 1.5; }, "cold_from");
    expect_rejected([](Settings& settings) { settings.overload_multiple = 0; }, "fall_multiple");
    expect_rejected([](Settings& settings) { settings.slow_start_duration = -5; }, "warm_within");
    expect_rejected(
        [](Settings& settings) { settings.costs.cross_zone = std::numeric_limits<double>::quiet_NaN(); },
        "fees.cross_zone");
    EXPECT_EQ(error_message([](Settings&) {}), "accepted");
}

// The module's own timer for the client's deadline may fire before the driver's timer for the attempt,
// because both are due at the same time. The server has failed in both cases.
TEST(BalancerEjection, EjectsServerWhoseAttemptsAreCancelledAtTheDeadline) {
    Rig rig(make_settings());
    rig.apply_list(ListKind::snapshot, make_servers(4));
    // The other servers have attempts in flight, so server 1 is chosen whenever it is drawn.
    for (int i = 0; i < 40; ++i) {
        const RequestId id = rig.request(0, 1e6);
        if (rig.last_server(id) == 1) rig.end(id, Outcome::success, 0);
    }
    for (int i = 0; i < 100 && rig.ejection_count() == 0; ++i) {
        const RequestId id = rig.request(0, 500);
        if (rig.last_server(id) != 1) {  // server 1 was not drawn
            rig.end(id, Outcome::success, 0);
            continue;
        }
        rig.now += 500;
        int cancelled = 0;
        while (!rig.timers.empty() && rig.timers.begin()->first <= rig.now) {
            const TimerToken token = rig.timers.begin()->second;
            rig.timers.erase(rig.timers.begin());
            rig.handle(TimerFired{token});
            cancelled += rig.count<Cancel>();
        }
        ASSERT_EQ(cancelled, 1);
        rig.end(id, Outcome::cancelled, 0);
    }
    EXPECT_EQ(rig.ejection_count(), 1);
}

// With fewer sidecars, each has more servers in its pool. A count of 0 has no effect.
TEST(BalancerAperture, PoolSizeDependsOnTheNumberOfSidecars) {
    Settings settings = make_settings();
    settings.siblings = 1000;
    Rig rig(settings);
    rig.apply_list(ListKind::snapshot, make_servers(60));
    const auto pool_size = [&] {
        std::set<ServerId> used;
        for (int i = 0; i < 200; ++i) {
            const RequestId id = rig.request();
            used.insert(rig.last_server(id));
            rig.end(id, Outcome::success);
            rig.advance(450);  // two requests per second do not widen the pool
        }
        return used.size();
    };
    EXPECT_LE(pool_size(), 6U);
    rig.handle(SiblingCountChanged{2});
    EXPECT_GT(pool_size(), 40U);
    rig.handle(SiblingCountChanged{0});
    EXPECT_GT(pool_size(), 40U);
    rig.handle(SiblingCountChanged{1000});
    EXPECT_LE(pool_size(), 6U);
}

}  // namespace
}  // namespace elmbay::balancer::test
