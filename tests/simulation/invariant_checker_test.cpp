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
        checker.asked(at, {id, at, 5000, 0});
        return id;
    }
    std::uint32_t send(ClientRequestId id, Millis at, std::uint32_t server = 1,
                       InvariantChecker::Reached what = InvariantChecker::Reached::accepted) {
        const std::uint32_t attempt = checker.sent(at, id, server, clients.ask(operation_of(id)).sidecar);
        checker.reached(at, id, attempt, what);
        return attempt;
    }
    std::uint64_t broken(Rule rule) const { return checker.finding(rule).count; }
};

TEST(InvariantChecker, OneAnswerInTimeIsWellAndASecondIsNot) {
    Court c;
    const ClientRequestId id = c.ask(0);
    c.checker.over(50, id, c.send(id, 1));
    c.checker.answered(50, id, Answer::served);
    EXPECT_TRUE(c.checker.kept());
    c.checker.answered(60, id, Answer::failed);
    EXPECT_EQ(c.broken(Rule::one_outcome), 1U);
}

TEST(InvariantChecker, NoAnswerALateOneAndAnInventedOneBreakTheFirstRule) {
    Court c;
    c.checker.answered(5000, c.ask(0), Answer::none);
    EXPECT_EQ(c.broken(Rule::one_outcome), 1U);
    c.checker.answered(5001, c.ask(0), Answer::refused);
    EXPECT_EQ(c.broken(Rule::one_outcome), 2U);
    c.checker.answered(10, c.ask(0), Answer::served);  // no server ever saw it
    EXPECT_EQ(c.broken(Rule::one_outcome), 3U);
    const ClientRequestId other = c.ask(0);
    c.checker.over(9, other, c.send(other, 1));
    c.checker.answered(10, other, Answer::served, false);  // another's body
    EXPECT_EQ(c.broken(Rule::one_outcome), 4U);
    c.ask(0);
    c.checker.finish(9000);
    EXPECT_EQ(c.broken(Rule::one_outcome), 5U);
}

TEST(InvariantChecker, ACallerThatLeftAndAKilledSidecarExcuse) {
    Court c;
    c.checker.left(10, c.ask(0));
    const ClientRequestId id = c.ask(0);
    c.checker.sidecar_died(c.clients.ask(operation_of(id)).sidecar);
    c.checker.answered(20, id, Answer::none);
    c.checker.finish(9000);
    EXPECT_TRUE(c.checker.kept());
}

TEST(InvariantChecker, WhatGoesOutAfterTheCallerHasGoneIsSeen) {
    Court c;
    const ClientRequestId id = c.ask(0);
    c.checker.over(5, id, c.send(id, 1));
    c.checker.left(10, id);
    c.send(id, 11, 2);
    EXPECT_EQ(c.broken(Rule::one_outcome), 1U);
}

TEST(InvariantChecker, AConnectionClosedWithNothingIsLostOnlyOnceSomethingWasSentOn) {
    Court c;
    c.checker.closed(10, c.ask(0));
    EXPECT_TRUE(c.checker.kept());
    const ClientRequestId id = c.ask(0);
    c.checker.over(9, id, c.send(id, 1));
    c.checker.closed(10, id);
    EXPECT_EQ(c.broken(Rule::one_outcome), 1U);
}

TEST(InvariantChecker, UnsafeGoesOutAgainOnlyIfItNeverRan) {
    Court c;
    const ClientRequestId sound = c.ask(1);
    c.checker.over(2, sound, c.send(sound, 1, 1, InvariantChecker::Reached::turned_away));
    c.checker.over(4, sound, c.send(sound, 3, 2, InvariantChecker::Reached::never));
    c.checker.over(9, sound, c.send(sound, 5, 3));
    c.checker.answered(10, sound, Answer::served);
    EXPECT_TRUE(c.checker.kept());
    const ClientRequestId id = c.ask(1);
    c.checker.over(2, id, c.send(id, 1));
    c.send(id, 3, 2);
    EXPECT_EQ(c.broken(Rule::nothing_twice), 1U);
}

TEST(InvariantChecker, RefusingWhatMayHaveRunBreaksTheSecondRule) {
    Court c;
    const ClientRequestId unsafe = c.ask(1);
    c.checker.over(2, unsafe, c.send(unsafe, 1));
    c.checker.answered(3, unsafe, Answer::refused);
    EXPECT_EQ(c.broken(Rule::nothing_twice), 1U);
    const ClientRequestId keyed = c.ask(2);
    c.checker.over(2, keyed, c.send(keyed, 1));
    c.checker.answered(900, keyed, Answer::refused);  // servers still drop its repeats
    EXPECT_EQ(c.broken(Rule::nothing_twice), 1U);
    const ClientRequestId late = c.ask(2);
    c.checker.over(2, late, c.send(late, 1));
    c.checker.answered(1200, late, Answer::refused);
    EXPECT_EQ(c.broken(Rule::nothing_twice), 2U);
}

