/// @file
/// Summary statistics of a metric over many runs, and comparison of two series of runs.
#pragma once

#include <vector>

namespace elmbay::simulation {

/// Returns the mean of a non-empty series.
double mean(const std::vector<double>& values);

/// Summary statistics of a metric.
struct Summary {
    double mean = 0;
    double deviation = 0;  ///< Sample standard deviation (divisor n - 1).
    double min = 0;
    double max = 0;
};
/// Returns the summary; all fields are 0 if `values` is empty.
Summary summarize(const std::vector<double>& values);

/// Difference between two series of runs with the same seeds.
struct PairedDifference {
    double mean = 0;        ///< Mean of b - a.
    double half_width = 0;  ///< Half the width of the 95% confidence interval of the mean (Student's t).
    bool is_significant() const { return mean < -half_width || mean > half_width; }
};
/// Compares two series of runs, in the order of their seeds.
///
/// @throws std::invalid_argument  unless both have the same length of at least two
PairedDifference paired_difference(const std::vector<double>& a, const std::vector<double>& b);

}  // namespace elmbay::simulation
