/// @file
/// Quantiles of many latencies in bounded memory.
#pragma once

#include <boost/histogram.hpp>
#include <cstddef>
#include <tuple>

#include "simulation/scenario/scenario.hpp"

namespace elmbay::simulation {

/// A histogram whose bins have a constant ratio of upper to lower edge. Not thread-safe.
class LatencyHistogram {
public:
    /// Bounds of the bins. A latency outside of them is counted in the nearest bin.
    static constexpr Millis kMinLatency = 0.1;
    static constexpr Millis kMaxLatency = 3600 * 1000;
    /// Ratio of the upper to the lower edge of a bin. A quantile is the geometric mean of the edges of its
    /// bin, so its error is at most 0.5%. There are about 1,700 bins, of one byte each while counts are
    /// small.
    static constexpr double kBinRatio = 1.01;

    void add(Millis latency);
    /// Returns the quantile at `fraction`, from 0 to 1. It is at most max(), and 0 if the histogram is empty.
    Millis quantile(double fraction) const;
    /// Returns the exact maximum latency.
    Millis max() const { return max_; }
    std::size_t count() const { return count_; }

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Bins = boost::histogram::histogram<std::tuple<Axis>, boost::histogram::unlimited_storage<>>;

    static Bins make_bins();

    Bins bins_ = make_bins();
    std::size_t count_ = 0;
    Millis max_ = 0;
};

}  // namespace elmbay::simulation
