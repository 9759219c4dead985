#include "command_line.hpp"

#include <CLI/CLI.hpp>
#include <array>

#include "simulation/baselines/baseline_policies.hpp"

namespace elmbay::simulation {

namespace {

constexpr const char* kScenarioHelp = "a file, or a name from `list`";

std::string policies_help() {
    static constexpr std::size_t kNameWidth = 18;
    std::string text = "Balancers (--balancer, in virtual time):\n";
    for (const PolicyDescription& policy : named_policies()) {
        text += "  " + policy.name + std::string(kNameWidth - policy.name.size(), ' ') + policy.description;
        if (!policy.expected_violation.empty()) text += " [fails: " + policy.expected_violation + "]";
        text += "\n";
    }
    return text;
}

void add_seeds(CLI::App& command, CommandOptions& options) {
    command.add_option("--seeds", options.sweep.seeds, "how many")
        ->capture_default_str()
        ->check(CLI::Range(std::uint64_t{1}, SweepOptions::kMaxSeeds));
    command.add_option("--first-seed", options.sweep.first_seed, "the first of them")->capture_default_str();
}

void add_balancer(CLI::App& command, CommandOptions& options) {
    command.add_option("--balancer", options.balancer, "who decides")->capture_default_str();
}

void add_quiet(CLI::App& command, CommandOptions& options) {
    command.add_flag("--quiet", options.quiet, "no progress");
}

void add_run(CLI::App& app, CommandOptions& options) {
    CLI::App& command = *app.add_subcommand("run", "plays an incident and gives the verdict");
    command.add_option("incident", options.scenario, kScenarioHelp)->capture_default_str();
    add_balancer(command, options);
    CLI::Option* const on_sockets =
        command.add_flag("--real,!--virtual", options.on_sockets,
                         "on sockets, in real time, round real sidecars; else simulated");
    command
        .add_option("--sidecar", options.sidecar, "the command that starts one; else the elmbay built here")
        ->needs(on_sockets);
    command.add_option("--folder", options.sidecar_folder, "keep the sidecars' configurations and logs here")
        ->needs(on_sockets);
    command.add_option("--build", options.builds, "NAME=COMMAND: what a fault other-build starts")
        ->needs(on_sockets);
    command.add_option("--seed", options.seed, "in place of the file's");
    command.add_option("--json", options.json_path, "the report as JSON, to this file");
    command.add_option("--html", options.html_path, "the report as one page, to this file");
    command.add_option("--log", options.log_path, "every event, a line each, to this file");
    add_quiet(command, options);
    command.footer(policies_help());
}

void add_sweep(CLI::App& app, CommandOptions& options) {
    CLI::App& command =
        *app.add_subcommand("sweep", "one incident over many seeds, or over values of one of its keys");
    command.add_option("incident", options.scenario, kScenarioHelp)->capture_default_str();
    add_balancer(command, options);
    CLI::Option* const key =
        command.add_option("--key", options.sweep.key,
                           "the key to vary, such as callers.rate or fault.1.times (lists count from 1)");
    command.add_option("--values", options.sweep.values, "its values, separated by commas")
        ->delimiter(',')
        ->needs(key);
    command.add_flag("--oracle", options.sweep.oracle, "also what is possible: the best of the oracles");
    command.add_option("--threads", options.sweep.threads, "0: one for each core")->capture_default_str();
    command.add_option("--json", options.json_path, "all figures as JSON, to this file");
    command.add_option("--html", options.html_path, "a page with plots, to this file");
    add_quiet(command, options);
    add_seeds(command, options);
}

void add_storm(CLI::App& app, CommandOptions& options) {
    RandomFaultOptions& faults = options.random_faults;
    CLI::App& command = *app.add_subcommand("storm", "incidents drawn from seeds, until one breaks a rule");
    command.add_option("--sidecars", faults.sidecars)->check(CLI::Range(2, 1000))->capture_default_str();
    command.add_option("--servers", faults.servers)->check(CLI::Range(2, 1000))->capture_default_str();
    command.add_option("--faults", faults.faults, "of a storm, at most")
        ->check(CLI::Range(1, 200))
        ->capture_default_str();
    command.add_option("--rate", faults.request_rate, "requests a second, all sidecars together")
        ->check(CLI::Range(1.0, 1e5))
        ->capture_default_str();
    add_balancer(command, options);
    CLI::Option* const on_sockets =
        command.add_flag("--real", options.on_sockets, "on sockets, round real sidecars");
    command.add_option("--sidecar", options.sidecar, "the command that starts one")->needs(on_sockets);
    command.add_option("--out", options.failed_storm_path, "where one that fails goes")
        ->capture_default_str();
    add_quiet(command, options);
    add_seeds(command, options);
}

void add_compare(CLI::App& app, CommandOptions& options) {
    CLI::App& command = *app.add_subcommand(
        "compare", "two balancers, two reports, or (--real) two sidecar commands, side by side");
    command.add_flag("--real", options.on_sockets, "A and B are commands that start a sidecar");
    command.add_option("a", options.compared_a, "a balancer, or a .json report")->required();
    command.add_option("b", options.compared_b, "another")->required();
    command.add_option("--incident", options.scenario, kScenarioHelp)->capture_default_str();
    command.add_option("--seed", options.seed, "in place of the file's");
    add_quiet(command, options);
    add_seeds(command, options);
}

void add_commands_on_scenarios(CLI::App& app, CommandOptions& options) {
    app.add_subcommand("list", "the incidents that come along");
    CLI::App& check = *app.add_subcommand("check", "whether a file is sound, without playing it");
    check.add_option("incident", options.checked_scenario, kScenarioHelp)->required();
    app.add_subcommand("keys", "every key of an incident file");
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
        "Plays an archive that fails on a script, and judges who balances it.\n"
        "Exit: 0 rules and expectations kept, 1 not, 2 wrong use."};
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
