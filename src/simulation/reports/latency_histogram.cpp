#include "simulation/reports/latency_histogram.hpp"

#include <algorithm>
#include <cmath>

namespace elmbay::simulation {

LatencyHistogram::Bins LatencyHistogram::make_bins() {
    const double bins = std::ceil(std::log(kMaxLatency / kMinLatency) / std::log(kBinRatio));
    return boost::histogram::make_histogram_with(boost::histogram::unlimited_storage<>(),
                                                 Axis(static_cast<unsigned>(bins), kMinLatency, kMaxLatency));
}

void LatencyHistogram::add(Millis latency) {
    bins_(std::clamp(latency, kMinLatency, std::nextafter(kMaxLatency, 0.0)));
    ++count_;
    max_ = std::max(max_, latency);
}

Millis LatencyHistogram::quantile(double fraction) const {
    if (count_ == 0) return 0;
    const double rank = std::floor(fraction * static_cast<double>(count_ - 1) + 0.5) + 1;
    double counted = 0;
    for (const auto& bin : boost::histogram::indexed(bins_)) {
        counted += static_cast<double>(*bin);
        if (counted >= rank) return std::min(max_, std::sqrt(bin.bin().lower() * bin.bin().upper()));
    }
    return max_;
}

}  // namespace elmbay::simulation
