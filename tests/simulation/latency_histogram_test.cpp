// Percentiles by histogram against those of the sorted list.
#include "simulation/reports/latency_histogram.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

namespace elmbay::simulation {
namespace {

TEST(LatencyHistogram, QuantilesAreWithinOnePercentOfExactOnes) {
    std::mt19937_64 random(20261201);
    std::lognormal_distribution<double> took(4.0, 1.2);
    LatencyHistogram histogram;
    std::vector<double> all;
    for (int i = 0; i < 20000; ++i) {
        all.push_back(took(random));
        histogram.add(all.back());
    }
    std::sort(all.begin(), all.end());
    for (const double q : {0.0, 0.01, 0.5, 0.9, 0.99, 0.999, 1.0}) {
        const double exact = all[static_cast<std::size_t>(q * 19999 + 0.5)];
        EXPECT_NEAR(histogram.quantile(q), exact, exact * 0.01) << q;
    }
    EXPECT_EQ(histogram.max(), all.back());
}

TEST(LatencyHistogram, CountsLatenciesOutsideItsRange) {
    LatencyHistogram h;
    EXPECT_EQ(h.quantile(0.5), 0);
    for (const double took : {0.0, -3.0, 1e12}) h.add(took);
    EXPECT_EQ(h.count(), 3U);
    EXPECT_LE(h.quantile(0.5), LatencyHistogram::kMin * LatencyHistogram::kBinRatio);
    EXPECT_GT(h.quantile(1), LatencyHistogram::kMax / 2);
    EXPECT_EQ(h.max(), 1e12);
}

}  // namespace
}  // namespace elmbay::simulation
