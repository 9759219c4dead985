#include "simulation/reports/report.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "simulation/scenario/timeline.hpp"

namespace elmbay::simulation {

namespace {

/// Maximum targets of a fault that plots name. Further targets are only counted.
constexpr std::size_t kMaxNamedTargets = 6;

/// Compares the report's metrics with the bounds that the scenario specifies.
class ExpectationChecker {
public:
    explicit ExpectationChecker(Report& report) : report_(report) {}

    void check(const ExpectationSpec& spec) {
        const ServiceMetrics::Report& metrics = report_.metrics;
        at_least("goodput", &ExpectationSpec::min_goodput, spec, metrics.goodput);
        at_least("worst_class", &ExpectationSpec::min_class_goodput, spec, metrics.min_class_goodput);
        at_least("worst_second", &ExpectationSpec::min_second_goodput, spec, metrics.min_second_goodput);
        at_least("answered", &ExpectationSpec::min_answered_share, spec, metrics.answered_share);
        at_most("attempts", &ExpectationSpec::max_attempts_per_request, spec, report_.attempts_per_request);
        at_most("held_back", &ExpectationSpec::max_delayed_failure_share, spec, delayed_failure_share());
        at_most("p99", &ExpectationSpec::max_p99, spec, worst_p99());
        at_least("onset", &ExpectationSpec::min_onset_ratio, spec, metrics.surge.onset_ratio);
        at_most("settle", &ExpectationSpec::max_settling_time, spec, metrics.surge.settling_time);
        at_most("recover", &ExpectationSpec::max_recovery_time, spec, metrics.surge.recovery_time);
    }

private:
    using Bound = double ExpectationSpec::*;

    /// Whether the scenario specifies the bound.
    static bool is_specified(Bound bound, const ExpectationSpec& spec) {
        return spec.*bound != ExpectationSpec{}.*bound;
    }
    void at_least(const char* name, Bound bound, const ExpectationSpec& spec, double measured) {
        if (!is_specified(bound, spec)) return;
        report_.expectations.push_back({name, spec.*bound, measured, false, measured >= spec.*bound});
    }
    void at_most(const char* name, Bound bound, const ExpectationSpec& spec, double measured) {
        if (!is_specified(bound, spec)) return;
        report_.expectations.push_back({name, spec.*bound, measured, true, measured <= spec.*bound});
    }
    double delayed_failure_share() const {
        if (report_.client_requests == 0) return 0;
        return static_cast<double>(report_.delayed_failures) / static_cast<double>(report_.client_requests);
    }
    Millis worst_p99() const {
        Millis p99 = 0;
        for (const ClassReport& report : report_.metrics.classes) p99 = std::max(p99, report.p99);
        return p99;
    }

    Report& report_;
};

std::string names_of_targets(const FaultSpec& fault) {
    const char* const prefix = targets_sidecars(fault.kind) ? "n-" : "s-";
    const std::size_t named = std::min(fault.target_ids.size(), kMaxNamedTargets);
    std::string text;
    for (std::size_t i = 0; i < named; ++i) {
        if (i > 0) text += " ";
        text += prefix + std::to_string(fault.target_ids[i]);
    }
    if (fault.target_ids.size() > named) text += fmt::format(" and {} more", fault.target_ids.size() - named);
    return text;
}

/// Returns the band of a fault, from its start on the first target to its end on the last target.
FaultBand fault_band(const FaultSpec& fault, const Scenario& scenario) {
    const Millis last_start = fault.start_of(fault.target_ids.empty() ? 0 : fault.target_ids.size() - 1);
    Millis end = fault.duration > 0 ? last_start + fault.duration : scenario.overview.duration;
    if (fault.kind == FaultKind::drain) end = last_start + fault.linger + fault.duration;
    if (fault.kind == FaultKind::join) end = fault.start + scenario.fleet.slow_start_duration;
    return {fault.name, names_of_targets(fault), fault.start, std::min(end, scenario.overview.duration)};
}

void add_invariants(const InvariantChecker& checker, Report& report) {
    for (std::size_t i = 0; i < kInvariantCount; ++i) {
        const auto invariant = static_cast<Invariant>(i);
        const InvariantChecker::Finding& finding = checker.finding(invariant);
        report.invariants.push_back({name_of(invariant), finding.violations, finding.examples});
    }
}

}  // namespace

bool Report::invariants_hold() const {
    return std::all_of(invariants.begin(), invariants.end(),
                       [](const InvariantReport& invariant) { return invariant.violations == 0; });
}

bool Report::expectations_met() const {
    return std::all_of(expectations.begin(), expectations.end(),
                       [](const ExpectationReport& expectation) { return expectation.met; });
}

Report make_report(const Scenario& scenario, const ClientModel& clients, const InvariantChecker& checker,
                   const ServiceMetrics& metrics) {
    Report report;
    report.scenario = scenario.name;
    report.description = scenario.overview.description;
    report.seed = scenario.overview.seed;
    report.duration = scenario.overview.duration;
    report.servers = scenario.fleet.servers;
    report.sidecars = scenario.sidecars.count;
    report.operations = clients.arrivals().size();
    report.client_requests = checker.client_requests();
    report.attempts = checker.attempts();
    report.max_attempts = checker.max_attempts();
    if (report.client_requests > 0) {
        report.attempts_per_request =
            static_cast<double>(report.attempts) / static_cast<double>(report.client_requests);
    }
    report.delayed_failures = checker.delayed_failures();
    report.overloaded_servers = checker.overloaded_servers();
    report.metrics = metrics.report();
    add_invariants(checker, report);
    for (const FaultSpec& fault : scenario.faults) report.faults.push_back(fault_band(fault, scenario));
    for (const TimelineStep& step : build_timeline(scenario)) report.timeline.push_back(text_of(step));
    ExpectationChecker(report).check(scenario.expectations);
    return report;
}

}  // namespace elmbay::simulation
