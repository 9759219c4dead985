/// @file
/// A sweep: runs of one scenario with many seeds, and with several values of one of its keys.
///
/// Runs use virtual time and are distributed over the cores. The results depend on the seeds only, not on the
/// number of threads.
#pragma once

#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "simulation/reports/report.hpp"

namespace elmbay::simulation {

/// Options of a sweep.
struct SweepOptions {
    static constexpr std::uint64_t kMaxSeeds = 10000;

    std::string balancer = "elmbay";  ///< Name of a policy.
    std::uint64_t first_seed = 1;
    std::uint64_t seeds = 20;
    std::string key;                  ///< Key to vary, such as "fault.1.times"; empty: no key is varied.
    std::vector<std::string> values;  ///< Values of the key in TOML syntax.
    /// Whether to run every oracle as well, and report the one with the best mean goodput.
    bool oracle = false;
    unsigned threads = 0;                    ///< Number of threads; 0: one for each core.
    std::function<void(double)> progress{};  ///< Called with the share of completed runs, from 0 to 1.
};

/// Values of one metric, one for each run, in order of the seeds.
struct MetricSeries {
    std::string name;
    std::vector<double> values;
};

/// The runs with one value of the varied key.
struct SweepRow {
    std::string value;                 ///< Empty if no key is varied.
    std::uint64_t violating_runs = 0;  ///< Runs that violated an invariant.
    std::vector<MetricSeries> metrics;
    std::string oracle;                        ///< Name of the best oracle, if oracles were run.
    std::vector<MetricSeries> oracle_metrics;  ///< Metrics of the best oracle.
    /// Returns the metric with that name, or null if there is none.
    const MetricSeries* metric(const std::string& name) const;
};

/// The result of a sweep.
struct Sweep {
    std::string scenario;
    std::string balancer;
    std::string key;
    std::uint64_t first_seed = 1;
    std::uint64_t seeds = 0;
    std::vector<SweepRow> rows;
    bool invariants_hold() const;
};

/// Returns the names of all metrics that a sweep can have, in the order of reports.
std::vector<std::string> sweep_metric_names();

/// Runs a sweep of the scenario file whose content is `text`.
///
/// @throws ScenarioError  if the file with one of the values is not a valid scenario
/// @throws std::invalid_argument  if the key or the policy is unknown, there are no values, or the number of
///     seeds is not accepted
Sweep run_sweep(const std::string& text, const std::string& name, const SweepOptions& options);

/// Returns the sweep as text for a terminal.
std::string text_of(const Sweep& sweep);
/// Returns the complete sweep as JSON.
nlohmann::ordered_json json_of(const Sweep& sweep);
/// Reads a sweep from the output of json_of(), without the oracles.
///
/// @throws std::invalid_argument  if the text is not the JSON of a sweep
Sweep sweep_from_json(const std::string& text);
/// Returns the sweep as one self-contained HTML page with plots.
std::string html_of(const Sweep& sweep);
/// Returns a comparison of two sweeps as text, with the confidence interval of each difference.
///
/// @throws std::invalid_argument  unless both sweeps have the same scenario, key and seeds
std::string comparison_of(const Sweep& a, const Sweep& b);

}  // namespace elmbay::simulation
