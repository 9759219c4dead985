#include "simulation/reports/latency_histogram.hpp"

#include <algorithm>
#include <cmath>

namespace elmbay::simulation {

namespace {

int bins_needed() {
    return static_cast<int>(std::ceil(std::log(LatencyHistogram::kMax / LatencyHistogram::kMin) /
                                      std::log(LatencyHistogram::kBinRatio)));
}

}  // namespace

decltype(LatencyHistogram::bins_) LatencyHistogram::make() {
    return boost::histogram::make_histogram_with(boost::histogram::unlimited_storage<>(),
                                                 Axis(static_cast<unsigned>(bins_needed()), kMin, kMax));
}

void LatencyHistogram::add(Millis took) {
    bins_(std::clamp(took, kMin, std::nextafter(kMax, 0.0)));
    ++count_;
    most_ = std::max(most_, took);
}

Millis LatencyHistogram::quantile(double q) const {
    if (count_ == 0) return 0;
    const double rank = std::floor(q * static_cast<double>(count_ - 1) + 0.5) + 1;  // of the one asked for
    double seen = 0;
    for (const auto& bin : boost::histogram::indexed(bins_)) {
        seen += static_cast<double>(*bin);
        if (seen >= rank) return std::min(most_, std::sqrt(bin.bin().lower() * bin.bin().upper()));
    }
    return most_;
}

}  // namespace elmbay::simulation
