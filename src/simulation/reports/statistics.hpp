/// \file
/// Summaries of a metric over many runs, and whether two series of runs differ.
#pragma once

#include <vector>

namespace elmbay::simulation {

/// Mean of at least one value.
double mean(const std::vector<double>& values);

/// What a report shows of a metric.
struct Summary {
    double mean = 0;
    double deviation = 0;  ///< Standard deviation of the sample (n - 1).
    double min = 0;
    double max = 0;
};
/// All 0 if there are no values.
Summary summarize(const std::vector<double>& values);

/// Difference between two series of runs with the same seeds.
struct PairedDifference {
    double mean = 0;        ///< Of b - a.
    double half_width = 0;  ///< Half the width of its 95% confidence interval (Student's t).
    bool is_significant() const { return mean < -half_width || mean > half_width; }
};
/// \throws std::invalid_argument  unless both have the same length of at least two
PairedDifference paired_difference(const std::vector<double>& a, const std::vector<double>& b);

}  // namespace elmbay::simulation
