// The checker of the four rules: each breach is seen, and what only looks like one is not.
#include "simulation/checking/invariant_checker.hpp"

#include <gtest/gtest.h>

namespace elmbay::simulation {
namespace {

// One request of each class, whose tries the tests play by hand.
struct Court {
    Scenario scenario = parse_scenario(
        "length = \"10s\"\n[callers]\nrate = 100\n"
        "[[class]]\nname = \"a\"\neffect = \"safe\"\n[[class]]\nname = \"b\"\neffect = \"unsafe\"\n"
        "[[class]]\nname = \"c\"\neffect = \"keyed\"\nwindow = \"1s\"\n",
        "f");
    ClientModel clients{scenario};
    InvariantChecker checker{scenario, clients, 0};

    ClientRequestId ask(std::uint32_t class_index, Millis at = 0) {
        static OperationId from = 0;
        while (clients.ask(from % clients.arrivals().size()).class_index != class_index) ++from;
        const ClientRequestId id = client_request_id(from++ % clients.arrivals().size(), 0);
        checker.on_request_sent(at, {id, at, 5000, 0});
        return id;
    }
    std::uint32_t send(ClientRequestId id, Millis at, std::uint32_t server = 1,
                       InvariantChecker::Delivery what = InvariantChecker::Delivery::accepted) {
        const std::uint32_t attempt =
            checker.on_attempt_started(at, id, server, clients.ask(operation_of(id)).sidecar);
        checker.on_attempt_delivered(at, id, attempt, what);
        return attempt;
    }
    std::uint64_t broken(Invariant rule) const { return checker.finding(rule).violations; }
};

TEST(InvariantChecker, OneAnswerInTimeIsWellAndASecondIsNot) {
    Court c;
    const ClientRequestId id = c.ask(0);
    c.checker.on_attempt_ended(50, id, c.send(id, 1));
    c.checker.on_response(50, id, Answer::served);
    EXPECT_TRUE(c.checker.all_hold());
    c.checker.on_response(60, id, Answer::failed);
    EXPECT_EQ(c.broken(Invariant::one_final_outcome), 1U);
}

TEST(InvariantChecker, NoAnswerALateOneAndAnInventedOneBreakTheFirstRule) {
    Court c;
    c.checker.on_response(5000, c.ask(0), Answer::none);
    EXPECT_EQ(c.broken(Invariant::one_final_outcome), 1U);
    c.checker.on_response(5001, c.ask(0), Answer::refused);
    EXPECT_EQ(c.broken(Invariant::one_final_outcome), 2U);
    c.checker.on_response(10, c.ask(0), Answer::served);  // no server ever saw it
    EXPECT_EQ(c.broken(Invariant::one_final_outcome), 3U);
    const ClientRequestId other = c.ask(0);
    c.checker.on_attempt_ended(9, other, c.send(other, 1));
    c.checker.on_response(10, other, Answer::served, false);  // another's body
    EXPECT_EQ(c.broken(Invariant::one_final_outcome), 4U);
    c.ask(0);
    c.checker.finish(9000);
    EXPECT_EQ(c.broken(Invariant::one_final_outcome), 5U);
}

TEST(InvariantChecker, ACallerThatLeftAndAKilledSidecarExcuse) {
    Court c;
    c.checker.on_client_left(10, c.ask(0));
    const ClientRequestId id = c.ask(0);
    c.checker.on_sidecar_killed(c.clients.ask(operation_of(id)).sidecar);
    c.checker.on_response(20, id, Answer::none);
    c.checker.finish(9000);
    EXPECT_TRUE(c.checker.all_hold());
}

TEST(InvariantChecker, WhatGoesOutAfterTheCallerHasGoneIsSeen) {
    Court c;
    const ClientRequestId id = c.ask(0);
    c.checker.on_attempt_ended(5, id, c.send(id, 1));
    c.checker.on_client_left(10, id);
    c.send(id, 11, 2);
    EXPECT_EQ(c.broken(Invariant::one_final_outcome), 1U);
}

TEST(InvariantChecker, AConnectionClosedWithNothingIsLostOnlyOnceSomethingWasSentOn) {
    Court c;
    c.checker.on_connection_closed(10, c.ask(0));
    EXPECT_TRUE(c.checker.all_hold());
    const ClientRequestId id = c.ask(0);
    c.checker.on_attempt_ended(9, id, c.send(id, 1));
    c.checker.on_connection_closed(10, id);
    EXPECT_EQ(c.broken(Invariant::one_final_outcome), 1U);
}

TEST(InvariantChecker, UnsafeGoesOutAgainOnlyIfItNeverRan) {
    Court c;
    const ClientRequestId sound = c.ask(1);
    c.checker.on_attempt_ended(2, sound, c.send(sound, 1, 1, InvariantChecker::Delivery::rejected));
    c.checker.on_attempt_ended(4, sound, c.send(sound, 3, 2, InvariantChecker::Delivery::not_received));
    c.checker.on_attempt_ended(9, sound, c.send(sound, 5, 3));
    c.checker.on_response(10, sound, Answer::served);
    EXPECT_TRUE(c.checker.all_hold());
    const ClientRequestId id = c.ask(1);
    c.checker.on_attempt_ended(2, id, c.send(id, 1));
    c.send(id, 3, 2);
    EXPECT_EQ(c.broken(Invariant::no_duplicate_effect), 1U);
}

TEST(InvariantChecker, RefusingWhatMayHaveRunBreaksTheSecondRule) {
    Court c;
    const ClientRequestId unsafe = c.ask(1);
    c.checker.on_attempt_ended(2, unsafe, c.send(unsafe, 1));
    c.checker.on_response(3, unsafe, Answer::refused);
    EXPECT_EQ(c.broken(Invariant::no_duplicate_effect), 1U);
    const ClientRequestId keyed = c.ask(2);
    c.checker.on_attempt_ended(2, keyed, c.send(keyed, 1));
    c.checker.on_response(900, keyed, Answer::refused);  // servers still drop its repeats
    EXPECT_EQ(c.broken(Invariant::no_duplicate_effect), 1U);
    const ClientRequestId late = c.ask(2);
    c.checker.on_attempt_ended(2, late, c.send(late, 1));
    c.checker.on_response(1200, late, Answer::refused);
    EXPECT_EQ(c.broken(Invariant::no_duplicate_effect), 2U);
}

TEST(InvariantChecker, KeyedGoesOutAgainOnlyWithinItsWindow) {
    Court c;
    const ClientRequestId id = c.ask(2);
    c.checker.on_attempt_ended(2, id, c.send(id, 1));
    c.checker.on_attempt_ended(902, id, c.send(id, 900));
    EXPECT_TRUE(c.checker.all_hold());
    c.send(id, 1100);
    EXPECT_EQ(c.broken(Invariant::no_duplicate_effect), 1U);
}

TEST(InvariantChecker, TwoAttemptsOutAtOnceAreSeenAndACloseThatCrossesIsNot) {
    Court c;
    const ClientRequestId id = c.ask(0);
    const auto first = c.send(id, 1);
    c.send(id, 5, 2);
    c.checker.on_attempt_ended(5, id, first);  // it ended as the other began
    EXPECT_TRUE(c.checker.all_hold());
    const ClientRequestId twice = c.ask(0);
    const auto slow = c.send(twice, 1);
    c.send(twice, 5, 2);
    c.checker.on_attempt_ended(30, twice, slow);
    EXPECT_EQ(c.broken(Invariant::no_duplicate_effect), 1U);
    const ClientRequestId never = c.ask(0);
    c.send(never, 1), c.send(never, 2, 2);
    c.checker.finish(100);
    EXPECT_EQ(c.broken(Invariant::no_duplicate_effect), 2U);
}

TEST(InvariantChecker, MoreAttemptsThanAllowedAreSeen) {
    Court c;
    const ClientRequestId id = c.ask(0);
    for (int i = 0; i < 4; ++i) c.checker.on_attempt_ended(10 * i + 1, id, c.send(id, 10 * i));
    EXPECT_TRUE(c.checker.all_hold());
    c.send(id, 50);
    EXPECT_EQ(c.broken(Invariant::no_duplicate_effect), 1U);
}

TEST(InvariantChecker, ADrainingServerGetsNothingNewAfterTheGrace) {
    Court c;
    const ClientRequestId id = c.ask(0);
    const std::uint32_t sidecar = c.clients.ask(operation_of(id)).sidecar;
    c.checker.on_endpoint_update(1000, sidecar, 1, balancer::EndpointState::draining, 0);
    c.checker.on_endpoint_update(1400, sidecar, 1, balancer::EndpointState::removed,
                                 0);  // the first word counts
    c.checker.on_attempt_ended(1500, id, c.send(id, 1499));
    EXPECT_TRUE(c.checker.all_hold());
    const ClientRequestId other = c.ask(0, 1500);
    c.checker.on_attempt_started(1501, other, 1, sidecar);
    EXPECT_EQ(c.broken(Invariant::drain_respected), 1U);
    c.checker.on_endpoint_update(1600, sidecar, 1, balancer::EndpointState::active, 1550);  // back
    c.checker.on_attempt_started(3000, c.ask(0, 2999), 1, sidecar);
    EXPECT_EQ(c.broken(Invariant::drain_respected), 1U);
}

TEST(InvariantChecker, AColdServerFallsOverAndItIsABreachOnlyForThoseWhoKnew) {
    for (const bool knew : {true, false}) {
        Court c;
        const ClientRequestId id = c.ask(0);
        if (knew)
            for (std::uint32_t s = 0; s < 4; ++s)
                c.checker.on_endpoint_update(100, s, 1, balancer::EndpointState::active, 50);
        // It does 0.8 ms a ms: in a second 2.5 times that is 2,000 ms or 25 requests of 80 ms, and 3 x 5 + 3
        // more of them for chance: 3,440 ms.
        const ServerLoad load{100, 0.8, 50, true};
        bool fell = false;
        for (int i = 0; i < 34; ++i) {
            const ClientRequestId next = c.ask(0, 200);
            const auto attempt = c.checker.on_attempt_started(200 + i, next, 1, 0);
            fell = c.checker.on_attempt_delivered(200 + i, next, attempt,
                                                  InvariantChecker::Delivery::accepted, load);
            EXPECT_FALSE(fell) << i;
        }
        const auto attempt = c.checker.on_attempt_started(240, id, 1, 0);
        EXPECT_TRUE(
            c.checker.on_attempt_delivered(240, id, attempt, InvariantChecker::Delivery::accepted, load));
        EXPECT_EQ(c.broken(Invariant::cold_server_not_overloaded), knew ? 1U : 0U);
        EXPECT_EQ(c.checker.overloaded_servers(), 1U);
    }
}

TEST(InvariantChecker, WhatIsSatOnIsCounted) {
    Court c;
    c.checker.on_response(20, c.ask(0), Answer::refused);
    const ClientRequestId held = c.ask(0);
    c.checker.on_attempt_ended(2, held, c.send(held, 1));
    c.checker.on_response(900, held, Answer::failed);
    EXPECT_EQ(c.checker.delayed_failures(), 1U);
}

}  // namespace
}  // namespace elmbay::simulation
