/// @file
/// Reports as text for a terminal.
#include <fmt/format.h>

#include <algorithm>

#include "simulation/reports/report.hpp"

namespace elmbay::simulation {

namespace {

const char* verdict_text(const Report& report) {
    if (!report.timer_lateness.is_acceptable()) return "NOT TO BE TRUSTED: the emulator's timers fired late";
    if (!report.invariants_hold()) return "BROKEN";
    return report.expectations_met() ? "KEPT" : "RULES KEPT, EXPECTATIONS NOT MET";
}

std::string heading_text(const Report& report) {
    std::string text = fmt::format("{} ({}, {}, seed {}): {}\n", report.scenario, report.mode,
                                   report.balancer, report.seed, verdict_text(report));
    if (!report.description.empty()) text += "  " + report.description + "\n";
    text +=
        fmt::format("  {} servers, {} sidecars, {:.0f}s, {} operations, {} client requests, {} attempts\n\n",
                    report.servers, report.sidecars, report.duration / 1000, report.operations,
                    report.client_requests, report.attempts);
    return text;
}

std::string invariants_text(const Report& report) {
    std::string text;
    for (const InvariantReport& invariant : report.invariants) {
        const std::string verdict =
            invariant.violations == 0 ? "kept" : fmt::format("BROKEN {} times", invariant.violations);
        text += fmt::format("  {:<32} {}\n", invariant.name, verdict);
        for (const std::string& example : invariant.examples) text += "      " + example + "\n";
    }
    return text;
}

std::string expectations_text(const Report& report) {
    std::string text;
    for (const ExpectationReport& expectation : report.expectations) {
        text += fmt::format("  expected {:<23} {} ({} {:.4g}, measured {:.4g})\n", expectation.name,
                            expectation.met ? "met" : "NOT MET",
                            expectation.is_upper_bound ? "at most" : "at least", expectation.bound,
                            expectation.measured);
    }
    return text;
}

std::string service_text(const Report& report) {
    return fmt::format(
        "\n  goodput {:.3f}, worst class {:.3f}, worst second {:.3f}; attempts per client request {:.3f}, "
        "max {}; delayed failures {}; overloaded cold servers {}\n",
        report.metrics.goodput, report.metrics.min_class_goodput, report.metrics.min_second_goodput,
        report.attempts_per_request, report.max_attempts, report.delayed_failures, report.overloaded_servers);
}

std::string surge_text(const SurgeReport& surge) {
    if (!surge.present) return "";
    return fmt::format(
        "  load surge: goodput {:.3f} in its second half, {:.3f} of that in the worse of its first two "
        "seconds; "
        "settled after {:.1f}s, recovered {:.1f}s after its end\n",
        surge.settled_goodput, surge.onset_ratio, surge.settling_time / 1000, surge.recovery_time / 1000);
}

std::string after_restart_text(const Report::AfterRestartReport& after_restart) {
    if (after_restart.offered_value <= 0) return "";
    return fmt::format("  first {:.0f}s after restarts: goodput {:.3f}; {} attempts, {} of them failed\n",
                       Report::kRestartWindow / 1000, after_restart.goodput(), after_restart.attempts,
                       after_restart.failed);
}

std::string processes_text(const Report& report) {
    const SidecarActivity& activity = report.sidecar_activity;
    const bool ran_without_interruption = activity.process_spans.size() <= report.sidecars &&
                                          activity.impaired_spans.empty() && activity.link_faults.empty();
    if (ran_without_interruption) return "";
    Millis impaired = 0;
    for (const SidecarSpan& span : activity.impaired_spans) impaired += span.end - span.start;
    return fmt::format(
        "  sidecars: {} processes of {} sidecars; paused or CPU-limited {} times, {:.1f}s in total; {} "
        "faults on links\n",
        activity.process_spans.size(), report.sidecars, activity.impaired_spans.size(), impaired / 1000,
        activity.link_faults.size());
}

std::string messages_text(const Report& report) {
    const SidecarActivity& activity = report.sidecar_activity;
    if (activity.messages_sent == 0) return "";
    const double sidecar_seconds =
        std::max(1.0, report.duration / 1000) * static_cast<double>(report.sidecars);
    const std::string oversized =
        activity.oversized_messages > 0 ? fmt::format("; {} TOO LONG", activity.oversized_messages) : "";
    return fmt::format(
        "  messages: {} sent, {} delivered; per sidecar {:.2f} messages and {:.0f} bytes per second; cost "
        "{:.4f} "
        "of goodput{}\n",
        activity.messages_sent, activity.messages_delivered,
        static_cast<double>(activity.messages_delivered) / sidecar_seconds,
        static_cast<double>(activity.message_bytes) / sidecar_seconds, activity.goodput_cost, oversized);
}

std::string classes_text(const Report& report) {
    std::string text =
        fmt::format("\n  {:<14}{:>8}{:>9}{:>7}{:>9}{:>8}{:>8}{:>8}{:>8}{:>8}\n", "class", "total", "in time",
                    "late", "rejected", "failed", "p50", "p90", "p99", "max ms");
    for (const ClassReport& row : report.metrics.classes) {
        text += fmt::format("  {:<14}{:>8}{:>9}{:>7}{:>9}{:>8}{:>8.0f}{:>8.0f}{:>8.0f}{:>8.0f}\n", row.name,
                            row.requested, row.within_objective, row.late, row.rejected, row.failed, row.p50,
                            row.p90, row.p99, row.max_latency);
    }
    return text;
}

std::string timer_lateness_text(const TimerLateness& timer_lateness) {
    if (!timer_lateness.measured) return "";
    return fmt::format(
        "\n  lateness of the emulator's timers: p99 {:.1f}ms, max {:.1f}ms, {:.2f}% over {:.0f}ms\n",
        timer_lateness.p99, timer_lateness.max, 100 * timer_lateness.late_share,
        TimerLateness::kLateThreshold);
}

std::string verdict_cell(const InvariantReport& invariant) {
    return invariant.violations > 0 ? fmt::format("BROKEN {}", invariant.violations) : "kept";
}

}  // namespace

std::string text_of(const Report& report) {
    std::string text = heading_text(report);
    text += invariants_text(report);
    text += expectations_text(report);
    text += service_text(report);
    text += surge_text(report.metrics.surge);
    text += after_restart_text(report.after_restart);
    text += processes_text(report);
    text += messages_text(report);
    text += classes_text(report);
    text += timer_lateness_text(report.timer_lateness);
    for (const std::string& note : report.notes) text += "  note: " + note + "\n";
    return text;
}

std::string comparison_of(const Report& a, const Report& b) {
    std::string text = fmt::format("{:<28}{:>22}{:>22}\n", a.scenario, a.balancer, b.balancer);
    const auto add_row = [&](const std::string& name, double value_a, double value_b, int digits) {
        text += fmt::format("{:<28}{:>22.{}f}{:>22.{}f}\n", name, value_a, digits, value_b, digits);
    };
    for (std::size_t i = 0; i < a.invariants.size(); ++i) {
        text += fmt::format("{:<28}{:>22}{:>22}\n", a.invariants[i].name, verdict_cell(a.invariants[i]),
                            verdict_cell(b.invariants[i]));
    }
    add_row("goodput", a.metrics.goodput, b.metrics.goodput, 4);
    add_row("worst class", a.metrics.min_class_goodput, b.metrics.min_class_goodput, 4);
    add_row("worst second", a.metrics.min_second_goodput, b.metrics.min_second_goodput, 4);
    add_row("attempts per request", a.attempts_per_request, b.attempts_per_request, 4);
    const std::size_t classes = std::min(a.metrics.classes.size(), b.metrics.classes.size());
    for (std::size_t i = 0; i < classes; ++i) {
        const ClassReport& class_a = a.metrics.classes[i];
        const ClassReport& class_b = b.metrics.classes[i];
        add_row(class_a.name + " goodput", class_a.goodput(), class_b.goodput(), 4);
        add_row(class_a.name + " p50 ms", class_a.p50, class_b.p50, 0);
        add_row(class_a.name + " p99 ms", class_a.p99, class_b.p99, 0);
    }
    return text;
}

}  // namespace elmbay::simulation
