// One scenario over many seeds, and over values of one of its keys: mean, spread and worst of each figure,
// and whether two balancers (or two builds) differ by more than chance. Runs in virtual time, spread over the
// cores; the same seeds give the same figures whatever the number of threads.
#pragma once

#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "simulation/reports/report.hpp"

namespace elmbay::simulation {

struct SweepOptions {
    static constexpr std::uint64_t kMaxSeeds = 10000;

    std::string balancer = "elmbay";
    std::uint64_t first_seed = 1, seeds = 20;
    std::string key;  // "clients.rate", "fault.1.times" (lists count from 1); none: no key is varied
    std::vector<std::string> values;  // of that key, as they would stand in the file
    bool oracle = false;   // also what the oracles reach (see balancers.hpp), the best of them in the mean
    unsigned threads = 0;  // 0: one for each core
    std::function<void(double)> progress{};
};

// One figure of every run, in order of the seeds.
struct MetricSeries {
    std::string name;
    std::vector<double> values;
};
struct SweepRow {
    std::string value;                 // of the key varied; empty without one
    std::uint64_t violating_runs = 0;  // runs in which a rule was broken
    std::vector<MetricSeries> metrics;
    std::string oracle;                        // the best one's name, if it was asked for
    std::vector<MetricSeries> oracle_metrics;  // and its figures
    const MetricSeries* metric(const std::string& name) const;
};
struct Sweep {
    std::string scenario, balancer, key;
    std::uint64_t first_seed = 1, seeds = 0;
    std::vector<SweepRow> rows;
    bool invariants_hold() const;
};

// text: the scenario's file. Throws ScenarioError for a file (with a value put in) that can't be used, and
// std::invalid_argument for a key that names nothing, no seeds, or a balancer that does not exist.
Sweep run_sweep(const std::string& text, const std::string& name, const SweepOptions& options);
// The file with one value put in place of another, or added. Throws std::invalid_argument.
std::string with_value(const std::string& text, const std::string& key, const std::string& value);

struct Summary {
    double mean = 0, deviation = 0, min = 0, max = 0;  // deviation: of the sample, n - 1
};
Summary spread_of(const std::vector<double>& values);

// Of two lists of the same seeds: the mean of b - a and how far chance alone may move it (Student's t, 95%,
// paired).
struct PairedDifference {
    double mean = 0, chance = 0;
    bool differs() const { return mean < -chance || mean > chance; }
};
PairedDifference paired(const std::vector<double>& a, const std::vector<double>& b);

std::string text_of(const Sweep& sweep);
nlohmann::ordered_json json_of(const Sweep& sweep);
Sweep sweep_from_json(const std::string& text);  // throws std::invalid_argument
std::string page_of(const Sweep& sweep);         // one self-contained HTML file
// Throws std::invalid_argument unless both are of one scenario, key and seeds.
std::string comparison_of(const Sweep& a, const Sweep& b);

}  // namespace elmbay::simulation
