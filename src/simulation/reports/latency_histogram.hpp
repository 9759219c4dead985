/// \file
/// Percentiles of many latencies in bounded memory.
#pragma once

#include <boost/histogram.hpp>
#include <cstddef>
#include <tuple>

#include "simulation/scenario/scenario.hpp"

namespace elmbay::simulation {

/// A histogram with bins of equal ratio. Not thread-safe.
class LatencyHistogram {
public:
    /// Bounds of the bins; latencies outside count as the nearest one.
    static constexpr Millis kMinLatency = 0.1;
    static constexpr Millis kMaxLatency = 3600 * 1000;
    /// Upper over lower edge of a bin. A percentile is the geometric middle of its bin, so off by at most
    /// 0.5%. This makes 1,700 bins, of one byte each while counts are small.
    static constexpr double kBinRatio = 1.01;

    void add(Millis latency);
    /// The latency at rank `q` from 0 to 1, at most max(). 0 if there are none.
    Millis quantile(double fraction) const;
    /// The greatest latency, exactly.
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