TEST(InvariantChecker, KeyedGoesOutAgainOnlyWithinItsWindow) {
    Court c;
    const ClientRequestId id = c.ask(2);
    c.checker.over(2, id, c.send(id, 1));
    c.checker.over(902, id, c.send(id, 900));
    EXPECT_TRUE(c.checker.kept());
    c.send(id, 1100);
    EXPECT_EQ(c.broken(Rule::nothing_twice), 1U);
}

TEST(InvariantChecker, TwoAttemptsOutAtOnceAreSeenAndACloseThatCrossesIsNot) {
    Court c;
    const ClientRequestId id = c.ask(0);
    const auto first = c.send(id, 1);
    c.send(id, 5, 2);
    c.checker.over(5, id, first);  // it ended as the other began
    EXPECT_TRUE(c.checker.kept());
    const ClientRequestId twice = c.ask(0);
    const auto slow = c.send(twice, 1);
    c.send(twice, 5, 2);
    c.checker.over(30, twice, slow);
    EXPECT_EQ(c.broken(Rule::nothing_twice), 1U);
    const ClientRequestId never = c.ask(0);
    c.send(never, 1), c.send(never, 2, 2);
    c.checker.finish(100);
    EXPECT_EQ(c.broken(Rule::nothing_twice), 2U);
}

TEST(InvariantChecker, MoreAttemptsThanAllowedAreSeen) {
    Court c;
    const ClientRequestId id = c.ask(0);
    for (int i = 0; i < 4; ++i) c.checker.over(10 * i + 1, id, c.send(id, 10 * i));
    EXPECT_TRUE(c.checker.kept());
    c.send(id, 50);
    EXPECT_EQ(c.broken(Rule::nothing_twice), 1U);
}

TEST(InvariantChecker, ADrainingServerGetsNothingNewAfterTheGrace) {
    Court c;
    const ClientRequestId id = c.ask(0);
    const std::uint32_t sidecar = c.clients.ask(operation_of(id)).sidecar;
    c.checker.told(1000, sidecar, 1, balancer::EndpointState::draining, 0);
    c.checker.told(1400, sidecar, 1, balancer::EndpointState::removed, 0);  // the first word counts
    c.checker.over(1500, id, c.send(id, 1499));
    EXPECT_TRUE(c.checker.kept());
    const ClientRequestId other = c.ask(0, 1500);
    c.checker.sent(1501, other, 1, sidecar);
    EXPECT_EQ(c.broken(Rule::drains_kept), 1U);
    c.checker.told(1600, sidecar, 1, balancer::EndpointState::active, 1550);  // back
    c.checker.sent(3000, c.ask(0, 2999), 1, sidecar);
    EXPECT_EQ(c.broken(Rule::drains_kept), 1U);
}

TEST(InvariantChecker, AColdServerFallsOverAndItIsABreachOnlyForThoseWhoKnew) {
    for (const bool knew : {true, false}) {
        Court c;
        const ClientRequestId id = c.ask(0);
        if (knew)
            for (std::uint32_t s = 0; s < 4; ++s)
                c.checker.told(100, s, 1, balancer::EndpointState::active, 50);
        // It does 0.8 ms a ms: in a second 2.5 times that is 2,000 ms or 25 requests of 80 ms, and 3 x 5 + 3
        // more of them for chance: 3,440 ms.
        const ServerLoad load{100, 0.8, 50, true};
        bool fell = false;
        for (int i = 0; i < 34; ++i) {
            const ClientRequestId next = c.ask(0, 200);
            const auto attempt = c.checker.sent(200 + i, next, 1, 0);
            fell = c.checker.reached(200 + i, next, attempt, InvariantChecker::Reached::accepted, load);
            EXPECT_FALSE(fell) << i;
        }
        const auto attempt = c.checker.sent(240, id, 1, 0);
        EXPECT_TRUE(c.checker.reached(240, id, attempt, InvariantChecker::Reached::accepted, load));
        EXPECT_EQ(c.broken(Rule::cold_spared), knew ? 1U : 0U);
        EXPECT_EQ(c.checker.fallen(), 1U);
    }
}

TEST(InvariantChecker, WhatIsSatOnIsCounted) {
    Court c;
    c.checker.answered(20, c.ask(0), Answer::refused);
    const ClientRequestId held = c.ask(0);
    c.checker.over(2, held, c.send(held, 1));
    c.checker.answered(900, held, Answer::failed);
    EXPECT_EQ(c.checker.held_back(), 1U);
}

}  // namespace
}  // namespace elmbay::simulation
