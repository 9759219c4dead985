/// @file
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
/// An invariant or expectation does not hold, a run is not reliable, or the program failed.
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

enum class Command { run, sweep, storm, list, check, keys, compare };

/// Parsed command line options. The command determines which options apply.
struct CommandOptions {
    Command command = Command::run;
    std::string scenario = "radio-feature";  ///< Name of a bundled scenario, or path of a file.
    std::string checked_scenario;            ///< Scenario of `check`, which has no default.
    std::string balancer = "elmbay";
    std::optional<std::uint64_t> seed;
    std::string json_path;  ///< Output path; empty: not written. The same holds for the next two.
    std::string html_path;
    std::string log_path;
    bool on_sockets = false;
    std::string sidecar;  ///< Command that starts a sidecar; empty: the elmbay of this build.
    /// Folder for configurations and logs of sidecars; empty: they are not kept.
    std::string sidecar_folder;
    std::vector<std::string> builds;  ///< Entries NAME=COMMAND for faults of kind sidecar_other_build.
    bool quiet = false;
    RandomFaultOptions random_faults;               ///< Scenario size for `storm`.
    std::string failed_storm_path = "failed.toml";  ///< Output path of `storm`.
    SweepOptions sweep;           ///< Options of `sweep`; its seeds also apply to `storm` and `compare`.
    std::string compared_a;       ///< First operand of `compare`: a policy, a command or a report.
    std::string compared_b;       ///< Second operand of `compare`.
    bool compares_seeds = false;  ///< Whether `compare` runs many seeds.
};

/// The options, or an exit code if the program has nothing else to do (help, version) or the arguments are
/// invalid.
struct ParsedCommandLine {
    std::optional<CommandOptions> options;
    int exit_code = kExitPassed;
};

/// Parses the arguments. Prints help and errors.
ParsedCommandLine parse_command_line(int argc, const char* const* argv);

}  // namespace elmbay::simulation
