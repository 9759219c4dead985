// Tests of SlowStart: the tokens of a server in slow start.
#include "balancer/slow_start.hpp"

#include <gtest/gtest.h>

#include "samples.hpp"

namespace elmbay::balancer::test {
namespace {

TEST(SlowStartTest, RefillsByShareOfAgeAndLessForSlowServer) {
    const SlowStart slow_start(settings_of(1));
    const SlowStart::Traffic traffic{0.01, 1, 1e9, 1e-9};  // a warm server completes one request in 100 ms
    const auto tokens_after_50_ms = [&](Millis age, double latency_ratio) {
        Server server = server_of(1);
        server.process.started_at = kNow - age;
        server.slow_start_tokens_at = kNow - 50;
        return slow_start.refill_tokens(server, traffic, latency_ratio, kNow);
    };
    const double rate_factor = SlowStart::kOverloadMargin * 2.5;
    EXPECT_NEAR(tokens_after_50_ms(0, 0), 50 * 0.01 * 0.2 * rate_factor, 1e-9);
    EXPECT_NEAR(tokens_after_50_ms(5000, 0), 50 * 0.01 * 0.6 * rate_factor, 1e-9);
    EXPECT_NEAR(tokens_after_50_ms(5000, 0.9), 50 * 0.01 * 0.6, 1e-9);
    Server server = server_of(1);
    server.process.started_at = kNow - 9999;
    EXPECT_TRUE(slow_start.is_warming_up(server, kNow)) << "slow start takes 10,000 ms";
}

TEST(SlowStartTest, BucketStartsEmptyAndHoldsOneToken) {
    const SlowStart slow_start(settings_of(1));
    Server server = server_of(1);
    server.process.started_at = kNow;
    SlowStart::begin(server, 0.7, kNow);
    EXPECT_LT(server.slow_start_tokens, 0);
    const SlowStart::Traffic traffic{10, 1, 10000, 4};
    EXPECT_DOUBLE_EQ(slow_start.refill_tokens(server, traffic, 0, kNow + 9000), 1.0);
    SlowStart::take_token(server);
    EXPECT_LT(slow_start.refill_tokens(server, traffic, 0, kNow + 9000), 1.0);
}

TEST(SlowStartTest, SidecarsShareTheProbes) {
    const SlowStart slow_start(settings_of(1000));
    const auto tokens = [&](double sidecars) {
        Server server = server_of(1);
        server.process.started_at = kNow - 1;
        server.slow_start_tokens_at = kNow - 1000;
        return slow_start.refill_tokens(server, {0, sidecars, 10000, 4}, 0, kNow);
    };
    EXPECT_NEAR(tokens(4), 0.1, 1e-9);
    EXPECT_NEAR(tokens(400), 0.001, 1e-9);
}

}  // namespace
}  // namespace elmbay::balancer::test
