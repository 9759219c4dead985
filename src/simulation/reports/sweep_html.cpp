/// @file
/// Renders a sweep as one HTML file: a strip plot for each metric, with a row for each value of the key.
#include <fmt/format.h>

#include <algorithm>
#include <limits>

#include "simulation/reports/statistics.hpp"
#include "simulation/reports/sweep.hpp"

namespace elmbay::simulation {

namespace {

constexpr double kWidth = 960;
constexpr double kLeft = 150;  ///< Space for the values of the key.
constexpr double kRight = 20;
constexpr double kTop = 30;
constexpr double kRowHeight = 34;
constexpr int kTicks = 4;
/// Minimum range of a value axis, so that equal values have a defined position.
constexpr double kMinRange = 1e-6;
constexpr const char* kPolicyColour = "#1864ab";
constexpr const char* kOracleColour = "#868e96";

/// The horizontal axis of one metric, from its minimum to its maximum.
class ValueAxis {
public:
    void include(const std::vector<double>& values) {
        for (const double value : values) {
            low_ = std::min(low_, value);
            high_ = std::max(high_, value);
        }
    }
    bool is_empty() const { return low_ > high_; }
    double value_at(int tick) const { return low_ + range() * tick / kTicks; }
    double x(double value) const { return kLeft + (value - low_) / range() * (kWidth - kLeft - kRight); }

private:
    double range() const { return std::max(high_ - low_, kMinRange); }

    double low_ = std::numeric_limits<double>::max();
    double high_ = std::numeric_limits<double>::lowest();
};

ValueAxis axis_of(const Sweep& sweep, const std::string& metric) {
    ValueAxis axis;
    for (const SweepRow& row : sweep.rows) {
        if (const MetricSeries* const series = row.metric(metric)) axis.include(series->values);
        for (const MetricSeries& oracle : row.oracle_metrics) {
            if (oracle.name == metric) axis.include(oracle.values);
        }
    }
    return axis;
}

std::string grid(const ValueAxis& axis, double height) {
    std::string text;
    for (int tick = 0; tick <= kTicks; ++tick) {
        const double value = axis.value_at(tick);
        text += fmt::format(
            "<line x1='{0:.1f}' x2='{0:.1f}' y1='{1}' y2='{2}' class='grid'/><text x='{0:.1f}' y='16' "
            "class='tick' text-anchor='middle'>{3:.4g}</text>",
            axis.x(value), kTop - 6, kTop + height, value);
    }
    return text;
}

/// Draws a dot for each run and a bar for the mean.
std::string run_dots(const std::vector<double>& values, const ValueAxis& axis, double y, const char* colour) {
    std::string text;
    for (const double value : values) {
        text += fmt::format("<circle cx='{:.1f}' cy='{:.1f}' r='3.5' fill='{}' opacity='.45'/>",
                            axis.x(value), y, colour);
    }
    text += fmt::format(
        "<line x1='{0:.1f}' x2='{0:.1f}' y1='{1:.1f}' y2='{2:.1f}' stroke='{3}' stroke-width='2.5'/>",
        axis.x(mean(values)), y - 11, y + 11, colour);
    return text;
}

std::string strip_plot(const Sweep& sweep, const std::string& metric) {
    const ValueAxis axis = axis_of(sweep, metric);
    if (axis.is_empty()) return "";
    const double height = kRowHeight * static_cast<double>(sweep.rows.size());
    std::string text = fmt::format("<text x='0' y='16' class='title'>{}</text>", metric);
    text += grid(axis, height);
    double y = kTop + kRowHeight / 2;
    for (const SweepRow& row : sweep.rows) {
        text += fmt::format("<text x='0' y='{:.1f}' class='label'>{}</text>", y + 4,
                            row.value.empty() ? sweep.balancer : row.value);
        for (const MetricSeries& oracle : row.oracle_metrics) {
            if (oracle.name == metric) text += run_dots(oracle.values, axis, y, kOracleColour);
        }
        if (const MetricSeries* const series = row.metric(metric)) {
            text += run_dots(series->values, axis, y, kPolicyColour);
        }
        y += kRowHeight;
    }
    return fmt::format("<svg viewBox='0 0 {} {}' role='img'>{}</svg>", kWidth, kTop + height + 6, text);
}

}  // namespace

std::string html_of(const Sweep& sweep) {
    std::string page = fmt::format(
        "<!doctype html><html lang='en'><head><meta charset='utf-8'><title>{0}: sweep</title><style>"
        "body{{font:15px/1.45 system-ui,sans-serif;margin:2em auto;max-width:62em;padding:0 1em;"
        "color:#212529}}svg{{width:100%;height:auto;margin:.8em 0;display:block}}.grid{{stroke:#dee2e6}}"
        ".tick{{font-size:11px;fill:#495057}}.label{{font-size:12px}}.title{{font-size:13px;"
        "font-weight:600}}pre{{overflow-x:auto}}</style></head><body><h1>{0}</h1><p>{1}, seeds {2} to "
        "{3}{4}. Each dot is a run and each bar is the mean of its row; grey: best oracle.</p>",
        sweep.scenario, sweep.balancer, sweep.first_seed, sweep.first_seed + sweep.seeds - 1,
        sweep.key.empty() ? "" : ", by " + sweep.key);
    for (const std::string& metric : sweep_metric_names()) page += strip_plot(sweep, metric);
    return page + "<pre>" + text_of(sweep) + "</pre></body></html>\n";
}

}  // namespace elmbay::simulation
