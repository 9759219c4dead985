#include "simulation/reports/statistics.hpp"

#include <algorithm>
#include <boost/math/distributions/students_t.hpp>
#include <cmath>
#include <numeric>
#include <stdexcept>

namespace elmbay::simulation {

namespace {

constexpr double kConfidence = 0.95;

}  // namespace

double mean(const std::vector<double>& values) {
    return std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size());
}

Summary summarize(const std::vector<double>& values) {
    if (values.empty()) return {};
    Summary summary;
    summary.mean = mean(values);
    const auto [min, max] = std::minmax_element(values.begin(), values.end());
    summary.min = *min;
    summary.max = *max;
    if (values.size() == 1) return summary;
    double squares = 0;
    for (const double value : values) squares += (value - summary.mean) * (value - summary.mean);
    summary.deviation = std::sqrt(squares / static_cast<double>(values.size() - 1));
    return summary;
}

PairedDifference paired_difference(const std::vector<double>& a, const std::vector<double>& b) {
    if (a.size() != b.size() || a.size() < 2) {
        throw std::invalid_argument(
            "a paired comparison needs two series of equal length with at least two values each");
    }
    std::vector<double> differences;
    for (std::size_t i = 0; i < a.size(); ++i) differences.push_back(b[i] - a[i]);
    const Summary summary = summarize(differences);
    const boost::math::students_t distribution(static_cast<double>(a.size() - 1));
    const double t_quantile = boost::math::quantile(distribution, 0.5 + kConfidence / 2);
    return {summary.mean, t_quantile * summary.deviation / std::sqrt(static_cast<double>(a.size()))};
}

}  // namespace elmbay::simulation
