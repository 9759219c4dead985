#include "simulation/reports/html_sections.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <utility>

namespace elmbay::simulation {

namespace {

using Layout = ChartLayout;

/// Maximum rows of a chart that are still readable.
constexpr std::size_t kMaxRows = 40;

double row_y(std::size_t row) { return Layout::kTop + Layout::kRowHeight * static_cast<double>(row); }

std::string row_label(std::size_t row, const std::string& name) {
    return fmt::format("<text x='{}' y='{:.1f}' class='tick' text-anchor='end'>{}</text>", Layout::kLeft - 6,
                       row_y(row) + 11, name);
}

std::string fault_label(const FaultBand& fault, const BarExtent& bar, double y) {
    // Places the label after the bar, or before it if there is no space after it.
    const bool before_bar = bar.to > Layout::kWidth * 0.68;
    const std::string text = fault.name + (fault.targets.empty() ? "" : ": " + fault.targets);
    return fmt::format("<text x='{:.1f}' y='{:.1f}' class='label' text-anchor='{}'>{}</text>",
                       before_bar ? bar.from - 6 : bar.to + 6, y + 13, before_bar ? "end" : "start",
                       escape_html(text));
}

/// Returns the sidecars that had more than one process or were impaired, ascending.
std::vector<std::uint32_t> interrupted_sidecars(const SidecarActivity& activity) {
    std::vector<std::uint32_t> sidecars;
    std::map<std::uint32_t, std::size_t> processes;
    for (const SidecarSpan& span : activity.process_spans) {
        if (++processes[span.sidecar] == 2) sidecars.push_back(span.sidecar);
    }
    for (const SidecarSpan& span : activity.impaired_spans) sidecars.push_back(span.sidecar);
    std::sort(sidecars.begin(), sidecars.end());
    sidecars.erase(std::unique(sidecars.begin(), sidecars.end()), sidecars.end());
    return sidecars;
}

/// Appearance of the bars of one kind of span.
struct BarStyle {
    const char* colour;
    double inset;
};

std::string sidecar_bars(const std::vector<std::uint32_t>& rows, const std::vector<SidecarSpan>& spans,
                         const TimeAxis& axis, const BarStyle& style) {
    static constexpr double kMinWidth = 2;
    std::string text;
    for (const SidecarSpan& span : spans) {
        const auto row = std::lower_bound(rows.begin(), rows.end(), span.sidecar);
        if (row == rows.end() || *row != span.sidecar) continue;
        const double y = row_y(static_cast<std::size_t>(row - rows.begin()));
        const BarExtent bar = bar_extent(axis, span.start, span.end, kMinWidth);
        text += fmt::format(
            "<rect x='{:.1f}' y='{:.1f}' width='{:.1f}' height='{:.1f}' fill='{}'><title>n-{} {}: "
            "{:.1f}s to {:.1f}s</title></rect>",
            bar.from, y + 1 + style.inset, bar.to - bar.from, 12 - 2 * style.inset, style.colour,
            span.sidecar, escape_html(span.description), span.start / 1000, span.end / 1000);
    }
    return text;
}

std::string message_plots(const Report& report, const TimeAxis& axis) {
    PlotLine sent{"sent", "#495057", {}};
    PlotLine delivered{"delivered", "#2b8a3e", {}};
    PlotLine bytes{"bytes", "#1864ab", {}};
    double max_messages = 1;
    double max_bytes = 1;
    for (const MessageSecond& second : report.sidecar_activity.message_seconds) {
        sent.values.push_back(static_cast<double>(second.sent));
        delivered.values.push_back(static_cast<double>(second.delivered));
        bytes.values.push_back(static_cast<double>(second.bytes));
        max_messages = std::max({max_messages, sent.values.back(), delivered.values.back()});
        max_bytes = std::max(max_bytes, bytes.values.back());
    }
    const Plot messages_plot{
        "Messages between sidecars", round_up_for_axis(max_messages), "/s", {sent, delivered}};
    const Plot bytes_plot{"Bytes of messages delivered", round_up_for_axis(max_bytes), "", {bytes}};
    return line_plot(report.faults, axis, messages_plot) + line_plot(report.faults, axis, bytes_plot);
}

/// Draws the messages delivered between each two sidecars. Rows are receivers, columns are senders.
std::string delivery_matrix(const std::vector<std::vector<std::uint64_t>>& deliveries) {
    static constexpr double kMaxCell = 14;
    static constexpr double kMaxSize = 480;
    std::uint64_t max_count = 1;
    for (const auto& receivers : deliveries) {
        for (const std::uint64_t count : receivers) max_count = std::max(max_count, count);
    }
    const double cell = std::min(kMaxCell, kMaxSize / static_cast<double>(deliveries.size()));
    std::string text = fmt::format(
        "<text x='{}' y='14' class='title'>Messages delivered: rows are receivers, columns are "
        "senders</text>",
        Layout::kLeft);
    for (std::size_t from = 0; from < deliveries.size(); ++from) {
        for (std::size_t to = 0; to < deliveries.size(); ++to) {
            const std::uint64_t count = deliveries[from][to];
            if (count == 0) continue;
            text += fmt::format(
                "<rect x='{:.1f}' y='{:.1f}' width='{:.1f}' height='{:.1f}' fill='#1864ab' "
                "opacity='{:.2f}'><title>n-{} received from n-{}: {} messages</title></rect>",
                Layout::kLeft + cell * static_cast<double>(from),
                Layout::kTop + cell * static_cast<double>(to), cell - 0.5, cell - 0.5,
                0.15 + 0.85 * static_cast<double>(count) / static_cast<double>(max_count), to, from, count);
        }
    }
    return chart(cell * static_cast<double>(deliveries.size()), text);
}

/// Returns the servers that have a row in the chart, ascending: all of them, or the kMaxRows servers that
/// were sent the most work.
std::vector<std::size_t> busiest_servers(const std::vector<std::vector<ServerSecond>>& servers) {
    std::vector<std::pair<double, std::size_t>> totals;
    for (std::size_t i = 0; i < servers.size(); ++i) {
        double total = 0;
        for (const ServerSecond& second : servers[i]) total += second.work;
        totals.emplace_back(total, i);
    }
    if (totals.size() > kMaxRows) {
        std::sort(totals.rbegin(), totals.rend());
        totals.resize(kMaxRows);
    }
    std::vector<std::size_t> busiest;
    busiest.reserve(totals.size());
    for (const auto& [total, server] : totals) busiest.push_back(server);
    std::sort(busiest.begin(), busiest.end());
    return busiest;
}

std::string work_row(std::size_t row, std::size_t server, const std::vector<ServerSecond>& seconds,
                     float max_work, const TimeAxis& axis) {
    std::string text = row_label(row, "s-" + std::to_string(server));
    for (std::size_t i = 0; i < seconds.size() && static_cast<double>(i) < axis.seconds(); ++i) {
        const double from = axis.x(static_cast<double>(i));
        text += fmt::format(
            "<rect x='{:.1f}' y='{:.1f}' width='{:.1f}' height='13' fill='#1864ab' opacity='{:.2f}'>"
            "<title>s-{} at {}s: {:.0f}ms of work, {} attempts</title></rect>",
            from, row_y(row), axis.x(static_cast<double>(i) + 1) - from - 0.5, seconds[i].work / max_work,
            server, i, seconds[i].work, seconds[i].attempts);
    }
    return text;
}

}  // namespace

std::string verdict_table(const Report& report) {
    std::string text = "<table><tr><th>Invariant</th><th>Verdict</th><th></th></tr>";
    for (const InvariantReport& invariant : report.invariants) {
        const bool holds = invariant.violations == 0;
        std::string examples;
        for (const std::string& example : invariant.examples) examples += escape_html(example) + "<br>";
        text += fmt::format(
            "<tr><td>{}</td><td class='{}'>{}</td><td>{}</td></tr>", invariant.name, holds ? "good" : "bad",
            holds ? "holds" : fmt::format("violated {} times", invariant.violations), examples);
    }
    for (const ExpectationReport& expectation : report.expectations) {
        text += fmt::format(
            "<tr><td>expected {}</td><td class='{}'>{}</td><td>{} {:.4g}, measured {:.4g}</td></tr>",
            expectation.name, expectation.met ? "good" : "bad", expectation.met ? "met" : "not met",
            expectation.is_upper_bound ? "at most" : "at least", expectation.bound, expectation.measured);
    }
    return text + "</table>";
}

std::string fault_chart(const Report& report, const TimeAxis& axis) {
    static constexpr double kMinWidth = 3;
    if (report.faults.empty()) return "";
    const double height = Layout::kFaultRowHeight * static_cast<double>(report.faults.size());
    std::string text = chart_frame(axis, height, "Faults");
    for (std::size_t i = 0; i < report.faults.size(); ++i) {
        const FaultBand& fault = report.faults[i];
        const double y = Layout::kTop + Layout::kFaultRowHeight * static_cast<double>(i);
        const BarExtent bar = bar_extent(axis, fault.start, fault.end, kMinWidth);
        text += fmt::format(
            "<rect x='{:.1f}' y='{:.1f}' width='{:.1f}' height='{}' rx='3' fill='{}' opacity='0.75'/>",
            bar.from, y + 2, bar.to - bar.from, Layout::kFaultRowHeight - 4, fault_colour(i));
        text += fault_label(fault, bar, y);
    }
    return chart(height, text);
}

std::string service_plots(const Report& report, const TimeAxis& axis) {
    PlotLine goodput{"goodput", "#2b8a3e", {}};
    PlotLine requested{"requested", "#495057", {}};
    PlotLine p50{"p50", "#1864ab", {}};
    PlotLine p99{"p99", "#d9480f", {}};
    double max_requested = 1;
    double max_p99 = 1;
    for (const SecondReport& second : report.metrics.seconds) {
        goodput.values.push_back(100 * second.goodput());
        requested.values.push_back(static_cast<double>(second.requested));
        p50.values.push_back(second.p50);
        p99.values.push_back(second.p99);
        max_requested = std::max(max_requested, requested.values.back());
        max_p99 = std::max(max_p99, second.p99);
    }
    const std::vector<Plot> plots{
        {"Goodput: share of the offered value served within the latency objective, by second of arrival",
         100,
         "%",
         {goodput}},
        {"Operations requested", round_up_for_axis(max_requested), "/s", {requested}},
        {"Latency of served operations, from the first request",
         round_up_for_axis(max_p99),
         "ms",
         {p99, p50}}};
    std::string text;
    for (const Plot& plot : plots) text += line_plot(report.faults, axis, plot);
    return text;
}

std::string sidecar_chart(const Report& report, const TimeAxis& axis) {
    std::vector<std::uint32_t> rows = interrupted_sidecars(report.sidecar_activity);
    if (rows.empty()) return "";
    const std::size_t interrupted = rows.size();
    rows.resize(std::min(rows.size(), kMaxRows));
    const double height = Layout::kRowHeight * static_cast<double>(rows.size());
    const std::string title = fmt::format(
        "Interrupted sidecars ({} of {}; grey: running, orange: paused or CPU-limited, gap: no "
        "process)",
        rows.size(), interrupted);
    std::string text = chart_frame(axis, height, title);
    text += sidecar_bars(rows, report.sidecar_activity.process_spans, axis, {"#adb5bd", 0});
    text += sidecar_bars(rows, report.sidecar_activity.impaired_spans, axis, {"#e8590c", 3});
    for (std::size_t i = 0; i < rows.size(); ++i) text += row_label(i, "n-" + std::to_string(rows[i]));
    return chart(height, text);
}

std::string link_fault_table(const SidecarActivity& activity) {
    if (activity.link_faults.empty()) return "";
    std::string text = "<table><tr><th>Fault on links</th><th>from</th><th>to</th></tr>";
    for (const LinkFaultReport& fault : activity.link_faults) {
        text +=
            fmt::format("<tr><td>{}: {}</td><td>{:.1f}s</td><td>{:.1f}s</td></tr>", escape_html(fault.name),
                        escape_html(fault.description), fault.start / 1000, fault.end / 1000);
    }
    return text + "</table>";
}

std::string message_charts(const Report& report, const TimeAxis& axis) {
    const SidecarActivity& activity = report.sidecar_activity;
    if (activity.messages_sent == 0) return "";
    std::string text = message_plots(report, axis);
    if (!activity.deliveries.empty()) text += delivery_matrix(activity.deliveries);
    return text;
}

std::string work_chart(const Report& report, const TimeAxis& axis) {
    const auto& servers = report.metrics.servers;
    float max_work = 1;  // greatest work of one server in one second
    for (const auto& seconds : servers) {
        for (const ServerSecond& second : seconds) max_work = std::max(max_work, second.work);
    }
    const std::vector<std::size_t> rows = busiest_servers(servers);
    const double height = Layout::kRowHeight * static_cast<double>(rows.size());
    std::string text = chart_frame(axis, height, "Work sent to each server, by second (darker is more)");
    for (std::size_t row = 0; row < rows.size(); ++row) {
        text += work_row(row, rows[row], servers[rows[row]], max_work, axis);
    }
    return chart(height, text);
}

std::string class_table(const Report& report) {
    std::string text =
        "<table><tr><th>Class</th><th>requested</th><th>in time</th><th>late</th><th>rejected</th>"
        "<th>failed</th><th>goodput</th><th>p50 ms</th><th>p90</th><th>p99</th><th>max</th></tr>";
    for (const ClassReport& row : report.metrics.classes) {
        text += fmt::format(
            "<tr><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{:.3f}</td>"
            "<td>{:.0f}</td><td>{:.0f}</td><td>{:.0f}</td><td>{:.0f}</td></tr>",
            escape_html(row.name), row.requested, row.within_objective, row.late, row.rejected, row.failed,
            row.goodput(), row.p50, row.p90, row.p99, row.max_latency);
    }
    return text + "</table>";
}

}  // namespace elmbay::simulation
