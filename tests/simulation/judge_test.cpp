// The judge of the four rules: each breach is seen, and what only looks like one is not.
#include "simulation/judge.hpp"

#include <gtest/gtest.h>

namespace elmbay::simulation {
namespace {

// One request of each class, whose tries the tests play by hand.
struct Court {
    Incident incident = parse_incident(
        "length = \"10s\"\n[callers]\nrate = 100\n"
        "[[class]]\nname = \"a\"\neffect = \"safe\"\n[[class]]\nname = \"b\"\neffect = \"unsafe\"\n"
        "[[class]]\nname = \"c\"\neffect = \"keyed\"\nwindow = \"1s\"\n",
        "f");
    Callers callers{incident};
    Judge judge{incident, callers, 0};

    TryId ask(std::uint32_t class_index, Millis at = 0) {
        static RequestNumber from = 0;
        while (callers.ask(from % callers.asks().size()).class_index != class_index) ++from;
        const TryId id = try_id(from++ % callers.asks().size(), 0);
        judge.asked(at, {id, at, 5000, 0});
        return id;
    }
    std::uint32_t send(TryId id, Millis at, std::uint32_t server = 1,
                       Judge::Reached what = Judge::Reached::accepted) {
        const std::uint32_t attempt = judge.sent(at, id, server, callers.ask(request_of(id)).sidecar);
        judge.reached(at, id, attempt, what);
        return attempt;
    }
    std::uint64_t broken(Rule rule) const { return judge.finding(rule).count; }
};

TEST(Judge, OneAnswerInTimeIsWellAndASecondIsNot) {
    Court c;
    const TryId id = c.ask(0);
    c.judge.over(50, id, c.send(id, 1));
    c.judge.answered(50, id, Answer::served);
    EXPECT_TRUE(c.judge.kept());
    c.judge.answered(60, id, Answer::failed);
    EXPECT_EQ(c.broken(Rule::one_outcome), 1U);
}

TEST(Judge, NoAnswerALateOneAndAnInventedOneBreakTheFirstRule) {
    Court c;
    c.judge.answered(5000, c.ask(0), Answer::none);
    EXPECT_EQ(c.broken(Rule::one_outcome), 1U);
    c.judge.answered(5001, c.ask(0), Answer::refused);
    EXPECT_EQ(c.broken(Rule::one_outcome), 2U);
    c.judge.answered(10, c.ask(0), Answer::served);  // no server ever saw it
    EXPECT_EQ(c.broken(Rule::one_outcome), 3U);
    const TryId other = c.ask(0);
    c.judge.over(9, other, c.send(other, 1));
    c.judge.answered(10, other, Answer::served, false);  // another's body
    EXPECT_EQ(c.broken(Rule::one_outcome), 4U);
    c.ask(0);
    c.judge.finish(9000);
    EXPECT_EQ(c.broken(Rule::one_outcome), 5U);
}

TEST(Judge, ACallerThatLeftAndAKilledSidecarExcuse) {
    Court c;
    c.judge.left(10, c.ask(0));
    const TryId id = c.ask(0);
    c.judge.sidecar_died(c.callers.ask(request_of(id)).sidecar);
    c.judge.answered(20, id, Answer::none);
    c.judge.finish(9000);
    EXPECT_TRUE(c.judge.kept());
}

TEST(Judge, WhatGoesOutAfterTheCallerHasGoneIsSeen) {
    Court c;
    const TryId id = c.ask(0);
    c.judge.over(5, id, c.send(id, 1));
    c.judge.left(10, id);
    c.send(id, 11, 2);
    EXPECT_EQ(c.broken(Rule::one_outcome), 1U);
}

TEST(Judge, AConnectionClosedWithNothingIsLostOnlyOnceSomethingWasSentOn) {
    Court c;
    c.judge.closed(10, c.ask(0));
    EXPECT_TRUE(c.judge.kept());
    const TryId id = c.ask(0);
    c.judge.over(9, id, c.send(id, 1));
    c.judge.closed(10, id);
    EXPECT_EQ(c.broken(Rule::one_outcome), 1U);
}

TEST(Judge, UnsafeGoesOutAgainOnlyIfItNeverRan) {
    Court c;
    const TryId sound = c.ask(1);
    c.judge.over(2, sound, c.send(sound, 1, 1, Judge::Reached::turned_away));
    c.judge.over(4, sound, c.send(sound, 3, 2, Judge::Reached::never));
    c.judge.over(9, sound, c.send(sound, 5, 3));
    c.judge.answered(10, sound, Answer::served);
    EXPECT_TRUE(c.judge.kept());
    const TryId id = c.ask(1);
    c.judge.over(2, id, c.send(id, 1));
    c.send(id, 3, 2);
    EXPECT_EQ(c.broken(Rule::nothing_twice), 1U);
}

TEST(Judge, RefusingWhatMayHaveRunBreaksTheSecondRule) {
    Court c;
    const TryId unsafe = c.ask(1);
    c.judge.over(2, unsafe, c.send(unsafe, 1));
    c.judge.answered(3, unsafe, Answer::refused);
    EXPECT_EQ(c.broken(Rule::nothing_twice), 1U);
    const TryId keyed = c.ask(2);
    c.judge.over(2, keyed, c.send(keyed, 1));
    c.judge.answered(900, keyed, Answer::refused);  // servers still drop its repeats
    EXPECT_EQ(c.broken(Rule::nothing_twice), 1U);
    const TryId late = c.ask(2);
    c.judge.over(2, late, c.send(late, 1));
    c.judge.answered(1200, late, Answer::refused);
    EXPECT_EQ(c.broken(Rule::nothing_twice), 2U);
}

TEST(Judge, KeyedGoesOutAgainOnlyWithinItsWindow) {
    Court c;
    const TryId id = c.ask(2);
    c.judge.over(2, id, c.send(id, 1));
    c.judge.over(902, id, c.send(id, 900));
    EXPECT_TRUE(c.judge.kept());
    c.send(id, 1100);
    EXPECT_EQ(c.broken(Rule::nothing_twice), 1U);
}

TEST(Judge, TwoAttemptsOutAtOnceAreSeenAndACloseThatCrossesIsNot) {
    Court c;
    const TryId id = c.ask(0);
    const auto first = c.send(id, 1);
    c.send(id, 5, 2);
    c.judge.over(5, id, first);  // it ended as the other began
    EXPECT_TRUE(c.judge.kept());
    const TryId twice = c.ask(0);
    const auto slow = c.send(twice, 1);
    c.send(twice, 5, 2);
    c.judge.over(30, twice, slow);
    EXPECT_EQ(c.broken(Rule::nothing_twice), 1U);
    const TryId never = c.ask(0);
    c.send(never, 1), c.send(never, 2, 2);
    c.judge.finish(100);
    EXPECT_EQ(c.broken(Rule::nothing_twice), 2U);
}

TEST(Judge, MoreAttemptsThanAllowedAreSeen) {
    Court c;
    const TryId id = c.ask(0);
    for (int i = 0; i < 4; ++i) c.judge.over(10 * i + 1, id, c.send(id, 10 * i));
    EXPECT_TRUE(c.judge.kept());
    c.send(id, 50);
    EXPECT_EQ(c.broken(Rule::nothing_twice), 1U);
}

TEST(Judge, ADrainingServerGetsNothingNewAfterTheGrace) {
    Court c;
    const TryId id = c.ask(0);
    const std::uint32_t sidecar = c.callers.ask(request_of(id)).sidecar;
    c.judge.told(1000, sidecar, 1, balancer::EndpointState::draining, 0);
    c.judge.told(1400, sidecar, 1, balancer::EndpointState::removed, 0);  // the first word counts
    c.judge.over(1500, id, c.send(id, 1499));
    EXPECT_TRUE(c.judge.kept());
    const TryId other = c.ask(0, 1500);
    c.judge.sent(1501, other, 1, sidecar);
    EXPECT_EQ(c.broken(Rule::drains_kept), 1U);
    c.judge.told(1600, sidecar, 1, balancer::EndpointState::active, 1550);  // back
    c.judge.sent(3000, c.ask(0, 2999), 1, sidecar);
    EXPECT_EQ(c.broken(Rule::drains_kept), 1U);
}

TEST(Judge, AColdServerFallsOverAndItIsABreachOnlyForThoseWhoKnew) {
    for (const bool knew : {true, false}) {
        Court c;
        const TryId id = c.ask(0);
        if (knew)
            for (std::uint32_t s = 0; s < 4; ++s)
                c.judge.told(100, s, 1, balancer::EndpointState::active, 50);
        // It does 0.8 ms a ms: in a second 2.5 times that is 2,000 ms or 25 requests of 80 ms, and 3 x 5 + 3
        // more of them for chance: 3,440 ms.
        const ServerLoad load{100, 0.8, 50, true};
        bool fell = false;
        for (int i = 0; i < 34; ++i) {
            const TryId next = c.ask(0, 200);
            const auto attempt = c.judge.sent(200 + i, next, 1, 0);
            fell = c.judge.reached(200 + i, next, attempt, Judge::Reached::accepted, load);
            EXPECT_FALSE(fell) << i;
        }
        const auto attempt = c.judge.sent(240, id, 1, 0);
        EXPECT_TRUE(c.judge.reached(240, id, attempt, Judge::Reached::accepted, load));
        EXPECT_EQ(c.broken(Rule::cold_spared), knew ? 1U : 0U);
        EXPECT_EQ(c.judge.fallen(), 1U);
    }
}

TEST(Judge, WhatIsSatOnIsCounted) {
    Court c;
    c.judge.answered(20, c.ask(0), Answer::refused);
    const TryId held = c.ask(0);
    c.judge.over(2, held, c.send(held, 1));
    c.judge.answered(900, held, Answer::failed);
    EXPECT_EQ(c.judge.held_back(), 1U);
}

}  // namespace
}  // namespace elmbay::simulation
