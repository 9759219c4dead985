// Tests of LocalHealth, TokenBucket and IncarnationClock, which limit timeouts, datagrams and accepted
// counters.
#include <gtest/gtest.h>

#include "cluster/incarnation_clock.hpp"
#include "cluster/local_health.hpp"
#include "cluster/token_bucket.hpp"

namespace elmbay::cluster {
namespace {

constexpr Millis kDay = 86400000;

TEST(LocalHealth, KeepsScoreBetweenZeroAndMaximum) {
    LocalHealth health;
    health.improve();
    EXPECT_EQ(health.score(), 0U);
    EXPECT_EQ(health.multiplier(), 1);
    for (int i = 0; i < 20; ++i) health.worsen();
    EXPECT_EQ(health.score(), LocalHealth::kMaxScore);
    EXPECT_EQ(health.multiplier(), 9);
    health.improve();
    EXPECT_EQ(health.score(), LocalHealth::kMaxScore - 1);
}

TEST(TokenBucket, AllowsBurstOfCapacityThenRefillsOverTime) {
    TokenBucket bucket(3, 50);
    for (int i = 0; i < 3; ++i) EXPECT_TRUE(bucket.take(1000));
    EXPECT_FALSE(bucket.take(1000));
    EXPECT_FALSE(bucket.take(1049));
    EXPECT_TRUE(bucket.take(1050));
    for (int i = 0; i < 3; ++i) EXPECT_TRUE(bucket.take(100000));
    EXPECT_FALSE(bucket.take(100000)) << "the refill stops at the capacity";
}

TEST(IncarnationClock, CountsTenthsOfASecondByMonotonicClockAfterStart) {
    const IncarnationClock clock(500, IncarnationClock::kEpoch + 2 * kDay);
    EXPECT_EQ(clock.first_counter(), 2 * 864000U);
    EXPECT_EQ(clock.max_plausible_counter(500), 3 * 864000U) << "one day ahead of the clock";
    EXPECT_EQ(clock.max_plausible_counter(1500), 3 * 864000U + 10);
}

TEST(IncarnationClock, ClampsCounterForAnyWallClock) {
    EXPECT_EQ(IncarnationClock(0, 0).first_counter(), 1U);
    EXPECT_EQ(IncarnationClock(0, -1e18).first_counter(), 1U);
    EXPECT_EQ(IncarnationClock(0, 1e18).first_counter(), 4000000000U);
    EXPECT_EQ(IncarnationClock(0, 1e18).max_plausible_counter(0), 4000000000U);
}

}  // namespace
}  // namespace elmbay::cluster
