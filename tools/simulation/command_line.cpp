#include "command_line.hpp"

#include <CLI/CLI.hpp>
#include <array>

#include "simulation/baselines/baseline_policies.hpp"

namespace elmbay::simulation {

namespace {

constexpr const char* kScenarioHelp = "a scenario file, or a name from `list`";

std::string policies_help() {
    static constexpr std::size_t kNameWidth = 18;
    std::string text = "Balancers (--balancer, in virtual time):\n";
    for (const PolicyDescription& policy : named_policies()) {
        text += "  " + policy.name + std::string(kNameWidth - policy.name.size(), ' ') + policy.description;
        if (!policy.expected_violation.empty()) text += " [violates: " + policy.expected_violation + "]";
        text += "\n";
    }
    return text;
}

void add_seeds(CLI::App& command, CommandOptions& options) {
    command.add_option("--seeds", options.sweep.seeds, "number of seeds")
        ->capture_default_str()
        ->check(CLI::Range(std::uint64_t{1}, SweepOptions::kMaxSeeds));
    command.add_option("--first-seed", options.sweep.first_seed, "first seed")->capture_default_str();
}

void add_balancer(CLI::App& command, CommandOptions& options) {
    command.add_option("--balancer", options.balancer, "balancing policy (`run --help` lists them)")
        ->capture_default_str();
}

void add_quiet(CLI::App& command, CommandOptions& options) {
    command.add_flag("--quiet", options.quiet, "show no progress bar");
}

void add_run(CLI::App& app, CommandOptions& options) {
    CLI::App& command = *app.add_subcommand("run", "run a scenario and print the verdict");
    command.add_option("incident", options.scenario, kScenarioHelp)->capture_default_str();
    add_balancer(command, options);
    CLI::Option* const on_sockets = command.add_flag(
        "--real,!--virtual", options.on_sockets,
        "run real sidecars on sockets in real time, instead of a simulation in virtual time");
    command
        .add_option("--sidecar", options.sidecar,
                    "command that starts a sidecar; default: the elmbay of this build")
        ->needs(on_sockets);
    command
        .add_option("--folder", options.sidecar_folder,
                    "folder in which the sidecars' configurations and logs are kept")
        ->needs(on_sockets);
    command
        .add_option(
            "--build", options.builds,
            "NAME=COMMAND: command that starts a sidecar of build NAME, for faults of kind other-build")
        ->needs(on_sockets);
    command.add_option("--seed", options.seed, "seed that replaces the seed of the file");
    command.add_option("--json", options.json_path, "write the report as JSON to this file");
    command.add_option("--html", options.html_path, "write the report as an HTML page to this file");
    command.add_option("--log", options.log_path, "write every event to this file, one per line");
    add_quiet(command, options);
    command.footer(policies_help());
}

void add_sweep(CLI::App& app, CommandOptions& options) {
    CLI::App& command = *app.add_subcommand(
        "sweep", "run one scenario with many seeds, or with several values of one of its keys");
    command.add_option("incident", options.scenario, kScenarioHelp)->capture_default_str();
    add_balancer(command, options);
    CLI::Option* const key =
        command.add_option("--key", options.sweep.key,
                           "key to vary, such as callers.rate or fault.1.times (lists count from 1)");
    command.add_option("--values", options.sweep.values, "values of the key, separated by commas")
        ->delimiter(',')
        ->needs(key);
    command.add_flag("--oracle", options.sweep.oracle,
                     "also run the oracles, and report the best one as an upper bound");
    command.add_option("--threads", options.sweep.threads, "number of threads; 0: one for each core")
        ->capture_default_str();
    command.add_option("--json", options.json_path, "write all metrics as JSON to this file");
    command.add_option("--html", options.html_path, "write an HTML page with plots to this file");
    add_quiet(command, options);
    add_seeds(command, options);
}

void add_storm(CLI::App& app, CommandOptions& options) {
    RandomFaultOptions& faults = options.random_faults;
    CLI::App& command =
        *app.add_subcommand("storm", "run scenarios with random faults, until one violates an invariant");
    command.add_option("--sidecars", faults.sidecars)->check(CLI::Range(2, 1000))->capture_default_str();
    command.add_option("--servers", faults.servers)->check(CLI::Range(2, 1000))->capture_default_str();
    command.add_option("--faults", faults.faults, "maximum faults of one scenario")
        ->check(CLI::Range(1, 200))
        ->capture_default_str();
    command.add_option("--rate", faults.request_rate, "operations per second through all sidecars together")
        ->check(CLI::Range(1.0, 1e5))
        ->capture_default_str();
    add_balancer(command, options);
    CLI::Option* const on_sockets =
        command.add_flag("--real", options.on_sockets, "run real sidecars on sockets in real time");
    command.add_option("--sidecar", options.sidecar, "command that starts a sidecar")->needs(on_sockets);
    command.add_option("--out", options.failed_storm_path, "output file for the minimized failing scenario")
        ->capture_default_str();
    add_quiet(command, options);
    add_seeds(command, options);
}

void add_compare(CLI::App& app, CommandOptions& options) {
    CLI::App& command = *app.add_subcommand(
        "compare", "compare two balancers, two reports or, with --real, two sidecar commands");
    command.add_flag("--real", options.on_sockets, "a and b are commands that start a sidecar");
    command.add_option("a", options.compared_a, "first balancer or .json report")->required();
    command.add_option("b", options.compared_b, "second balancer or .json report")->required();
    command.add_option("--incident", options.scenario, kScenarioHelp)->capture_default_str();
    command.add_option("--seed", options.seed, "seed that replaces the seed of the file");
    add_quiet(command, options);
    add_seeds(command, options);
}

void add_commands_on_scenarios(CLI::App& app, CommandOptions& options) {
    app.add_subcommand("list", "list the bundled scenarios");
    CLI::App& check = *app.add_subcommand("check", "validate a scenario without running it");
    check.add_option("incident", options.checked_scenario, kScenarioHelp)->required();
    app.add_subcommand("keys", "describe every key of a scenario file");
}

Command parsed_command(const CLI::App& app) {
    static constexpr auto kCommands =
        std::to_array<std::pair<const char*, Command>>({{"run", Command::run},
                                                        {"sweep", Command::sweep},
                                                        {"storm", Command::storm},
                                                        {"list", Command::list},
                                                        {"check", Command::check},
                                                        {"keys", Command::keys},
                                                        {"compare", Command::compare}});
    for (const auto& [name, command] : kCommands) {
        if (app.got_subcommand(name)) return command;
    }
    throw std::logic_error("CLI11 accepted no subcommand");
}

}  // namespace

ParsedCommandLine parse_command_line(int argc, const char* const* argv) {
    CLI::App app{
        "Runs a simulated archive service whose servers fail on a script, and checks the balancer in front "
        "of it.\n"
        "Exit code: 0 invariants and expectations hold, 1 they do not hold, 2 usage error."};
    app.require_subcommand(1);
    app.set_version_flag("--version", ELMBAY_VERSION);
    CommandOptions options;
    add_run(app, options);
    add_sweep(app, options);
    add_storm(app, options);
    add_commands_on_scenarios(app, options);
    add_compare(app, options);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        return {{}, app.exit(error) == 0 ? kExitPassed : kExitUsage};
    }
    options.command = parsed_command(app);
    options.compares_seeds =
        options.command == Command::compare && app.get_subcommand("compare")->count("--seeds") > 0;
    return {options, kExitPassed};
}

}  // namespace elmbay::simulation
