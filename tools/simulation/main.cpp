// elmbay_simulation: plays an service_model that fails on a script, and judges who balances it.
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "bundle.hpp"
#include "simulation/baselines/baseline_policies.hpp"
#include "simulation/drivers/sockets/socket_run.hpp"
#include "simulation/drivers/virtual/virtual_run.hpp"
#include "simulation/reports/report.hpp"
#include "simulation/reports/sweep.hpp"
#include "simulation/scenario/random_fault_schedule.hpp"

namespace {

using namespace elmbay::simulation;

constexpr int kKept = 0, kBroken = 1, kWrongUse = 2;

// Wrong use of the command line or a file that can't be used: exit code 2.
struct UseError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

std::string read_file(const std::string& path) {
    const std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file)
        throw UseError(path +
                       ": can't be read; `elmbay_simulation list` names the incidents that come along");
    return text.str();
}

void write_file(const std::string& path, const std::string& text) {
    std::ofstream file(path);
    file << text;
    file.close();
    if (!file) throw std::runtime_error(path + ": can't be written");
}

// A bundled name, or a file: its text, its name for messages, and the scenario's own.
struct Source {
    std::string text, file, name;
};
Source source_of(const std::string& which) {
    for (const BundledScenario& b : bundled())
        if (b.name == which) return {b.text, b.name + ".toml", b.name};
    return {read_file(which), which, std::filesystem::path(which).filename().string()};
}
Scenario load(const std::string& which, std::optional<std::uint64_t> seed) {
    const Source source = source_of(which);
    Scenario scenario = parse_scenario(source.text, source.file, seed);
    scenario.name = source.name;
    return scenario;
}

struct RunOptions {
    std::string scenario = "radio-feature";
    std::string balancer = "elmbay";
    std::optional<std::uint64_t> seed;
    std::string json, html, log, sidecar, folder;
    bool real = false, quiet = false;
    std::vector<std::string> builds;  // NAME=COMMAND
    RandomFaultOptions schedule;
    std::string out = "failed.toml";
    SweepOptions sweep;  // of `sweep`, and of `compare` over seeds
};

std::function<void(double)> progress_bar(bool quiet) {
    if (quiet || !::isatty(STDERR_FILENO)) return {};
    return [](double share) {
        const int filled = static_cast<int>(share * 40);
        std::cerr << "\r[" << std::string(static_cast<std::size_t>(filled), '=')
                  << std::string(static_cast<std::size_t>(40 - filled), ' ') << "] "
                  << static_cast<int>(share * 100) << "% " << (share >= 1 ? "\n" : "") << std::flush;
    };
}

Report play(const Scenario& scenario, const std::string& balancer, const std::string& log, bool quiet) {
    VirtualOptions options;
    options.balancer = balancer;
    options.progress = progress_bar(quiet);
    std::ofstream file;
    if (!log.empty()) {
        file.open(log);
        if (!file) throw std::runtime_error(log + ": can't be written");
        options.log = &file;
    }
    return run_virtual(scenario, options);
}

// The elmbay that was built with this program.
std::string built_sidecar() {
    const auto here = std::filesystem::read_symlink("/proc/self/exe").parent_path();
    for (const auto& path : {here / "elmbay", here / "../../elmbay"})
        if (std::filesystem::exists(path)) return std::filesystem::canonical(path).string();
    throw UseError("no elmbay was built beside this program; name one with --sidecar");
}

Report play_real(const Scenario& scenario, const std::string& sidecar, const RunOptions& o) {
    SocketRunOptions options;
    options.sidecar = sidecar.empty() ? built_sidecar() : sidecar;
    options.folder = o.folder;
    for (const std::string& build : o.builds) {
        const std::size_t equals = build.find('=');
        if (equals == std::string::npos || equals == 0)
            throw UseError("--build '" + build + "' is not NAME=COMMAND");
        options.builds[build.substr(0, equals)] = build.substr(equals + 1);
    }
    options.log = o.log;
    options.progress = progress_bar(o.quiet);
    return run_real(scenario, options);
}

