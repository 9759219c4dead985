// elmbay_chaos: runs fault schedules on sidecar processes until the time limit or the first violated
// invariant.
#include <CLI/CLI.hpp>
#include <chrono>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <stdexcept>
#include <string>

#include "process_testbed/chaos.hpp"
#include "process_testbed/shrink.hpp"

namespace {

using elmbay::process_testbed::ChaosResult;
using elmbay::process_testbed::Options;
using elmbay::process_testbed::Schedule;

constexpr int kExitPassed = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsageError = 2;

/// The parsed command line.
struct Arguments {
    Options testbed;
    std::uint64_t first_seed = 1;
    std::size_t steps = 40;  // of each schedule
    double seconds = 60;
    std::string failed_schedule_path = "failed.schedule";
    std::string replay_path;  // empty: schedules are drawn
};

/// Totals of the schedules that passed.
struct Totals {
    std::uint64_t schedules = 0;
    std::uint64_t requests = 0;
    std::uint64_t served = 0;
};

/// A schedule that violated an invariant.
struct Failure {
    std::uint64_t seed = 0;
    Schedule schedule;
    ChaosResult result;
};

Arguments default_arguments() {
    Arguments arguments;
    const std::filesystem::path folder = std::filesystem::read_symlink("/proc/self/exe").parent_path();
    arguments.testbed.program = (folder / "../../elmbay").lexically_normal();
    arguments.testbed.sidecars = 4;
    arguments.testbed.servers = 4;
    arguments.testbed.request_deadline = 1500;
    arguments.testbed.latency_objective = 400;
    return arguments;
}

/// Parses the command line.
/// @return the arguments; none if the program must exit. Then `exit_code` is set and all output has been
/// printed.
std::optional<Arguments> parse(int argc, char** argv, int& exit_code) {
    Arguments arguments = default_arguments();
    Options& testbed = arguments.testbed;
    CLI::App app{
        "Starts sidecars, injects faults drawn from a seed on the links to servers, to discovery and between "
        "sidecars,\n"
        "and checks the invariants. A schedule that fails is shrunk and written to the file of --out."};
    app.add_option("--sidecar", testbed.program, "command that starts a sidecar")->capture_default_str();
    app.add_option("--sidecars", testbed.sidecars)->check(CLI::Range(2, 300))->capture_default_str();
    app.add_option("--servers", testbed.servers)->check(CLI::Range(2, 200))->capture_default_str();
    app.add_option("--deeds", arguments.steps, "number of steps of a schedule")
        ->check(CLI::Range(1, 10000))
        ->capture_default_str();
    app.add_option("--seed", arguments.first_seed,
                   "seed of the first schedule; each later schedule uses the next seed")
        ->capture_default_str();
    app.add_option("--seconds", arguments.seconds, "duration of the run")->capture_default_str();
    app.add_option("--out", arguments.failed_schedule_path, "file for a failing schedule")
        ->capture_default_str();
    app.add_option("--replay", arguments.replay_path, "run only the schedule of this file");
    app.footer("Exit status: 0 no invariant violated, 1 a schedule failed, 2 invalid command line.");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        exit_code = app.exit(error) == 0 ? kExitPassed : kExitUsageError;
        return {};
    }
    return arguments;
}

/// @throws std::invalid_argument if the file cannot be read or is not a schedule.
Schedule read_schedule(const std::string& path) {
    const std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file) throw std::invalid_argument(path + ": the file could not be read");
    return elmbay::process_testbed::parse_schedule(text.str());
}

int replay(const Arguments& arguments) {
    const Schedule schedule = read_schedule(arguments.replay_path);
    const ChaosResult result = elmbay::process_testbed::run_schedule(arguments.testbed, schedule);
    std::cout << (result.passed ? "no invariant violated\n" : result.explanation);
    return result.passed ? kExitPassed : kExitFailed;
}

/// Draws and runs schedules until the time limit or the first violated invariant.
std::optional<Failure> search(const Arguments& arguments, Totals& totals) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::duration<double>(arguments.seconds);
    Options options = arguments.testbed;
    for (options.seed = arguments.first_seed; std::chrono::steady_clock::now() < end; ++options.seed) {
        const Schedule schedule = elmbay::process_testbed::draw_schedule(options.seed, options.sidecars,
                                                                         options.servers, arguments.steps);
        const ChaosResult result = elmbay::process_testbed::run_schedule(options, schedule);
        if (!result.passed) return Failure{options.seed, schedule, result};
        ++totals.schedules;
        totals.requests += result.requests;
        totals.served += result.served;
    }
    return {};
}

/// Prints the failure, shrinks its schedule and writes the shrunk schedule to a file.
void report_failure(const Arguments& arguments, const Failure& failure) {
    std::cout << "seed " << failure.seed << " violates an invariant:\n"
              << failure.result.explanation << "shrinking" << std::endl;
    Options options = arguments.testbed;
    options.seed = failure.seed;
    const Schedule smallest = elmbay::process_testbed::shrink(failure.schedule, [&](const Schedule& shorter) {
        return !elmbay::process_testbed::run_schedule(options, shorter).passed;
    });
    const std::string text = elmbay::process_testbed::text_of(smallest);
    std::ofstream(arguments.failed_schedule_path) << "# seed " << failure.seed << ", " << options.sidecars
                                                  << " sidecars, " << options.servers << " servers\n"
                                                  << text;
    std::cout << "shrunk to " << smallest.size() << " steps of " << failure.schedule.size() << ", written to "
              << arguments.failed_schedule_path << ":\n"
              << text;
}

void report_success(const Arguments& arguments, const Totals& totals) {
    std::cout << totals.schedules << " schedules of " << arguments.steps << " steps, " << totals.requests
              << " requests, " << totals.served << " served: no invariant violated" << std::endl;
}

int run(const Arguments& arguments) {
    if (!arguments.replay_path.empty()) return replay(arguments);
    Totals totals;
    if (const auto failure = search(arguments, totals)) {
        report_failure(arguments, *failure);
        return kExitFailed;
    }
    report_success(arguments, totals);
    return kExitPassed;
}

}  // namespace

int main(int argc, char** argv) {
    int exit_code = kExitPassed;
    const std::optional<Arguments> arguments = parse(argc, argv, exit_code);
    if (!arguments) return exit_code;
    try {
        return run(*arguments);
    } catch (const std::invalid_argument& error) {
        std::cerr << "elmbay_chaos: " << error.what() << std::endl;
        return kExitUsageError;
    } catch (const std::exception& error) {
        std::cerr << "elmbay_chaos: " << error.what() << std::endl;
        return kExitFailed;
    }
}
