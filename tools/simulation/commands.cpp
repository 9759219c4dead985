#include "commands.hpp"

#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>

#include "bundle.hpp"
#include "files.hpp"
#include "progress_bar.hpp"
#include "runs.hpp"
#include "simulation/baselines/baseline_policies.hpp"
#include "storm.hpp"
#include "usage_error.hpp"

namespace elmbay::simulation {

namespace {

int exit_code(bool passed) { return passed ? kExitPassed : kExitFailed; }

/// Writes a report or a sweep to the files that the options name.
template <class Result>
void write_files(const Result& result, const CommandOptions& options) {
    if (!options.json_path.empty()) write_file(options.json_path, json_of(result).dump(1) + "\n");
    if (!options.html_path.empty()) write_file(options.html_path, html_of(result));
}

int run(const CommandOptions& options) {
    if (options.on_sockets && options.balancer != "elmbay") {
        throw UsageError(
            "--balancer applies to virtual time only; with --real, use --sidecar to select the program");
    }
    const Scenario scenario = load_scenario(options.scenario, options.seed);
    const Report report =
        options.on_sockets ? run_on_sockets(scenario, options.sidecar, options)
                           : run_in_virtual_time(scenario, options.balancer, options.log_path, options.quiet);
    write_files(report, options);
    std::cout << text_of(report);
    if (!options.html_path.empty()) std::cout << "  page: " << options.html_path << "\n";
    return exit_code(report.passed());
}

int list() {
    static constexpr std::size_t kNameWidth = 28;
    for (const BundledScenario& bundled_scenario : bundled_scenarios()) {
        const std::string& name = bundled_scenario.name;
        const Scenario scenario = parse_scenario(bundled_scenario.text, name + ".toml");
        const std::size_t padding = name.size() < kNameWidth ? kNameWidth - name.size() : 1;
        std::cout << name << std::string(padding, ' ') << scenario.overview.description << "\n";
    }
    return kExitPassed;
}

int check(const CommandOptions& options) {
    const Scenario scenario = load_scenario(options.checked_scenario, {});
    std::cout << options.checked_scenario << ": valid: " << scenario.fleet.servers << " servers, "
              << scenario.sidecars.count << " sidecars, " << scenario.faults.size() << " faults in "
              << scenario.overview.duration / 1000 << "s\n";
    return kExitPassed;
}

int keys() {
    std::cout << scenario_manual();
    return kExitPassed;
}

Sweep sweep_with(const std::string& balancer, const CommandOptions& options) {
    const ScenarioSource source = find_scenario(options.scenario);
    SweepOptions sweep_options = options.sweep;
    sweep_options.balancer = balancer;
    sweep_options.progress = progress_bar(options.quiet);
    return run_sweep(source.text, source.name, sweep_options);
}

int sweep(const CommandOptions& options) {
    const Sweep result = sweep_with(options.balancer, options);
    write_files(result, options);
    std::cout << text_of(result);
    return exit_code(result.invariants_hold());
}

bool is_report_file(const std::string& name) { return name.ends_with(".json"); }

bool is_policy(const std::string& name) {
    const auto& oracles = oracle_policy_names();
    if (std::find(oracles.begin(), oracles.end(), name) != oracles.end()) return true;
    const auto& policies = named_policies();
    return std::any_of(policies.begin(), policies.end(),
                       [&](const PolicyDescription& policy) { return policy.name == name; });
}

/// Reads the sweep from a file, or runs it with a policy.
Sweep compared_sweep(const std::string& policy_or_file, const CommandOptions& options) {
    return is_report_file(policy_or_file) ? sweep_from_json(read_file(policy_or_file))
                                          : sweep_with(policy_or_file, options);
}

int compare_sweeps(const CommandOptions& options) {
    if (options.on_sockets) {
        throw UsageError("compare: --seeds applies to virtual time only; --real compares single runs");
    }
    const Sweep a = compared_sweep(options.compared_a, options);
    const Sweep b = compared_sweep(options.compared_b, options);
    std::cout << comparison_of(a, b);
    return exit_code(a.invariants_hold() && b.invariants_hold());
}

/// Obtains the two reports of a comparison. The scenario is loaded once, and only if one of them has to be
/// run.
class ReportSource {
public:
    explicit ReportSource(const CommandOptions& options) : options_(options) {}

    /// Reads the report from a file, or runs the scenario with a policy or a sidecar command.
    Report report(const std::string& policy_or_file) {
        if (is_report_file(policy_or_file)) return report_from_json(read_file(policy_or_file));
        if (!options_.on_sockets && !is_policy(policy_or_file)) {
            throw UsageError("'" + policy_or_file +
                             "' is neither a balancer (`run --help` lists them) nor a .json report; "
                             "with --real, it is a sidecar command");
        }
        if (!scenario_) scenario_ = load_scenario(options_.scenario, options_.seed);
        return options_.on_sockets ? run_on_sockets(*scenario_, policy_or_file, options_)
                                   : run_in_virtual_time(*scenario_, policy_or_file, "", options_.quiet);
    }

private:
    const CommandOptions& options_;
    std::optional<Scenario> scenario_;
};

int compare_reports(const CommandOptions& options) {
    ReportSource source(options);
    const Report a = source.report(options.compared_a);
    const Report b = source.report(options.compared_b);
    if (a.scenario != b.scenario || a.seed != b.seed) {
        throw UsageError("the two reports must have the same scenario and seed: " + a.scenario + " and " +
                         b.scenario);
    }
    std::cout << comparison_of(a, b);
    return exit_code(a.passed() && b.passed());
}

}  // namespace

int execute(const CommandOptions& options) {
    switch (options.command) {
        case Command::run:
            return run(options);
        case Command::sweep:
            return sweep(options);
        case Command::storm:
            return exit_code(run_storms(options));
        case Command::list:
            return list();
        case Command::check:
            return check(options);
        case Command::keys:
            return keys();
        case Command::compare:
            return options.compares_seeds ? compare_sweeps(options) : compare_reports(options);
    }
    return kExitUsage;
}

}  // namespace elmbay::simulation