int run(const RunOptions& o) {
    if (o.real && o.balancer != "elmbay")
        throw UseError("--balancer is for virtual time; with --real, --sidecar names the program");
    const Scenario scenario = load(o.scenario, o.seed);
    const Report report =
        o.real ? play_real(scenario, o.sidecar, o) : play(scenario, o.balancer, o.log, o.quiet);
    if (!o.json.empty()) write_file(o.json, json_of(report).dump(1) + "\n");
    if (!o.html.empty()) write_file(o.html, page_of(report));
    std::cout << text_of(report);
    if (!o.html.empty()) std::cout << "  page: " << o.html << "\n";
    return report.passed() ? kKept : kBroken;
}

// Scenarios drawn from seeds, until one breaks a rule; that one is shrunk and written down.
int schedule(const RunOptions& o) {
    if (o.real && o.balancer != "elmbay")
        throw UseError("--balancer is for virtual time; with --real, --sidecar names the program");
    const auto verdict = [&](const RandomFaultSchedule& s) {
        Scenario scenario = parse_scenario(s.text(), "storm");
        scenario.name = "storm";
        RunOptions quiet = o;
        quiet.quiet = true;
        return o.real ? play_real(scenario, o.sidecar, quiet) : play(scenario, o.balancer, "", true);
    };
    std::uint64_t played = 0, untrusted = 0, requests = 0, faults = 0;
    const auto progress = progress_bar(o.quiet);
    for (std::uint64_t i = 0; i < o.sweep.seeds; ++i) {
        const std::uint64_t seed = o.sweep.first_seed + i;
        const RandomFaultSchedule drawn = draw_random_faults(seed, o.schedule);
        const Report report = verdict(drawn);
        ++played, requests += report.operations, faults += drawn.faults.size();
        if (progress) progress(static_cast<double>(played) / static_cast<double>(o.sweep.seeds));
        if (!report.punctuality.trusted()) {
            ++untrusted;
            continue;
        }
        if (report.invariants_hold()) continue;
        std::cout << "seed " << seed << ", after " << played << " storms:\n" << text_of(report);
        const RandomFaultSchedule least = shrunk(drawn, [&](const RandomFaultSchedule& s) {
            const Report r = verdict(s);
            return r.punctuality.trusted() && !r.invariants_hold();
        });
        write_file(o.out, least.text());
        std::cout << "down to " << least.faults.size() << " faults of " << drawn.faults.size() << ", in "
                  << o.out << "; `elmbay_simulation run " << o.out << (o.real ? " --real" : "")
                  << "` plays it again\n";
        return kBroken;
    }
    std::cout << played << " storms, " << faults << " faults, " << requests << " requests: rules kept";
    if (untrusted > 0) std::cout << "; " << untrusted << " not judged, as the emulator ran late";
    std::cout << "\n";
    return kKept;
}

int list() {
    for (const BundledScenario& b : bundled()) {
        const Scenario scenario = parse_scenario(b.text, b.name + ".toml");
        std::cout << b.name << std::string(b.name.size() < 28 ? 28 - b.name.size() : 1, ' ')
                  << scenario.overview.description << "\n";
    }
    return kKept;
}

int check(const std::string& which) {
    const Scenario scenario = load(which, {});
    std::cout << which << ": sound: " << scenario.fleet.servers << " servers, " << scenario.sidecars.count
              << " sidecars, " << scenario.faults.size() << " faults in " << scenario.overview.duration / 1000
              << "s\n";
    return kKept;
}

bool is_report(const std::string& name) { return name.ends_with(".json"); }
bool is_balancer(const std::string& name) {
    for (const std::string& oracle : oracle_policy_names())
        if (oracle == name) return true;
    for (const PolicyDescription& b : named_policies())
        if (b.name == name) return true;
    return false;
}

int sweep(const RunOptions& o) {
    const Source source = source_of(o.scenario);
    SweepOptions options = o.sweep;
    options.balancer = o.balancer;
    options.progress = progress_bar(o.quiet);
    const Sweep result = run_sweep(source.text, source.name, options);
    if (!o.json.empty()) write_file(o.json, json_of(result).dump(1) + "\n");
    if (!o.html.empty()) write_file(o.html, page_of(result));
    std::cout << text_of(result);
    return result.invariants_hold() ? kKept : kBroken;
}

