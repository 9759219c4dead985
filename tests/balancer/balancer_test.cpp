// The mechanism and its exceptions, one decision a test: each fails when that decision is broken.
#include <limits>
#include <set>
#include <stdexcept>

#include "rig.hpp"

namespace elmbay::balancer::test {
namespace {

// Answers the request, whatever server has it, until it fails at `bad` as asked for.
void run(Rig& rig, int requests, ServerId bad, Outcome outcome, std::set<ServerId>* used = nullptr) {
    for (int i = 0; i < requests; ++i) {
        const RequestId id = rig.request();
        ASSERT_TRUE(rig.out(id));
        if (used) used->insert(rig.where(id));
        while (rig.out(id)) rig.end(id, rig.where(id) == bad ? outcome : Outcome::success, 20);
    }
}

Rig fleet(ServerId servers, RequestClass kind = make_class(Idempotency::idempotent), std::uint64_t seed = 1) {
    Rig rig(make_settings({kind}), seed);
    rig.give(Started{});
    rig.list(ListKind::snapshot, make_servers(servers));
    return rig;
}

TEST(Ejection, AServerBelowTheThresholdLeavesThePoolForTheBackoff) {
    Rig rig = fleet(6);
    run(rig, 120, 2, Outcome::error_response);
    EXPECT_EQ(rig.removals(), 1);
    std::set<ServerId> used;
    const Millis until = rig.now + 7000;
    while (rig.now < until) run(rig, 1, 2, Outcome::error_response, &used);
    EXPECT_EQ(used.count(2), 0U) << "it is out for the whole backoff";
    EXPECT_EQ(used.size(), 5U);
}

TEST(Ejection, OneFailureInAWindowIsNotEnough) {
    Rig rig = fleet(4);
    run(rig, 200, 0, Outcome::success);
    int failed = 0;
    for (int i = 0; i < 40; ++i) {
        const RequestId id = rig.request();
        const bool fails = rig.where(id) == 2 && failed < 2;  // 18 of 20 is 0.9: not below it
        failed += fails;
        rig.end(id, fails ? Outcome::error_response : Outcome::success, 20);
        while (rig.out(id)) rig.end(id, Outcome::success, 20);
    }
    EXPECT_EQ(failed, 2);
    EXPECT_EQ(rig.removals(), 0);
}

TEST(Ejection, RefusalsAsFullAndFailedConnectionsCountAsFailures) {
    for (const Outcome outcome : {Outcome::rejected, Outcome::connect_failed, Outcome::connection_reset}) {
        Rig rig = fleet(6);
        for (int i = 0; i < 40; ++i) {
            const std::vector<RequestId> ids = rig.burst(6);
            rig.now += 20;
            for (const RequestId id : ids)
                while (rig.out(id)) rig.end(id, rig.where(id) == 3 ? outcome : Outcome::success, 0);
        }
        EXPECT_EQ(rig.removals(), 1) << static_cast<int>(outcome);
    }
}

TEST(Ejection, WhatSaysNothingOfTheServerIsNotCounted) {
    Rig rig = fleet(4);
    for (int i = 0; i < 100; ++i) {
        const RequestId id = rig.request();
        rig.requests.at(id).gone = true;
        rig.give(ClientDisconnected{id});
        rig.end(id, Outcome::cancelled, 20);
    }
    EXPECT_EQ(rig.removals(), 0);
}

TEST(Trial, OneRealRequestGoesThroughAndItsSuccessRestores) {
    Rig rig = fleet(4);
    run(rig, 100, 2, Outcome::error_response);
    ASSERT_EQ(rig.removals(), 1);
    rig.now += 15000;
    const std::vector<RequestId> ids = rig.burst(8);
    int trials = 0;
    for (const RequestId id : ids) trials += rig.where(id) == 2;
    EXPECT_EQ(trials, 1) << "half open: one at a time";
    rig.serve(ids, 20);
    EXPECT_EQ(rig.logs.back(), "restored after a trial");
    run(rig, 30, 2, Outcome::success);
    EXPECT_EQ(rig.removals(), 1) << "it returned with a fresh window";
}

TEST(Trial, ItsFailureStartsAnotherBackoff) {
    Rig rig = fleet(4);
    run(rig, 100, 2, Outcome::error_response);
    rig.now += 15000;
    run(rig, 20, 2, Outcome::error_response);  // the trial is among them
    std::set<ServerId> used;
    const Millis until = rig.now + 7000;
    while (rig.now < until) run(rig, 1, 2, Outcome::error_response, &used);
    EXPECT_EQ(used.count(2), 0U);
}

TEST(Panic, HalfOfThePoolStaysWhateverItsWindowsSay) {
    Rig rig = fleet(6);
    run(rig, 200, 0, Outcome::success);
    for (ServerId bad = 1; bad <= 4; ++bad)  // one after the other, so that each stands out from the rest
        for (int i = 0; i < 100; ++i) {
            const RequestId id = rig.request();
            while (rig.out(id))
                rig.end(id, rig.where(id) <= bad ? Outcome::error_response : Outcome::success, 10);
        }
    EXPECT_EQ(rig.removals(), 3);
}

TEST(Panic, SlownessSharedByAllRemovesNobody) {
    Rig rig = fleet(6);
    run(rig, 200, 0, Outcome::success);
    for (int i = 0; i < 100; ++i) {
        const RequestId id = rig.request();
        if (rig.out(id)) rig.end(id, Outcome::success, 600);  // past the objective of 400
    }
    EXPECT_EQ(rig.removals(), 0);
}

TEST(Pick, OfTwoTheOneWithFewerOutstandingWins) {
    Rig rig = fleet(2);
    for (int i = 0; i < 20; ++i) {
        const std::vector<RequestId> pair = rig.burst(2);
        EXPECT_NE(rig.where(pair[0]), rig.where(pair[1]));
        rig.serve(pair, 20);
    }
}

TEST(Pick, AmongEqualsTheQuickerWins) {
    Rig rig = fleet(2);
    std::vector<int> taken(3);
    for (int i = 0; i < 200; ++i) {
        const RequestId id = rig.request();
        ++taken[rig.where(id)];
        rig.end(id, Outcome::success, rig.where(id) == 1 ? 200 : 40);
    }
    EXPECT_GT(taken[2], 2 * taken[1]);
}

TEST(List, IncrementalAddsAndRemovesAndFullReplaces) {
    Rig rig = fleet(2);
    rig.list(ListKind::incremental,
             {{3, 0, 0, 0, EndpointState::active, 0}, {1, 0, 0, 0, EndpointState::removed, 0}});
    std::set<ServerId> used;
    run(rig, 60, 0, Outcome::success, &used);
    EXPECT_EQ(used, (std::set<ServerId>{2, 3}));
    rig.list(ListKind::snapshot, {{4, 0, 0, 0, EndpointState::active, 0}});
    used.clear();
    run(rig, 10, 0, Outcome::success, &used);
    EXPECT_EQ(used, (std::set<ServerId>{4}));
}

TEST(List, AFailedCallLeavesTheListAndIsRepeatedLater) {
    Settings s = make_settings();
    s.list_on_request = true;
    Rig rig(s);
    rig.give(Started{});
    EXPECT_EQ(rig.count<Subscribe>(), 1);
    rig.list(ListKind::cached, make_servers(2));
    rig.give(ServerList{ListKind::failed, {}});
    ASSERT_EQ(rig.count<SetTimer>(), 1);
    const TimerToken token = rig.timers.begin()->second;
    EXPECT_GT(rig.timers.begin()->first, rig.now);
    rig.timers.clear();
    const RequestId id = rig.request();
    EXPECT_TRUE(rig.out(id));
    rig.give(TimerFired{token});
    EXPECT_EQ(rig.count<Subscribe>(), 1);
}

TEST(List, ARestartedServerBeginsWithACleanRecord) {
    Rig rig = fleet(4);
    run(rig, 100, 2, Outcome::error_response);
    ASSERT_EQ(rig.removals(), 1);
    rig.list(ListKind::incremental, {{2, 2, 0, 0, EndpointState::active, rig.now - 40000}});
    std::set<ServerId> used;
    run(rig, 40, 0, Outcome::success, &used);
    EXPECT_EQ(used.count(2), 1U);
}

// Rule 4: what one sidecar of many sends to a cold server must shrink with their number.
TEST(SlowStart, AColdServerGetsLessThanItsEvenShare) {
    Rig rig = fleet(4);
    run(rig, 400, 0, Outcome::success);
    rig.list(ListKind::incremental, {{4, 1, 0, 0, EndpointState::active, rig.now - 1}});
    int to_cold = 0;
    for (int i = 0; i < 200; ++i) {  // 4 s: a fifth of the capacity and rising
        const RequestId id = rig.request();
        to_cold += rig.where(id) == 4;
        rig.end(id, Outcome::success, 20);
    }
    EXPECT_GT(to_cold, 0);
    EXPECT_LT(to_cold, 45) << "an even share would be 50";
}

// ---- Exceptions at full size ----------------------------------------------------------------------------

Settings one_of_many(std::uint32_t siblings, RequestClass kind = make_class(Idempotency::idempotent)) {
    Settings s = make_settings({kind});
    s.siblings = siblings;
    return s;
}

TEST(Aperture, ALightSidecarOfManyKeepsToAFewServersAndReplacesThem) {
    Rig rig(one_of_many(1000));
    rig.list(ListKind::snapshot, make_servers(40));
    std::set<ServerId> used;
    for (int i = 0; i < 100; ++i, rig.now += 500) run(rig, 1, 0, Outcome::success, &used);
    EXPECT_LE(used.size(), 5U);
    EXPECT_GE(used.size(), 2U);
    rig.list(ListKind::incremental, {{*used.begin(), 0, 0, 0, EndpointState::removed, 0}});
    std::set<ServerId> after;
    for (int i = 0; i < 100; ++i, rig.now += 500) run(rig, 1, 0, Outcome::success, &after);
    EXPECT_EQ(after.count(*used.begin()), 0U);
    EXPECT_GE(after.size(), used.size()) << "the next in rank has come in";
}

TEST(Aperture, SidecarsDifferAndABusyOneSpreadsWide) {
    std::set<ServerId> all, busy;
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        Rig rig(one_of_many(1000), seed);
        rig.list(ListKind::snapshot, make_servers(40));
        for (int i = 0; i < 10; ++i, rig.now += 500) run(rig, 1, 0, Outcome::success, &all);
    }
    EXPECT_GT(all.size(), 30U) << "the same few for all would be a crowd";
    Rig rig(one_of_many(1000));
    rig.list(ListKind::snapshot, make_servers(40));
    run(rig, 2000, 0, Outcome::success, &busy);
    EXPECT_GT(busy.size(), 15U);
}

TEST(Ejection, ThinTrafficNeedsTwoFailuresNotThree) {
    Rig rig(one_of_many(1000));
    rig.list(ListKind::snapshot, make_servers(40));
    const RequestId first = rig.request();
    const ServerId bad = rig.where(first);
    rig.end(first, Outcome::error_response);
    EXPECT_EQ(rig.removals(), 0) << "one alone is chance";
    for (int i = 0; i < 300 && rig.removals() == 0; ++i, rig.now += 300)
        run(rig, 1, bad, Outcome::error_response);
    EXPECT_EQ(rig.removals(), 1);
}

// Rule 4: floors of a trial for each sidecar must not add up to a flood at a cold server.
TEST(SlowStart, TheFloorShrinksWithTheNumberOfSidecars) {
    int sent = 0;
    const std::uint32_t siblings = 400;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {  // a tenth of them
        Rig rig(one_of_many(siblings), seed);
        rig.list(ListKind::snapshot, {{1, 0, 0, 0, EndpointState::active, rig.now - 1}});
        for (int i = 0; i < 200; ++i, rig.now += 100) {  // 20 s of waiting traffic
            const RequestId id = rig.request(0, 90);
            if (rig.out(id)) ++sent, rig.end(id, Outcome::success, 0);
        }
    }
    EXPECT_LE(sent, 8) << "4 a backoff for all 400, so a tenth of that and chance";
}

TEST(Admission, ALightSidecarInAJamAdmitsSomeNotAll) {
    Rig rig(one_of_many(1000));
    rig.list(ListKind::snapshot, make_servers(40));
    const auto sent = [&](int requests, Millis duration) {
        int count = 0;
        for (int i = 0; i < requests; ++i) {
            const RequestId id = rig.request(0, 2000);
            rig.pass(30);  // it may have been held
            if (rig.out(id)) ++count, rig.end(id, Outcome::success, duration);
            rig.pass(300);
        }
        return count;
    };
    const int in_a_jam = sent(200, 700);  // far past the objective of 400
    EXPECT_LT(in_a_jam, 150) << "a thousand sidecars with one attempt each are a jam";
    EXPECT_GT(in_a_jam, 20) << "it goes on hearing from its servers";
    sent(150, 40);
    EXPECT_EQ(sent(50, 40), 50) << "answers are quick again: nothing is refused";
}

TEST(Admission, WhatTheDriverCantKeepIsRefusedAtOnce) {
    Rig rig = fleet(4);
    const RequestId id = rig.next_id++;
    rig.requests[id] = {rig.settings.classes[0], rig.now + 1000, {}, 0, false, false};
    RequestArrived event{id, 0, {}, 1000, 0, false};
    event.table_full = true;
    rig.give(event);
    EXPECT_TRUE(rig.requests.at(id).refused);
    EXPECT_EQ(rig.sends(id), 0U) << "its answer is the last that the driver can give it";
    EXPECT_EQ(rig.count<SetTimer>(), 0) << "nothing is left to wait for";
    rig.settle();
}

TEST(Cutoff, AnAttemptEndsAtTheAimOnlyWhereNothingIsLostByIt) {
    const auto until = [](Idempotency idempotency, double late_weight, std::uint32_t siblings = 1000) {
        RequestClass c = make_class(idempotency);
        c.late_weight = late_weight;
        Rig rig(one_of_many(siblings, c));
        rig.list(ListKind::snapshot, make_servers(20));
        const RequestId id = rig.request(0, 1000);
        return rig.requests.at(id).sent.back().until - rig.now;
    };
    EXPECT_EQ(until(Idempotency::non_idempotent, 0), 400);
    EXPECT_EQ(until(Idempotency::non_idempotent, 0.3), 1000) << "late is worth something";
    EXPECT_EQ(until(Idempotency::idempotent, 0), 1000) << "clients would repeat it";
    EXPECT_EQ(until(Idempotency::non_idempotent, 0, 3), 1000)
        << "of three sidecars each must keep count of what goes on";
}

TEST(Pick, ASlowKindIsKnownBeforeEachOfItsServersIs) {
    Rig rig(make_settings());
    std::vector<ServerInfo> servers = make_servers(20);
    for (ServerInfo& s : servers) s.machine_type = s.id % 2;
    rig.list(ListKind::snapshot, servers);
    int slow = 0;
    for (int i = 0; i < 60; ++i) {
        const RequestId id = rig.request();
        if (i >= 10) slow += rig.where(id) % 2;
        rig.end(id, Outcome::success, rig.where(id) % 2 ? 160 : 40);
    }
    EXPECT_LT(slow, 18) << "by chance it would be 25";
}

// Thin traffic shows no queues: without their sizes a small machine would be asked for as much as a large
// one.
TEST(Pick, FewerForItsSizeWins) {
    Rig rig(make_settings());
    std::vector<ServerInfo> servers = make_servers(12);
    for (ServerInfo& s : servers) s.weight = s.id <= 6 ? 1 : 16;
    rig.list(ListKind::snapshot, servers);
    int small = 0;
    for (int i = 0; i < 400; ++i) {
        const RequestId id = rig.request();
        small += rig.where(id) <= 6;
        rig.end(id, Outcome::success, 40);
    }
    EXPECT_GT(small, 0);
    EXPECT_LT(small, 50) << "their part is 6 of 102; drawn alike and compared by size it would be 5 of 22";
}

TEST(Fairness, InACrowdATenantFarBeyondItsShareGivesWay) {
    Settings s = one_of_many(1000);
    s.tenants = {{10}, {10}};
    Rig rig(s);
    rig.list(ListKind::snapshot, make_servers(2));
    std::vector<int> asked(2), taken(2);
    for (int i = 0; i < 600; ++i) {
        const std::uint32_t tenant = i % 6 == 0 ? 1 : 0;  // five sixths of the traffic, half of the quotas
        const RequestId id = rig.next_id++;
        rig.requests[id] = {s.classes[0], rig.now + 1500, {}, 0, false, false};
        rig.give(RequestArrived{id, 0, tenant, 1500});
        ++asked[tenant], taken[tenant] += rig.out(id);
        if (rig.out(id)) rig.end(id, Outcome::success, 260);  // crowded: 0.65 of the objective
        rig.pass(20);
    }
    const double first = 1.0 * taken[0] / asked[0], second = 1.0 * taken[1] / asked[1];
    EXPECT_LT(first, 0.9 * second);
}

// ---- Bad input ------------------------------------------------------------------------------------------

TEST(BadInput, TimesThatAreNotFiniteOrRunBackwardsDoNoHarm) {
    const double inf = std::numeric_limits<double>::infinity(),
                 nan = std::numeric_limits<double>::quiet_NaN();
    Rig rig = fleet(3);
    std::vector<Action> actions;
    for (const double bad : {inf, -inf, nan, -5.0, 0.0})
        rig.balancer.handle(bad, ClientDisconnected{77}, actions);
    EXPECT_TRUE(actions.empty());
    const RequestId id = rig.request();
    ASSERT_TRUE(rig.out(id));
    EXPECT_EQ(rig.requests.at(id).sent.back().until, rig.now + 1000);
    rig.end(id, Outcome::success);
    for (const double bad : {inf, nan, -7.0}) {
        actions.clear();
        rig.balancer.handle(rig.now, RequestArrived{static_cast<RequestId>(900), 0, {}, bad}, actions);
        ASSERT_FALSE(actions.empty());
        for (const Action& a : actions) {
            EXPECT_FALSE(std::holds_alternative<StartAttempt>(a)) << "no time left";
        }
        rig.balancer.handle(rig.now, ClientDisconnected{900}, actions);
    }
    EXPECT_EQ(rig.balancer.resource_usage().requests, 0U);
}

TEST(BadInput, EventsAboutUnknownOrRepeatedThingsHaveNoEffect) {
    Rig rig = fleet(3);
    std::vector<Action> actions;
    rig.balancer.handle(rig.now, AttemptEnded{55, 0}, actions);
    rig.balancer.handle(rig.now, FirstByte{55, 3}, actions);
    rig.balancer.handle(rig.now, TimerFired{12345}, actions);
    EXPECT_TRUE(actions.empty());
    const RequestId id = rig.request();
    rig.balancer.handle(rig.now, RequestArrived{id, 0, 9, 1000}, actions);
    rig.balancer.handle(rig.now, AttemptEnded{id, 7}, actions);
    EXPECT_TRUE(actions.empty()) << "an id given twice, an attempt never made";
    rig.end(id, Outcome::success);
    rig.balancer.handle(rig.now, AttemptEnded{id, 0}, actions);
    EXPECT_TRUE(actions.empty());
}

TEST(BadInput, EmptyAndDoubledListsAreSurvived) {
    Rig rig = fleet(2);
    rig.list(ListKind::snapshot, {});
    const RequestId id = rig.request(0, 300);
    EXPECT_FALSE(rig.out(id));
    rig.list(ListKind::snapshot,
             {{5, 0, 0, 0, EndpointState::active, 0}, {5, 0, 0, 0, EndpointState::active, 0}});
    EXPECT_EQ(rig.balancer.resource_usage().servers, 1U);
    run(rig, 5, 0, Outcome::success);
    rig.settle();
}

// Without purge_held() the list grows by one a request until a server comes.
TEST(BadInput, WithNoServerForLongTheListOfWaitingStaysShort) {
    Rig rig = fleet(2);
    rig.list(ListKind::snapshot, {});
    for (int i = 0; i < 5000; ++i) {
        rig.request(0, 300);
        rig.pass(5);
        ASSERT_LE(rig.balancer.resource_usage().waiting, 2 * rig.balancer.resource_usage().requests + 64);
    }
    const RequestId last = rig.request(0, 300);
    rig.list(ListKind::snapshot, make_servers(1));
    EXPECT_TRUE(rig.out(last)) << "the one that waits is still there";
    rig.end(last, Outcome::success);
    rig.settle();
}

TEST(Settings, SenselessOnesAreNamed) {
    const auto complaint = [](auto change) {
        Settings s = make_settings();
        change(s);
        try {
            Balancer(s, 1);
        } catch (const std::invalid_argument& error) {
            return std::string(error.what());
        }
        return std::string("accepted");
    };
    const auto names = [&](auto change, const std::string& setting) {
        EXPECT_NE(complaint(change).find(setting), std::string::npos) << setting << ": " << complaint(change);
    };
    names([](Settings& s) { s.classes.clear(); }, "classes");
    names([](Settings& s) { s.classes[0].latency_objective = 0; }, "classes[0].aim");
    names([](Settings& s) { s.classes[0].latency_objective = std::numeric_limits<double>::quiet_NaN(); },
          "classes[0].aim");
    names([](Settings& s) { s.classes[0].priority_weight = -1; }, "classes[0].worth");
    names([](Settings& s) { s.classes[0].dedup_window = -1; }, "classes[0].dedup_window");
    names([](Settings& s) { s.classes[0].late_weight = 2; }, "classes[0].late_worth");
    names([](Settings& s) { s.tenants = {{1}, {-1}}; }, "tenants[1].quota");
    names([](Settings& s) { s.max_attempts = 0; }, "max_attempts");
    names([](Settings& s) { s.slow_start_min_share = 1.5; }, "cold_from");
    names([](Settings& s) { s.overload_multiple = 0; }, "fall_multiple");
    names([](Settings& s) { s.slow_start_duration = -5; }, "warm_within");
    names([](Settings& s) { s.costs.cross_zone = std::numeric_limits<double>::quiet_NaN(); },
          "fees.cross_zone");
    EXPECT_EQ(complaint([](Settings&) {}), "accepted");
}

// The module's own timer for the client's deadline may come before the driver's for the attempt: both are due
// at the same moment. The server has failed either way.
TEST(Removal, AServerThatLetsTheClientsTimeRunOutIsRemovedThoughWeWithdrewItFirst) {
    Rig rig(make_settings());
    rig.list(ListKind::snapshot, make_servers(4));
    // Whenever it is drawn the one is to be asked: the others have their hands full.
    for (int i = 0; i < 40; ++i) {
        const RequestId id = rig.request(0, 1e6);
        if (rig.where(id) == 1) rig.end(id, Outcome::success, 0);
    }
    for (int i = 0; i < 100 && rig.removals() == 0; ++i) {
        const RequestId id = rig.request(0, 500);
        if (rig.where(id) != 1) {  // it was not among the two drawn
            rig.end(id, Outcome::success, 0);
            continue;
        }
        rig.now += 500;
        int withdrawn = 0;
        while (!rig.timers.empty() && rig.timers.begin()->first <= rig.now) {
            const TimerToken token = rig.timers.begin()->second;
            rig.timers.erase(rig.timers.begin());
            rig.give(TimerFired{token});
            withdrawn += rig.count<Cancel>();
        }
        ASSERT_EQ(withdrawn, 1);
        rig.end(id, Outcome::cancelled, 0);
    }
    EXPECT_EQ(rig.removals(), 1);
}

// The number of sidecars may become another one: fewer keep more servers in sight, and 0 says nothing.
TEST(Siblings, AreWhatTheSightOfServersFollows) {
    Settings settings = make_settings();
    settings.siblings = 1000;
    Rig rig(settings);
    rig.list(ListKind::snapshot, make_servers(60));
    const auto in_sight = [&] {
        std::set<ServerId> asked;
        for (int i = 0; i < 200; ++i) {
            const RequestId id = rig.request();
            asked.insert(rig.where(id));
            rig.end(id, Outcome::success);
            rig.pass(450);  // two requests a second: traffic alone widens nothing
        }
        return asked.size();
    };
    EXPECT_LE(in_sight(), 6U);
    rig.give(SiblingsKnown{2});
    EXPECT_GT(in_sight(), 40U);
    rig.give(SiblingsKnown{0});
    EXPECT_GT(in_sight(), 40U);
    rig.give(SiblingsKnown{1000});
    EXPECT_LE(in_sight(), 6U);
}

}  // namespace
}  // namespace elmbay::balancer::test
