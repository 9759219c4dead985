/// @file
/// Renders a report as one HTML file. Plots are inline SVG, and the page loads no other resources.
#include <fmt/format.h>

#include "simulation/reports/html_sections.hpp"
#include "simulation/reports/report.hpp"

namespace elmbay::simulation {

namespace {

constexpr const char* kStyle =
    "body{font:15px/1.45 system-ui,sans-serif;margin:2em auto;max-width:62em;padding:0 1em;color:#212529}"
    "h1{font-size:1.5em;margin:0}svg{width:100%;height:auto;margin:.6em 0;display:block}"
    ".verdict{font-size:1.15em;padding:.5em .8em;border-radius:6px;margin:.8em 0;color:#fff;font-weight:600}"
    "table{border-collapse:collapse;margin:1em 0;font-variant-numeric:tabular-nums}"
    "td,th{padding:.25em .8em .25em 0;text-align:left;vertical-align:top;border-bottom:1px solid #e9ecef}"
    ".good{color:#2b8a3e}.bad{color:#c92a2a;font-weight:600}.grid{stroke:#dee2e6;stroke-width:1}"
    ".tick{font-size:11px;fill:#495057}.label{font-size:12px}.title{font-size:13px;font-weight:600}"
    ".facts{color:#495057}";

/// Text and colour of a run's verdict.
struct Verdict {
    const char* text;
    const char* colour;
};

Verdict verdict_of(const Report& report) {
    static constexpr const char* kRed = "#c92a2a";
    if (!report.timer_lateness.is_acceptable()) {
        return {"The results of this run are not to be trusted: the emulator's timers fired late", "#e67700"};
    }
    if (!report.invariants_hold()) return {"An invariant was violated", kRed};
    if (!report.expectations_met()) return {"Invariants hold, expectations not met", kRed};
    return {"Invariants hold, expectations met", "#2b8a3e"};
}

std::string timer_lateness_sentence(const TimerLateness& timer_lateness) {
    if (!timer_lateness.measured) return "";
    return fmt::format(" Lateness of the emulator's timers: p99 {:.1f}ms, maximum {:.1f}ms.",
                       timer_lateness.p99, timer_lateness.max);
}

std::string heading(const Report& report) {
    const Verdict verdict = verdict_of(report);
    std::string text = fmt::format(
        "<!doctype html><html lang='en'><head><meta charset='utf-8'>"
        "<meta name='viewport' content='width=device-width'><title>{0}: {1}</title><style>{2}</style></head>"
        "<body><h1>{0}</h1><p>{3}</p><div class='verdict' style='background:{4}'>{1}</div>",
        escape_html(report.scenario), verdict.text, kStyle, escape_html(report.description), verdict.colour);
    text += fmt::format(
        "<p class='facts'>{}, {}, seed {}: {} servers, {} sidecars, {} operations in {:.0f}s, {:.3f} "
        "attempts per client request. Goodput {:.3f}, worst class {:.3f}, worst second {:.3f}.{}</p>",
        report.mode, escape_html(report.balancer), report.seed, report.servers, report.sidecars,
        report.operations, report.duration / 1000, report.attempts_per_request, report.metrics.goodput,
        report.metrics.min_class_goodput, report.metrics.min_second_goodput,
        timer_lateness_sentence(report.timer_lateness));
    return text;
}

}  // namespace

std::string html_of(const Report& report) {
    const TimeAxis axis(report.duration);
    std::string page = heading(report);
    page += verdict_table(report);
    page += fault_chart(report, axis);
    page += service_plots(report, axis);
    page += sidecar_chart(report, axis);
    page += link_fault_table(report.sidecar_activity);
    page += message_charts(report, axis);
    page += work_chart(report, axis);
    page += class_table(report);
    for (const std::string& note : report.notes) page += "<p>" + escape_html(note) + "</p>";
    return page + "</body></html>\n";
}

}  // namespace elmbay::simulation