// Two balancers, or two sweeps written by --json, over the same seeds.
int compare_sweeps(const std::string& a, const std::string& b, const RunOptions& o) {
    if (o.real) throw UseError("--seeds is for virtual time; sockets are compared run by run");
    const auto get = [&](const std::string& which) {
        if (is_report(which)) return sweep_from_json(read_file(which));
        const Source source = source_of(o.scenario);
        SweepOptions options = o.sweep;
        options.balancer = which;
        options.progress = progress_bar(o.quiet);
        return run_sweep(source.text, source.name, options);
    };
    const Sweep first = get(a), second = get(b);
    std::cout << comparison_of(first, second);
    return first.invariants_hold() && second.invariants_hold() ? kKept : kBroken;
}

int compare(const std::string& a, const std::string& b, const RunOptions& o) {
    std::optional<Scenario> scenario;
    const auto get = [&](const std::string& which) {
        if (is_report(which)) return report_from_json(read_file(which));
        if (!o.real && !is_balancer(which))
            throw UseError("'" + which +
                           "' is neither a balancer (`run --help` lists them) nor a .json report; "
                           "with --real it would be a command");
        if (!scenario) scenario = load(o.scenario, o.seed);
        return o.real ? play_real(*scenario, which, o) : play(*scenario, which, "", o.quiet);
    };
    const Report first = get(a), second = get(b);
    if (first.scenario != second.scenario || first.seed != second.seed)
        throw UseError("the two are not of one incident and seed: " + first.scenario + " and " +
                       second.scenario);
    std::cout << comparison_of(first, second);
    return first.passed() && second.passed() ? kKept : kBroken;
}

