/// \file
/// One scenario over many seeds, and over values of one of its keys.
///
/// Runs take virtual time and are spread over the cores. The same seeds give the same figures whatever the
/// number of threads.
#pragma once

#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "simulation/reports/report.hpp"

namespace elmbay::simulation {

/// What a sweep runs.
struct SweepOptions {
    static constexpr std::uint64_t kMaxSeeds = 10000;

    std::string balancer = "elmbay";  ///< A policy's name.
    std::uint64_t first_seed = 1;
    std::uint64_t seeds = 20;
    std::string key;                  ///< Such as "fault.1.times"; empty: no key is varied.
    std::vector<std::string> values;  ///< Of that key, as they would stand in the file.
    bool oracle = false;   ///< Also run every oracle, and report the one with the best mean goodput.
    unsigned threads = 0;  ///< 0: one for each core.
    std::function<void(double)> progress{};  ///< Called with the share of runs that are done.
};

/// One metric of every run, in order of the seeds.
struct MetricSeries {
    std::string name;
    std::vector<double> values;
};

/// The runs with one value of the key that is varied.
struct SweepRow {
    std::string value;                 ///< Empty if no key is varied.
    std::uint64_t violating_runs = 0;  ///< Runs that violated an invariant.
    std::vector<MetricSeries> metrics;
    std::string oracle;                        ///< Name of the best oracle, if oracles were run.
    std::vector<MetricSeries> oracle_metrics;  ///< Its metrics.
    /// Null if there is no metric of that name.
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

/// Names of all metrics that a sweep may have, in the order of reports.
std::vector<std::string> sweep_metric_names();

/// Runs a sweep of the scenario file with this text.
///
/// \throws ScenarioError  if the file, with a value put in, is not a valid scenario
/// \throws std::invalid_argument  for a key that names nothing, no seeds, or an unknown policy
Sweep run_sweep(const std::string& text, const std::string& name, const SweepOptions& options);

/// The sweep as a person reads it on a terminal.
std::string text_of(const Sweep& sweep);
/// The whole sweep.
nlohmann::ordered_json json_of(const Sweep& sweep);
/// Reads a sweep that json_of() wrote, without the oracles.
///
/// \throws std::invalid_argument  if the text is not a sweep's JSON
Sweep sweep_from_json(const std::string& text);
/// The sweep as one self-contained HTML page with plots.
std::string html_of(const Sweep& sweep);
/// Two sweeps side by side, as text, with the differences that chance alone would explain.
///
/// \throws std::invalid_argument  unless both are of one scenario, key and seeds
std::string comparison_of(const Sweep& a, const Sweep& b);

}  // namespace elmbay::simulation
