/// @file
/// Sweeps as text and as JSON, and comparison of two sweeps. The keys of the JSON are part of the program's
/// interface.
#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <stdexcept>

#include "simulation/reports/statistics.hpp"
#include "simulation/reports/sweep.hpp"

namespace elmbay::simulation {

namespace {

using nlohmann::ordered_json;

/// Whether the text shows the metric as a share of the value of the best oracle.
bool is_compared_with_oracle(const std::string& metric) { return metric == "goodput" || metric == "settled"; }

std::string oracle_text(const MetricSeries& series, const SweepRow& row) {
    if (!is_compared_with_oracle(series.name)) return "";
    std::string text;
    for (const MetricSeries& oracle : row.oracle_metrics) {
        if (oracle.name != series.name) continue;
        const double bound = mean(oracle.values);
        text += fmt::format("   {:>{}.4f}{:>13.3f}", bound, row.oracle.size(), mean(series.values) / bound);
    }
    return text;
}

std::string row_text(const Sweep& sweep, const SweepRow& row) {
    std::string text;
    if (!row.value.empty()) text += fmt::format("\n{} = {}\n", sweep.key, row.value);
    text += fmt::format("  invariants: {}\n", row.violating_runs == 0
                                                  ? "kept in each run"
                                                  : fmt::format("BROKEN in {} runs", row.violating_runs));
    text += fmt::format("  {:<14}{:>10}{:>11}{:>10}{:>10}{}\n", "", "mean", "deviation", "min", "max",
                        row.oracle_metrics.empty() ? "" : "   " + row.oracle + "  share of it");
    for (const MetricSeries& series : row.metrics) {
        const Summary summary = summarize(series.values);
        text += fmt::format("  {:<14}{:>10.4f}{:>11.4f}{:>10.4f}{:>10.4f}{}\n", series.name, summary.mean,
                            summary.deviation, summary.min, summary.max, oracle_text(series, row));
    }
    return text;
}

ordered_json metrics_json(const std::vector<MetricSeries>& metrics) {
    ordered_json json = ordered_json::object();
    for (const MetricSeries& series : metrics) {
        const Summary summary = summarize(series.values);
        json[series.name] = {{"mean", summary.mean},
                             {"deviation", summary.deviation},
                             {"least", summary.min},
                             {"most", summary.max},
                             {"values", series.values}};
    }
    return json;
}

ordered_json row_json(const SweepRow& row) {
    ordered_json json{
        {"value", row.value}, {"broken", row.violating_runs}, {"figures", metrics_json(row.metrics)}};
    if (!row.oracle_metrics.empty()) {
        json["oracle"] = {{"name", row.oracle}, {"figures", metrics_json(row.oracle_metrics)}};
    }
    return json;
}

SweepRow row_from_json(const ordered_json& json) {
    SweepRow row;
    row.value = json.at("value").get<std::string>();
    row.violating_runs = json.at("broken").get<std::uint64_t>();
    for (const auto& [name, metric] : json.at("figures").items()) {
        row.metrics.push_back({name, metric.at("values").get<std::vector<double>>()});
    }
    return row;
}

Sweep read_sweep(const ordered_json& json) {
    Sweep sweep;
    sweep.scenario = json.at("sweep").get<std::string>();
    sweep.balancer = json.at("balancer").get<std::string>();
    sweep.key = json.at("key").get<std::string>();
    sweep.first_seed = json.at("first_seed").get<std::uint64_t>();
    sweep.seeds = json.at("seeds").get<std::uint64_t>();
    for (const auto& row : json.at("rows")) sweep.rows.push_back(row_from_json(row));
    return sweep;
}

bool are_comparable(const Sweep& a, const Sweep& b) {
    return a.scenario == b.scenario && a.key == b.key && a.first_seed == b.first_seed && a.seeds == b.seeds &&
           a.rows.size() == b.rows.size();
}

std::string row_comparison(const SweepRow& a, const SweepRow& b) {
    std::string text =
        fmt::format("  invariants violated in {} runs of A, {} of B\n", a.violating_runs, b.violating_runs);
    text += fmt::format("  {:<14}{:>10}{:>10}{:>11}{:>13}\n", "", "A", "B", "B - A", "+/- (95%)");
    for (const MetricSeries& series_a : a.metrics) {
        const MetricSeries* const series_b = b.metric(series_a.name);
        if (!series_b) continue;
        const PairedDifference difference = paired_difference(series_a.values, series_b->values);
        text += fmt::format("  {:<14}{:>10.4f}{:>10.4f}{:>+11.4f}{:>13.4f}  {}\n", series_a.name,
                            mean(series_a.values), mean(series_b->values), difference.mean,
                            difference.half_width, difference.is_significant() ? "significant" : "");
    }
    return text;
}

}  // namespace

std::string text_of(const Sweep& sweep) {
    std::string text = fmt::format("{} ({}): seeds {} to {}\n", sweep.scenario, sweep.balancer,
                                   sweep.first_seed, sweep.first_seed + sweep.seeds - 1);
    for (const SweepRow& row : sweep.rows) text += row_text(sweep, row);
    return text;
}

ordered_json json_of(const Sweep& sweep) {
    ordered_json json{{"sweep", sweep.scenario}, {"balancer", sweep.balancer},
                      {"key", sweep.key},        {"first_seed", sweep.first_seed},
                      {"seeds", sweep.seeds},    {"rows", ordered_json::array()}};
    for (const SweepRow& row : sweep.rows) json["rows"].push_back(row_json(row));
    return json;
}

Sweep sweep_from_json(const std::string& text) {
    try {
        return read_sweep(ordered_json::parse(text));
    } catch (const ordered_json::exception& error) {
        throw std::invalid_argument(std::string("the JSON is not a sweep of this program: ") + error.what());
    }
}

std::string comparison_of(const Sweep& a, const Sweep& b) {
    if (!are_comparable(a, b)) {
        throw std::invalid_argument("the two sweeps must have the same scenario, key and seeds");
    }
    std::string text = fmt::format("{}, seeds {} to {}: A = {}, B = {}\n", a.scenario, a.first_seed,
                                   a.first_seed + a.seeds - 1, a.balancer, b.balancer);
    for (std::size_t i = 0; i < a.rows.size(); ++i) {
        if (!a.rows[i].value.empty()) text += fmt::format("\n{} = {}\n", a.key, a.rows[i].value);
        text += row_comparison(a.rows[i], b.rows[i]);
    }
    return text;
}

}  // namespace elmbay::simulation