std::string balancer_help() {
    std::string text = "Balancers (--balancer, in virtual time):\n";
    for (const PolicyDescription& b : named_policies())
        text += "  " + b.name + std::string(18 - b.name.size(), ' ') + b.description +
                (b.expected_violation.empty() ? "" : " [fails: " + b.expected_violation + "]") + "\n";
    return text;
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app{
        "Plays an archive that fails on a script, and judges who balances it.\n"
        "Exit: 0 rules and expectations kept, 1 not, 2 wrong use."};
    app.require_subcommand(1);
    app.set_version_flag("--version", ELMBAY_VERSION);

    RunOptions o;
    CLI::App* run_command = app.add_subcommand("run", "plays an incident and gives the verdict");
    run_command->add_option("incident", o.scenario, "a file, or a name from `list`")->capture_default_str();
    run_command->add_option("--balancer", o.balancer, "who decides")->capture_default_str();
    CLI::Option* real = run_command->add_flag(
        "--real,!--virtual", o.real, "on sockets, in real time, round real sidecars; else simulated");
    run_command->add_option("--sidecar", o.sidecar, "the command that starts one; else the elmbay built here")
        ->needs(real);
    run_command->add_option("--folder", o.folder, "keep the sidecars' configurations and logs here")
        ->needs(real);
    run_command->add_option("--build", o.builds, "NAME=COMMAND: what a fault other-build starts")
        ->needs(real);
    run_command->add_option("--seed", o.seed, "in place of the file's");
    run_command->add_option("--json", o.json, "the report as JSON, to this file");
    run_command->add_option("--html", o.html, "the report as one page, to this file");
    run_command->add_option("--log", o.log, "every event, a line each, to this file");
    run_command->add_flag("--quiet", o.quiet, "no progress");
    run_command->footer(balancer_help());
    CLI::App* sweep_command =
        app.add_subcommand("sweep", "one incident over many seeds, or over values of one of its keys");
    sweep_command->add_option("incident", o.scenario, "a file, or a name from `list`")->capture_default_str();
    sweep_command->add_option("--balancer", o.balancer, "who decides")->capture_default_str();
    CLI::Option* key = sweep_command->add_option(
        "--key", o.sweep.key, "the key to vary, such as callers.rate or fault.1.times (lists count from 1)");
    sweep_command->add_option("--values", o.sweep.values, "its values, separated by commas")
        ->delimiter(',')
        ->needs(key);
    sweep_command->add_flag("--oracle", o.sweep.oracle, "also what is possible: the best of the oracles");
    sweep_command->add_option("--threads", o.sweep.threads, "0: one for each core")->capture_default_str();
    sweep_command->add_option("--json", o.json, "all figures as JSON, to this file");
    sweep_command->add_option("--html", o.html, "a page with plots, to this file");
    sweep_command->add_flag("--quiet", o.quiet, "no progress");
    CLI::App* storm_command =
        app.add_subcommand("storm", "incidents drawn from seeds, until one breaks a rule");
    storm_command->add_option("--sidecars", o.schedule.sidecars)
        ->check(CLI::Range(2, 1000))
        ->capture_default_str();
    storm_command->add_option("--servers", o.schedule.servers)
        ->check(CLI::Range(2, 1000))
        ->capture_default_str();
    storm_command->add_option("--faults", o.schedule.faults, "of a storm, at most")
        ->check(CLI::Range(1, 200))
        ->capture_default_str();
    storm_command->add_option("--rate", o.schedule.request_rate, "requests a second, all sidecars together")
        ->check(CLI::Range(1.0, 1e5))
        ->capture_default_str();
    storm_command->add_option("--balancer", o.balancer, "who decides")->capture_default_str();
    CLI::Option* storm_real = storm_command->add_flag("--real", o.real, "on sockets, round real sidecars");
    storm_command->add_option("--sidecar", o.sidecar, "the command that starts one")->needs(storm_real);
    storm_command->add_option("--out", o.out, "where one that fails goes")->capture_default_str();
    storm_command->add_flag("--quiet", o.quiet, "no progress");
    CLI::App* list_command = app.add_subcommand("list", "the incidents that come along");
    std::string checked;
    CLI::App* check_command = app.add_subcommand("check", "whether a file is sound, without playing it");
    check_command->add_option("incident", checked, "a file, or a name from `list`")->required();
    CLI::App* keys_command = app.add_subcommand("keys", "every key of an incident file");
    std::string a, b;
    CLI::App* compare_command = app.add_subcommand(
        "compare", "two balancers, two reports, or (--real) two sidecar commands, side by side");
    compare_command->add_flag("--real", o.real, "A and B are commands that start a sidecar");
    compare_command->add_option("a", a, "a balancer, or a .json report")->required();
    compare_command->add_option("b", b, "another")->required();
    compare_command->add_option("--incident", o.scenario, "a file, or a name from `list`")
        ->capture_default_str();
    compare_command->add_option("--seed", o.seed, "in place of the file's");
    compare_command->add_flag("--quiet", o.quiet, "no progress");
    CLI::Option* seeds = nullptr;
    for (CLI::App* command : {sweep_command, storm_command, compare_command}) {
        seeds = command->add_option("--seeds", o.sweep.seeds, "how many")
                    ->capture_default_str()
                    ->check(CLI::Range(std::uint64_t{1}, SweepOptions::kMaxSeeds));
        command->add_option("--first-seed", o.sweep.first_seed, "the first of them")->capture_default_str();
    }

    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? kKept : kWrongUse;
    }
    try {
        if (*list_command) return list();
        if (*check_command) return check(checked);
        if (*keys_command) {
            std::cout << scenario_manual();
            return kKept;
        }
        if (*sweep_command) return sweep(o);
        if (*storm_command) return schedule(o);
        if (*compare_command) return seeds->count() > 0 ? compare_sweeps(a, b, o) : compare(a, b, o);
        if (*run_command) return run(o);
    } catch (const ScenarioError& error) {
        std::cerr << error.what();
        return kWrongUse;
    } catch (const UseError& error) {
        std::cerr << "elmbay_simulation: " << error.what() << "\n";
        return kWrongUse;
    } catch (const std::invalid_argument& error) {
        std::cerr << "elmbay_simulation: " << error.what() << "\n";
        return kWrongUse;
    } catch (const std::exception& error) {
        std::cerr << "elmbay_simulation: " << error.what() << "\n";
        return kBroken;
    }
    return kWrongUse;
}
