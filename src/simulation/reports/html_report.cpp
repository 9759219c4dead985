// The report as one HTML file: plots are SVG drawn here, nothing is loaded from anywhere.
#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <map>

#include "simulation/reports/report.hpp"

namespace elmbay::simulation {

namespace {

constexpr double kWidth = 960, kLeft = 64, kRight = 16, kTop = 22, kBottom = 24;
constexpr double kPlotHeight = 170, kBandHeight = 18;
// Beyond so many servers a row each is no longer to be read; the hardest worked are shown.
constexpr std::size_t kMaxRows = 40;
constexpr const char* kFaultColours[] = {"#d9480f", "#5f3dc4", "#0b7285", "#a61e4d", "#2b8a3e", "#846358"};

std::string escaped(const std::string& text) {
    std::string out;
    for (const char c : text) {
        if (c == '<')
            out += "&lt;";
        else if (c == '>')
            out += "&gt;";
        else if (c == '&')
            out += "&amp;";
        else if (c == '"')
            out += "&quot;";
        else
            out += c;
    }
    return out;
}

// The next of 1, 2, 4, 8 times a power of ten: a quarter of it is a figure that reads well.
double round_top(double value) {
    const double power = std::pow(10, std::floor(std::log10(std::max(value, 1e-9))));
    for (const double times : {1.0, 2.0, 4.0, 8.0})
        if (value <= times * power) return times * power;
    return 10 * power;
}

class Axis {
public:
    explicit Axis(Millis length) : seconds_(std::max(1.0, length / 1000)) {}
    double x(double second) const {
        return kLeft + std::clamp(second / seconds_, 0.0, 1.0) * (kWidth - kLeft - kRight);
    }
    double seconds() const { return seconds_; }
    // A mark every 5 s, or so many that at most a dozen stand.
    double step() const { return std::max(1.0, std::ceil(seconds_ / 12 / 5) * 5); }

private:
    double seconds_;
};

std::string frame(const Axis& axis, double height, const std::string& title) {
    std::string t = fmt::format("<text x='{}' y='14' class='title'>{}</text>", kLeft, title);
    for (double s = 0; s <= axis.seconds() + 1e-9; s += axis.step())
        t += fmt::format(
            "<line x1='{0:.1f}' x2='{0:.1f}' y1='{1}' y2='{2}' class='grid'/>"
            "<text x='{0:.1f}' y='{3}' class='tick' text-anchor='middle'>{4:.0f}s</text>",
            axis.x(s), kTop, kTop + height, kTop + height + 15, s);
    return t;
}

std::string bands(const Report& r, const Axis& axis, double height) {
    std::string t;
    for (std::size_t i = 0; i < r.faults.size(); ++i) {
        const FaultBand& f = r.faults[i];
        t += fmt::format("<rect x='{:.1f}' y='{}' width='{:.1f}' height='{}' fill='{}' opacity='0.09'/>",
                         axis.x(f.start / 1000), kTop,
                         std::max(2.0, axis.x(f.end / 1000) - axis.x(f.start / 1000)), height,
                         kFaultColours[i % std::size(kFaultColours)]);
    }
    return t;
}

std::string svg(double height, const std::string& inner) {
    return fmt::format("<svg viewBox='0 0 {} {}' role='img'>{}</svg>", kWidth, height + kTop + kBottom,
                       inner);
}

std::string fault_rows(const Report& r, const Axis& axis) {
    if (r.faults.empty()) return "";
    const double height = kBandHeight * static_cast<double>(r.faults.size());
    std::string t = frame(axis, height, "What goes wrong");
    for (std::size_t i = 0; i < r.faults.size(); ++i) {
        const FaultBand& f = r.faults[i];
        const double y = kTop + kBandHeight * static_cast<double>(i);
        const double from = axis.x(f.start / 1000), to = std::max(from + 3, axis.x(f.end / 1000));
        t += fmt::format(
            "<rect x='{:.1f}' y='{:.1f}' width='{:.1f}' height='{}' rx='3' fill='{}' opacity='0.75'/>", from,
            y + 2, to - from, kBandHeight - 4, kFaultColours[i % std::size(kFaultColours)]);
        // The words stand where there is room for them: behind the bar, or before it.
        const bool before = to > kWidth * 0.68;
        t += fmt::format("<text x='{:.1f}' y='{:.1f}' class='label' text-anchor='{}'>{}</text>",
                         before ? from - 6 : to + 6, y + 13, before ? "end" : "start",
                         escaped(f.name + (f.targets.empty() ? "" : ": " + f.targets)));
    }
    return svg(height, t);
}

struct Line {
    std::string name, colour;
    std::vector<double> values;
};

std::string plot(const Report& r, const Axis& axis, const std::string& title, double top, const char* unit,
                 const std::vector<Line>& lines) {
    std::string t = frame(axis, kPlotHeight, title) + bands(r, axis, kPlotHeight);
    const auto y = [&](double v) { return kTop + kPlotHeight * (1 - std::clamp(v / top, 0.0, 1.0)); };
    for (int i = 0; i <= 4; ++i)
        t += fmt::format(
            "<line x1='{}' x2='{}' y1='{:.1f}' y2='{:.1f}' class='grid'/>"
            "<text x='{}' y='{:.1f}' class='tick' text-anchor='end'>{:.4g}{}</text>",
            kLeft, kWidth - kRight, y(top * i / 4), y(top * i / 4), kLeft - 6, y(top * i / 4) + 4,
            top * i / 4, unit);
    double legend = kWidth - kRight;
    for (const Line& line : lines) {
        std::string points;
        for (std::size_t i = 0; i < line.values.size(); ++i)
            points += fmt::format("{:.1f},{:.1f} ", axis.x(static_cast<double>(i) + 0.5), y(line.values[i]));
        t += fmt::format("<polyline points='{}' fill='none' stroke='{}' stroke-width='2'/>", points,
                         line.colour);
        t += fmt::format("<text x='{}' y='14' class='label' text-anchor='end' fill='{}'>{}</text>", legend,
                         line.colour, line.name);
        legend -= 9.0 * static_cast<double>(line.name.size()) + 12;
    }
    return svg(kPlotHeight, t);
}

// Work sent to each server by second, against the most any got: dark is much.
std::string work_rows(const Report& r, const Axis& axis) {
    std::vector<std::pair<double, std::size_t>> totals;
    float most = 1;
    for (std::size_t i = 0; i < r.metrics.servers.size(); ++i) {
        double total = 0;
        for (const ServerSecond& s : r.metrics.servers[i]) total += s.work, most = std::max(most, s.work);
        totals.push_back({total, i});
    }
    if (totals.size() > kMaxRows) {
        std::sort(totals.rbegin(), totals.rend());
        totals.resize(kMaxRows);
        std::sort(totals.begin(), totals.end(), [](auto& a, auto& b) { return a.second < b.second; });
    }
    const double height = 14.0 * static_cast<double>(totals.size());
    std::string t = frame(axis, height, "Work sent to each server, by second (dark is much)");
    for (std::size_t row = 0; row < totals.size(); ++row) {
        const double y = kTop + 14.0 * static_cast<double>(row);
        t += fmt::format("<text x='{}' y='{:.1f}' class='tick' text-anchor='end'>s-{}</text>", kLeft - 6,
                         y + 11, totals[row].second);
        const auto& seconds = r.metrics.servers[totals[row].second];
        for (std::size_t s = 0; s < seconds.size() && static_cast<double>(s) < axis.seconds(); ++s)
            t += fmt::format(
                "<rect x='{:.1f}' y='{:.1f}' width='{:.1f}' height='13' fill='#1864ab' opacity='{:.2f}'>"
                "<title>s-{} at {}s: {:.0f}ms of work, {} attempts</title></rect>",
                axis.x(static_cast<double>(s)), y,
                axis.x(static_cast<double>(s) + 1) - axis.x(static_cast<double>(s)) - 0.5,
                seconds[s].work / most, totals[row].second, s, seconds[s].work, seconds[s].attempts);
    }
    return svg(height, t);
}

// A row a sidecar that had more than one life, or was kept from its core; grey: it ran.
std::string sidecar_rows(const Report& r, const Axis& axis) {
    const SidecarActivity& side = r.sidecar_activity;
    std::vector<std::uint32_t> rows;
    std::map<std::uint32_t, std::size_t> lives;
    for (const SidecarSpan& s : side.process_spans)
        if (++lives[s.sidecar] == 2) rows.push_back(s.sidecar);
    for (const SidecarSpan& s : side.impaired_spans) rows.push_back(s.sidecar);
    std::sort(rows.begin(), rows.end());
    rows.erase(std::unique(rows.begin(), rows.end()), rows.end());
    const std::size_t all = rows.size();
    if (all == 0) return "";
    if (rows.size() > kMaxRows) rows.resize(kMaxRows);
    const double height = 14.0 * static_cast<double>(rows.size());
    std::string t =
        frame(axis, height,
              fmt::format("Sidecars that did not run through ({} of {}; grey: running, {}: paused or "
                          "starved, gap: none there)",
                          rows.size(), all, "orange"));
    const auto bars = [&](const std::vector<SidecarSpan>& spans, const char* colour, double inset) {
        for (const SidecarSpan& s : spans) {
            const auto row = std::lower_bound(rows.begin(), rows.end(), s.sidecar);
            if (row == rows.end() || *row != s.sidecar) continue;
            const double y = kTop + 14.0 * static_cast<double>(row - rows.begin());
            const double from = axis.x(s.start / 1000), to = std::max(from + 2, axis.x(s.end / 1000));
            t += fmt::format(
                "<rect x='{:.1f}' y='{:.1f}' width='{:.1f}' height='{:.1f}' fill='{}'><title>n-{} {}: "
                "{:.1f}s to "
                "{:.1f}s</title></rect>",
                from, y + 1 + inset, to - from, 12 - 2 * inset, colour, s.sidecar, escaped(s.description),
                s.start / 1000, s.end / 1000);
        }
    };
    bars(side.process_spans, "#adb5bd", 0);
    bars(side.impaired_spans, "#e8590c", 3);
    for (std::size_t i = 0; i < rows.size(); ++i)
        t += fmt::format("<text x='{}' y='{:.1f}' class='tick' text-anchor='end'>n-{}</text>", kLeft - 6,
                         kTop + 14.0 * static_cast<double>(i) + 11, rows[i]);
    return svg(height, t);
}

std::string cut_rows(const SidecarActivity& side) {
    if (side.link_faults.empty()) return "";
    std::string t = "<table><tr><th>On links</th><th>from</th><th>to</th></tr>";
    for (const LinkFaultReport& c : side.link_faults)
        t += fmt::format("<tr><td>{}: {}</td><td>{:.1f}s</td><td>{:.1f}s</td></tr>", escaped(c.name),
                         escaped(c.description), c.start / 1000, c.end / 1000);
    return t + "</table>";
}

std::string message_plots(const Report& r, const Axis& axis) {
    const SidecarActivity& side = r.sidecar_activity;
    if (side.messages_sent == 0) return "";
    std::vector<double> sent, delivered, bytes;
    double most = 1, most_bytes = 1;
    for (const MessageSecond& s : side.message_seconds) {
        sent.push_back(static_cast<double>(s.sent)), delivered.push_back(static_cast<double>(s.delivered));
        bytes.push_back(static_cast<double>(s.bytes));
        most = std::max({most, sent.back(), delivered.back()}),
        most_bytes = std::max(most_bytes, bytes.back());
    }
    std::string t = plot(r, axis, "Messages between sidecars", round_top(most), "/s",
                         {{"sent", "#495057", sent}, {"delivered", "#2b8a3e", delivered}});
    t += plot(r, axis, "Bytes of messages delivered", round_top(most_bytes), "",
              {{"bytes", "#1864ab", bytes}});
    if (side.deliveries.empty()) return t;
    // Who heard whom: rows hear, columns speak.
    std::uint64_t top = 1;
    for (const auto& row : side.deliveries)
        for (const std::uint64_t n : row) top = std::max(top, n);
    const double cell = std::min(14.0, 480.0 / static_cast<double>(side.deliveries.size()));
    const double height = cell * static_cast<double>(side.deliveries.size());
    std::string m = fmt::format(
        "<text x='{}' y='14' class='title'>Who heard whom: rows hear, columns speak</text>", kLeft);
    for (std::size_t from = 0; from < side.deliveries.size(); ++from)
        for (std::size_t to = 0; to < side.deliveries.size(); ++to)
            if (side.deliveries[from][to] > 0)
                m += fmt::format(
                    "<rect x='{:.1f}' y='{:.1f}' width='{:.1f}' height='{:.1f}' fill='#1864ab' "
                    "opacity='{:.2f}'>"
                    "<title>n-{} heard n-{} {} times</title></rect>",
                    kLeft + cell * static_cast<double>(from), kTop + cell * static_cast<double>(to),
                    cell - 0.5, cell - 0.5,
                    0.15 + 0.85 * static_cast<double>(side.deliveries[from][to]) / static_cast<double>(top),
                    to, from, side.deliveries[from][to]);
    return t + svg(height, m);
}

std::string verdict_rows(const Report& r) {
    std::string t = "<table><tr><th>Rule</th><th>Verdict</th><th></th></tr>";
    for (const InvariantReport& rule : r.invariants) {
        std::string examples;
        for (const std::string& e : rule.examples) examples += escaped(e) + "<br>";
        t +=
            fmt::format("<tr><td>{}</td><td class='{}'>{}</td><td>{}</td></tr>", rule.name,
                        rule.violations ? "bad" : "good",
                        rule.violations ? fmt::format("broken {} times", rule.violations) : "kept", examples);
    }
    for (const ExpectationReport& e : r.expectations)
        t += fmt::format("<tr><td>expected {}</td><td class='{}'>{}</td><td>{} {:.4g}, seen {:.4g}</td></tr>",
                         e.name, e.met ? "good" : "bad", e.met ? "met" : "not met",
                         e.is_upper_bound ? "at most" : "at least", e.bound, e.measured);
    return t + "</table>";
}

std::string class_rows(const Report& r) {
    std::string t =
        "<table><tr><th>Class</th><th>asked</th><th>in its "
        "aim</th><th>late</th><th>refused</th><th>failed</th>"
        "<th>goodput</th><th>p50 ms</th><th>p90</th><th>p99</th><th>most</th></tr>";
    for (const ClassReport& c : r.metrics.classes)
        t += fmt::format(
            "<tr><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{:.3f}</td>"
            "<td>{:.0f}</td><td>{:.0f}</td><td>{:.0f}</td><td>{:.0f}</td></tr>",
            escaped(c.name), c.requested, c.within_objective, c.late, c.rejected, c.failed, c.goodput(),
            c.p50, c.p90, c.p99, c.max_latency);
    return t + "</table>";
}

constexpr const char* kStyle =
    "body{font:15px/1.45 system-ui,sans-serif;margin:2em auto;max-width:62em;padding:0 1em;color:#212529}"
    "h1{font-size:1.5em;margin:0}svg{width:100%;height:auto;margin:.6em 0;display:block}"
    ".verdict{font-size:1.15em;padding:.5em .8em;border-radius:6px;margin:.8em 0;color:#fff;font-weight:600}"
    "table{border-collapse:collapse;margin:1em 0;font-variant-numeric:tabular-nums}"
    "td,th{padding:.25em .8em .25em 0;text-align:left;vertical-align:top;border-bottom:1px solid #e9ecef}"
    ".good{color:#2b8a3e}.bad{color:#c92a2a;font-weight:600}.grid{stroke:#dee2e6;stroke-width:1}"
    ".tick{font-size:11px;fill:#495057}.label{font-size:12px}.title{font-size:13px;font-weight:600}"
    ".facts{color:#495057}";

}  // namespace

std::string page_of(const Report& r) {
    const Axis axis(r.duration);
    std::vector<double> goodput, asked, p50, p99;
    double most_asked = 1, most_p99 = 1;
    for (const SecondReport& s : r.metrics.seconds) {
        goodput.push_back(100 * s.goodput());
        asked.push_back(static_cast<double>(s.requested));
        p50.push_back(s.p50), p99.push_back(s.p99);
        most_asked = std::max(most_asked, asked.back()), most_p99 = std::max(most_p99, s.p99);
    }
    const char* colour = !r.punctuality.trusted() ? "#e67700" : r.passed() ? "#2b8a3e" : "#c92a2a";
    const std::string words = !r.punctuality.trusted()
                                  ? "This run is not to be trusted: the emulator itself ran late"
                              : !r.invariants_hold()  ? "A rule was broken"
                              : !r.expectations_met() ? "Rules kept, expectations not met"
                                                      : "Rules and expectations kept";
    std::string page = fmt::format(
        "<!doctype html><html lang='en'><head><meta charset='utf-8'>"
        "<meta name='viewport' content='width=device-width'><title>{0}: {1}</title><style>{2}</style></head>"
        "<body><h1>{0}</h1><p>{3}</p><div class='verdict' style='background:{4}'>{1}</div>"
        "<p class='facts'>{5}, {6}, seed {7}: {8} servers, {9} sidecars, {10} requests in {11:.0f}s, "
        "{12:.3f} "
        "attempts a try. Goodput {13:.3f}, worst class {14:.3f}, worst second {15:.3f}.{16}</p>",
        escaped(r.scenario), words, kStyle, escaped(r.description), colour, r.mode, escaped(r.balancer),
        r.seed, r.servers, r.sidecars, r.operations, r.duration / 1000, r.attempts_per_request,
        r.metrics.goodput, r.metrics.min_class_goodput, r.metrics.min_second_goodput,
        r.punctuality.measured ? fmt::format(" The emulator's own lateness: p99 {:.1f}ms, most {:.1f}ms.",
                                             r.punctuality.p99, r.punctuality.max)
                               : "");
    page += verdict_rows(r) + fault_rows(r, axis);
    page += plot(r, axis, "Goodput: worth answered in its aim, by the second asked", 100, "%",
                 {{"goodput", "#2b8a3e", goodput}});
    page += plot(r, axis, "Requests asked", round_top(most_asked), "/s", {{"asked", "#495057", asked}});
    page += plot(r, axis, "Latency of what was served, from the first try on", round_top(most_p99), "ms",
                 {{"p99", "#d9480f", p99}, {"p50", "#1864ab", p50}});
    page += sidecar_rows(r, axis) + cut_rows(r.sidecar_activity) + message_plots(r, axis);
    page += work_rows(r, axis) + class_rows(r);
    for (const std::string& note : r.notes) page += "<p>" + escaped(note) + "</p>";
    return page + "</body></html>\n";
}

}  // namespace elmbay::simulation
