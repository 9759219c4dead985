/// \file
/// Charts over the time of a run, as inline SVG for the HTML report.
#pragma once

#include <string>
#include <vector>

#include "simulation/reports/report.hpp"

namespace elmbay::simulation {

/// Geometry of all charts of a page, in the units of their viewBox.
struct ChartLayout {
    static constexpr double kWidth = 960;
    static constexpr double kLeft = 64;  ///< Room for labels.
    static constexpr double kRight = 16;
    static constexpr double kTop = 22;  ///< Room for the title.
    static constexpr double kBottom = 24;
    static constexpr double kPlotHeight = 170;
    static constexpr double kFaultRowHeight = 18;
    static constexpr double kRowHeight = 14;
};

/// Text with the characters replaced that HTML gives a meaning.
std::string escape_html(const std::string& text);

/// The smallest of 1, 2, 4, 8 times a power of ten that is not below `value`: a quarter of it reads well.
double round_up_for_axis(double value);

/// The horizontal axis that all charts of a page share.
class TimeAxis {
public:
    explicit TimeAxis(Millis duration);
    /// Position of a moment; moments outside of the run are moved to its ends.
    double x(double second) const;
    double seconds() const { return seconds_; }
    /// Seconds between tick marks: a multiple of 5, so that there are at most a dozen.
    double tick_interval() const;

private:
    double seconds_;
};

/// Horizontal extent of a bar.
struct BarExtent {
    double from = 0;
    double to = 0;
};
/// The bar for a span of time, at least `min_width` wide.
BarExtent bar_extent(const TimeAxis& axis, Millis start, Millis end, double min_width);

/// Title, grid and labels of the time axis.
std::string chart_frame(const TimeAxis& axis, double height, const std::string& title);
/// The whole `<svg>` element of a chart with that content.
std::string chart(double height, const std::string& content);
/// Colour of fault number `index`.
const char* fault_colour(std::size_t index);

/// One line of a plot, with a value for each second.
struct PlotLine {
    std::string name;
    std::string colour;
    std::vector<double> values;
};
/// Content of a plot.
struct Plot {
    std::string title;
    double top = 1;  ///< Value at the upper edge.
    std::string unit;
    std::vector<PlotLine> lines;
};
/// A line plot, with the faults as bands in the background.
std::string line_plot(const std::vector<FaultBand>& faults, const TimeAxis& axis, const Plot& plot);

}  // namespace elmbay::simulation
