#include "simulation/reports/svg_chart.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <iterator>

namespace elmbay::simulation {

namespace {

using Layout = ChartLayout;

constexpr auto kFaultColours =
    std::to_array<const char*>({"#d9480f", "#5f3dc4", "#0b7285", "#a61e4d", "#2b8a3e", "#846358"});
constexpr int kValueTicks = 4;
constexpr double kMinBandWidth = 2;

std::string fault_bands(const std::vector<FaultBand>& faults, const TimeAxis& axis, double height) {
    std::string text;
    for (std::size_t i = 0; i < faults.size(); ++i) {
        const double from = axis.x(faults[i].start / 1000);
        const double width = std::max(kMinBandWidth, axis.x(faults[i].end / 1000) - from);
        text += fmt::format("<rect x='{:.1f}' y='{}' width='{:.1f}' height='{}' fill='{}' opacity='0.09'/>",
                            from, Layout::kTop, width, height, fault_colour(i));
    }
    return text;
}

double value_y(double value, double top) {
    return Layout::kTop + Layout::kPlotHeight * (1 - std::clamp(value / top, 0.0, 1.0));
}

std::string value_axis(const Plot& plot) {
    std::string text;
    for (int i = 0; i <= kValueTicks; ++i) {
        const double value = plot.top * i / kValueTicks;
        const double y = value_y(value, plot.top);
        text += fmt::format(
            "<line x1='{}' x2='{}' y1='{:.1f}' y2='{:.1f}' class='grid'/>"
            "<text x='{}' y='{:.1f}' class='tick' text-anchor='end'>{:.4g}{}</text>",
            Layout::kLeft, Layout::kWidth - Layout::kRight, y, y, Layout::kLeft - 6, y + 4, value, plot.unit);
    }
    return text;
}

std::string polyline(const PlotLine& line, const TimeAxis& axis, double top) {
    std::string points;
    for (std::size_t second = 0; second < line.values.size(); ++second) {
        const double middle = static_cast<double>(second) + 0.5;
        points += fmt::format("{:.1f},{:.1f} ", axis.x(middle), value_y(line.values[second], top));
    }
    return fmt::format("<polyline points='{}' fill='none' stroke='{}' stroke-width='2'/>", points,
                       line.colour);
}

}  // namespace

std::string escape_html(const std::string& text) {
    std::string escaped;
    for (const char character : text) {
        switch (character) {
            case '<':
                escaped += "&lt;";
                break;
            case '>':
                escaped += "&gt;";
                break;
            case '&':
                escaped += "&amp;";
                break;
            case '"':
                escaped += "&quot;";
                break;
            default:
                escaped += character;
        }
    }
    return escaped;
}

double round_up_for_axis(double value) {
    static constexpr double kMinValue = 1e-9;
    const double power = std::pow(10, std::floor(std::log10(std::max(value, kMinValue))));
    for (const double multiple : {1.0, 2.0, 4.0, 8.0}) {
        if (value <= multiple * power) return multiple * power;
    }
    return 10 * power;
}

TimeAxis::TimeAxis(Millis duration) : seconds_(std::max(1.0, duration / 1000)) {}

double TimeAxis::x(double second) const {
    const double width = Layout::kWidth - Layout::kLeft - Layout::kRight;
    return Layout::kLeft + std::clamp(second / seconds_, 0.0, 1.0) * width;
}

double TimeAxis::tick_interval() const {
    static constexpr double kMaxTicks = 12;
    static constexpr double kStep = 5;
    return std::max(1.0, std::ceil(seconds_ / kMaxTicks / kStep) * kStep);
}

BarExtent bar_extent(const TimeAxis& axis, Millis start, Millis end, double min_width) {
    const double from = axis.x(start / 1000);
    return {from, std::max(from + min_width, axis.x(end / 1000))};
}

std::string chart_frame(const TimeAxis& axis, double height, const std::string& title) {
    static constexpr double kRoundingError = 1e-9;
    std::string text = fmt::format("<text x='{}' y='14' class='title'>{}</text>", Layout::kLeft, title);
    for (double second = 0; second <= axis.seconds() + kRoundingError; second += axis.tick_interval()) {
        text += fmt::format(
            "<line x1='{0:.1f}' x2='{0:.1f}' y1='{1}' y2='{2}' class='grid'/>"
            "<text x='{0:.1f}' y='{3}' class='tick' text-anchor='middle'>{4:.0f}s</text>",
            axis.x(second), Layout::kTop, Layout::kTop + height, Layout::kTop + height + 15, second);
    }
    return text;
}

std::string chart(double height, const std::string& content) {
    return fmt::format("<svg viewBox='0 0 {} {}' role='img'>{}</svg>", Layout::kWidth,
                       height + Layout::kTop + Layout::kBottom, content);
}

const char* fault_colour(std::size_t index) { return kFaultColours[index % std::size(kFaultColours)]; }

std::string line_plot(const std::vector<FaultBand>& faults, const TimeAxis& axis, const Plot& plot) {
    static constexpr double kCharacterWidth = 9;
    static constexpr double kLegendGap = 12;
    std::string content = chart_frame(axis, Layout::kPlotHeight, plot.title);
    content += fault_bands(faults, axis, Layout::kPlotHeight);
    content += value_axis(plot);
    double legend_end = Layout::kWidth - Layout::kRight;
    for (const PlotLine& line : plot.lines) {
        content += polyline(line, axis, plot.top);
        content += fmt::format("<text x='{}' y='14' class='label' text-anchor='end' fill='{}'>{}</text>",
                               legend_end, line.colour, line.name);
        legend_end -= kCharacterWidth * static_cast<double>(line.name.size()) + kLegendGap;
    }
    return chart(Layout::kPlotHeight, content);
}

}  // namespace elmbay::simulation
