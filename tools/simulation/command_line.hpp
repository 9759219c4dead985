/// \file
/// The subcommands of elmbay_simulation and their options.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "simulation/reports/sweep.hpp"
#include "simulation/scenario/random_fault_schedule.hpp"

namespace elmbay::simulation {

/// Exit codes of the program.
constexpr int kExitPassed = 0;
constexpr int kExitFailed = 1;  ///< An invariant or expectation does not hold, or a run is not to be trusted.
constexpr int kExitUsage = 2;

enum class Command { run, sweep, storm, list, check, keys, compare };

/// What a person asked for. Which options matter depends on the command.
struct CommandOptions {
    Command command = Command::run;
    std::string scenario = "radio-feature";  ///< A bundled scenario, or a file.
    std::string checked_scenario;            ///< Of `check`, which has no default.
    std::string balancer = "elmbay";
    std::optional<std::uint64_t> seed;
    std::string json_path;  ///< Empty: not written. So with the next two.
    std::string html_path;
    std::string log_path;
    bool on_sockets = false;
    std::string sidecar;              ///< Command that starts one; empty: the elmbay of this build.
    std::string sidecar_folder;       ///< Where configurations and logs of sidecars are kept; empty: nowhere.
    std::vector<std::string> builds;  ///< NAME=COMMAND, for the fault sidecar_other_build.
    bool quiet = false;
    RandomFaultOptions random_faults;               ///< Of `storm`.
    std::string failed_storm_path = "failed.toml";  ///< Of `storm`.
    SweepOptions sweep;                             ///< Of `sweep`; seeds of `storm` and `compare` as well.
    std::string compared_a;                         ///< Of `compare`: a policy, a command or a report.
    std::string compared_b;
    bool compares_seeds = false;  ///< Of `compare`: over many seeds.
};

/// Options, or the exit code if there is nothing to do (help, version) or the arguments are wrong.
struct ParsedCommandLine {
    std::optional<CommandOptions> options;
    int exit_code = kExitPassed;
};

/// Parses the arguments. Help and errors are printed.
ParsedCommandLine parse_command_line(int argc, const char* const* argv);

}  // namespace elmbay::simulation
