// The timers of suspicions by themselves.
#include "cluster/suspicion.hpp"

#include <gtest/gtest.h>

namespace elmbay::cluster {
namespace {

constexpr Timing kTiming{};

TEST(SuspicionTimers, ShortenTimeoutWithEachAccuser) {
    SuspicionTimers timers(4, kTiming);
    timers.start(100, 2);
    EXPECT_TRUE(timers.add_accuser(2, 0));
    EXPECT_EQ(timers.deadline(2), 100 + kTiming.max_suspicion);
    EXPECT_TRUE(timers.add_accuser(2, 1));
    const Millis shared_by_two = timers.deadline(2);
    EXPECT_LT(shared_by_two, 100 + kTiming.max_suspicion);
    EXPECT_GT(shared_by_two, 100 + kTiming.min_suspicion);
    EXPECT_TRUE(timers.add_accuser(2, 3));
    EXPECT_NEAR(timers.deadline(2), 100 + kTiming.min_suspicion, 1e-6);
}

TEST(SuspicionTimers, CountEachAccuserOnceUpToMaximum) {
    SuspicionTimers timers(9, kTiming);
    timers.start(0, 2);
    EXPECT_FALSE(timers.last_accuser(2).has_value());
    EXPECT_TRUE(timers.add_accuser(2, 5));
    EXPECT_FALSE(timers.add_accuser(2, 5));
    EXPECT_EQ(timers.last_accuser(2), 5U);
    EXPECT_TRUE(timers.add_accuser(2, 6));
    EXPECT_TRUE(timers.add_accuser(2, 7));
    EXPECT_FALSE(timers.add_accuser(2, 8));
    EXPECT_EQ(timers.accusers(2), SuspicionTimers::kMaxAccusers);
}

TEST(SuspicionTimers, ClearEndsSuspicionAndItsFinalProbe) {
    SuspicionTimers timers(4, kTiming);
    timers.start(0, 2);
    timers.add_accuser(2, 0);
    timers.begin_final_probe(2);
    EXPECT_TRUE(timers.in_final_probe(2));
    timers.clear(2);
    EXPECT_FALSE(timers.in_final_probe(2));
    EXPECT_EQ(timers.accusers(2), 0U);
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
    EXPECT_EQ(timers.started_at(2), 4100) << "no later than now";
}

}  // namespace
}  // namespace elmbay::cluster
