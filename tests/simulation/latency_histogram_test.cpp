// Tests that the quantiles of the histogram agree with exact quantiles of the sorted latencies.
#include "simulation/reports/latency_histogram.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

namespace elmbay::simulation {
namespace {

TEST(LatencyHistogram, QuantilesAreWithinOnePercentOfExactOnes) {
    std::mt19937_64 random(20261201);
    std::lognormal_distribution<double> latency(4.0, 1.2);
    LatencyHistogram histogram;
    std::vector<double> latencies;
    for (int i = 0; i < 20000; ++i) {
        latencies.push_back(latency(random));
        histogram.add(latencies.back());
    }
    std::sort(latencies.begin(), latencies.end());
    for (const double quantile : {0.0, 0.01, 0.5, 0.9, 0.99, 0.999, 1.0}) {
        const double exact = latencies[static_cast<std::size_t>(quantile * 19999 + 0.5)];
        EXPECT_NEAR(histogram.quantile(quantile), exact, exact * 0.01) << quantile;
    }
    EXPECT_EQ(histogram.max(), latencies.back());
}

TEST(LatencyHistogram, CountsLatenciesOutsideItsRange) {
    LatencyHistogram histogram;
    EXPECT_EQ(histogram.quantile(0.5), 0);
    for (const double latency : {0.0, -3.0, 1e12}) histogram.add(latency);
    EXPECT_EQ(histogram.count(), 3U);
    EXPECT_LE(histogram.quantile(0.5), LatencyHistogram::kMinLatency * LatencyHistogram::kBinRatio);
    EXPECT_GT(histogram.quantile(1), LatencyHistogram::kMaxLatency / 2);
    EXPECT_EQ(histogram.max(), 1e12);
}

}  // namespace
}  // namespace elmbay::simulation
