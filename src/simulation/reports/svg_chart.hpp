/// @file
/// Charts over the time of a run, as inline SVG for the HTML report.
#pragma once

#include <string>
#include <vector>

#include "simulation/reports/report.hpp"

namespace elmbay::simulation {

/// Geometry of all charts of a page, in the units of their viewBox.
struct ChartLayout {
    static constexpr double kWidth = 960;
    static constexpr double kLeft = 64;  ///< Space for labels.
    static constexpr double kRight = 16;
    static constexpr double kTop = 22;  ///< Space for the title.
    static constexpr double kBottom = 24;
    static constexpr double kPlotHeight = 170;
    static constexpr double kFaultRowHeight = 18;
    static constexpr double kRowHeight = 14;
};

/// Returns the text with the special characters of HTML escaped.
std::string escape_html(const std::string& text);

/// Returns the smallest of 1, 2, 4, 8 times a power of ten that is not below `value`. A quarter of such a
/// number is a short axis label.
double round_up_for_axis(double value);

/// The horizontal axis that all charts of a page share.
class TimeAxis {
public:
    explicit TimeAxis(Millis duration);
    /// Returns the horizontal position of a time. Times outside of the run are clamped to its start or end.
    double x(double second) const;
    double seconds() const { return seconds_; }
    /// Returns the seconds between tick marks: a multiple of 5 that gives at most 12 intervals.
    double tick_interval() const;

private:
    double seconds_;
};

/// Horizontal extent of a bar.
struct BarExtent {
    double from = 0;
    double to = 0;
};
/// Returns the extent of the bar for a time span, at least `min_width` wide.
BarExtent bar_extent(const TimeAxis& axis, Millis start, Millis end, double min_width);

/// Returns the title, the grid and the labels of the time axis.
std::string chart_frame(const TimeAxis& axis, double height, const std::string& title);
/// Returns the `<svg>` element of a chart with the given content.
std::string chart(double height, const std::string& content);
/// Returns the colour of fault number `index`.
const char* fault_colour(std::size_t index);

/// One line of a plot, with one value for each second.
struct PlotLine {
    std::string name;
    std::string colour;
    std::vector<double> values;
};
/// Title, value axis and lines of a plot.
struct Plot {
    std::string title;
    double top = 1;  ///< Value at the upper edge.
    std::string unit;
    std::vector<PlotLine> lines;
};
/// Returns a line plot with the faults as bands in the background.
std::string line_plot(const std::vector<FaultBand>& faults, const TimeAxis& axis, const Plot& plot);

}  // namespace elmbay::simulation
