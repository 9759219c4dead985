// Percentiles of many times in bounded memory: a histogram of Boost's with bins of equal ratio.
#pragma once

#include <boost/histogram.hpp>
#include <cstddef>
#include <tuple>

#include "simulation/scenario/scenario.hpp"

namespace elmbay::simulation {

class LatencyHistogram {
public:
    // From 0.1 ms (shorter ones count as that) to an hour, each bin 1% wider than the one before: a
    // percentile is the middle of its bin and off by at most 0.5%. A thousand and seven hundred bins, of one
    // byte while counts are small.
    static constexpr Millis kMin = 0.1, kMax = 3600 * 1000;
    static constexpr double kBinRatio = 1.01;

    void add(Millis took);
    // q from 0 to 1; nothing added: 0. Never more than most().
    Millis quantile(double q) const;
    Millis max() const { return most_; }  // exact
    std::size_t count() const { return count_; }

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

    boost::histogram::histogram<std::tuple<Axis>, boost::histogram::unlimited_storage<>> bins_ = make();
    std::size_t count_ = 0;
    Millis most_ = 0;

    static decltype(bins_) make();
};

}  // namespace elmbay::simulation
