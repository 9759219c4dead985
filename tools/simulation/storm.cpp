#include "storm.hpp"

#include <iostream>

#include "files.hpp"
#include "progress_bar.hpp"
#include "runs.hpp"
#include "usage_error.hpp"

namespace elmbay::simulation {

namespace {

/// Totals over all scenarios that one command has run so far.
struct StormTotals {
    std::uint64_t storms = 0;
    std::uint64_t unreliable = 0;
    std::uint64_t operations = 0;
    std::uint64_t faults = 0;
};

Report run_schedule(const RandomFaultSchedule& schedule, const CommandOptions& options) {
    Scenario scenario = parse_scenario(schedule.text(), "storm");
    scenario.name = "storm";
    CommandOptions quiet_options = options;
    quiet_options.quiet = true;
    return options.on_sockets ? run_on_sockets(scenario, options.sidecar, quiet_options)
                              : run_in_virtual_time(scenario, options.balancer, "", true);
}

/// Shrinks a schedule that violates an invariant, and writes it to the file of `--out`.
void write_shrunk(const RandomFaultSchedule& schedule, const CommandOptions& options) {
    const auto fails = [&](const RandomFaultSchedule& candidate) {
        const Report report = run_schedule(candidate, options);
        return report.timer_lateness.is_acceptable() && !report.invariants_hold();
    };
    const RandomFaultSchedule smallest = shrink_schedule(schedule, fails);
    const std::string& path = options.failed_storm_path;
    write_file(path, smallest.text());
    std::cout << "shrunk to " << smallest.faults.size() << " faults of " << schedule.faults.size() << ", in "
              << path << "; `elmbay_simulation run " << path << (options.on_sockets ? " --real" : "")
              << "` runs it again\n";
}

void print_totals(const StormTotals& totals) {
    std::cout << totals.storms << " storms, " << totals.faults << " faults, " << totals.operations
              << " operations: rules kept";
    if (totals.unreliable > 0) {
        std::cout << "; " << totals.unreliable << " not judged because the emulator's timers fired late";
    }
    std::cout << "\n";
}

}  // namespace

bool run_storms(const CommandOptions& options) {
    if (options.on_sockets && options.balancer != "elmbay") {
        throw UsageError(
            "--balancer applies to virtual time only; with --real, use --sidecar to select the program");
    }
    StormTotals totals;
    const auto progress = progress_bar(options.quiet);
    for (std::uint64_t i = 0; i < options.sweep.seeds; ++i) {
        const std::uint64_t seed = options.sweep.first_seed + i;
        const RandomFaultSchedule schedule = draw_random_faults(seed, options.random_faults);
        const Report report = run_schedule(schedule, options);
        ++totals.storms;
        totals.operations += report.operations;
        totals.faults += schedule.faults.size();
        if (progress) progress(static_cast<double>(totals.storms) / static_cast<double>(options.sweep.seeds));
        if (!report.timer_lateness.is_acceptable()) {
            ++totals.unreliable;
            continue;
        }
        if (report.invariants_hold()) continue;
        std::cout << "seed " << seed << ", after " << totals.storms << " storms:\n" << text_of(report);
        write_shrunk(schedule, options);
        return false;
    }
    print_totals(totals);
    return true;
}

}  // namespace elmbay::simulation
