// Tests of SuspicionTimers.
#include "cluster/suspicion.hpp"

#include <gtest/gtest.h>

namespace elmbay::cluster {
namespace {

constexpr Timing kTiming{};

TEST(SuspicionTimers, ShortenTimeoutWithEachReporter) {
    SuspicionTimers timers(4, kTiming);
    timers.start(100, 2);
    EXPECT_TRUE(timers.add_reporter(2, 0));
    EXPECT_EQ(timers.deadline(2), 100 + kTiming.max_suspicion_timeout);
    EXPECT_TRUE(timers.add_reporter(2, 1));
    const Millis deadline_with_two_reporters = timers.deadline(2);
    EXPECT_LT(deadline_with_two_reporters, 100 + kTiming.max_suspicion_timeout);
    EXPECT_GT(deadline_with_two_reporters, 100 + kTiming.min_suspicion_timeout);
    EXPECT_TRUE(timers.add_reporter(2, 3));
    EXPECT_NEAR(timers.deadline(2), 100 + kTiming.min_suspicion_timeout, 1e-6);
}

TEST(SuspicionTimers, CountEachReporterOnceUpToMaximum) {
    SuspicionTimers timers(9, kTiming);
    timers.start(0, 2);
    EXPECT_FALSE(timers.last_reporter(2).has_value());
    EXPECT_TRUE(timers.add_reporter(2, 5));
    EXPECT_FALSE(timers.add_reporter(2, 5));
    EXPECT_EQ(timers.last_reporter(2), 5U);
    EXPECT_TRUE(timers.add_reporter(2, 6));
    EXPECT_TRUE(timers.add_reporter(2, 7));
    EXPECT_FALSE(timers.add_reporter(2, 8));
    EXPECT_EQ(timers.reporters(2), SuspicionTimers::kMaxReporters);
}

TEST(SuspicionTimers, ClearEndsSuspicionAndItsFinalProbe) {
    SuspicionTimers timers(4, kTiming);
    timers.start(0, 2);
    timers.add_reporter(2, 0);
    timers.begin_final_probe(2);
    EXPECT_TRUE(timers.in_final_probe(2));
    timers.clear(2);
    EXPECT_FALSE(timers.in_final_probe(2));
    EXPECT_EQ(timers.reporters(2), 0U);
    EXPECT_TRUE(timers.suspects().empty());
}

TEST(SuspicionTimers, ArePostponedAfterOwnStall) {
    SuspicionTimers timers(4, kTiming);
    timers.start(1000, 2);
    timers.begin_final_probe(2);
    timers.postpone_all(4000, 2500);
    EXPECT_EQ(timers.started_at(2), 3500);
    EXPECT_FALSE(timers.in_final_probe(2));
    timers.postpone_all(4100, 9000);
    EXPECT_EQ(timers.started_at(2), 4100) << "a suspicion does not start in the future";
}

}  // namespace
}  // namespace elmbay::cluster
