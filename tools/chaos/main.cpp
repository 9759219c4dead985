// elmbay_chaos: schedules of faults on processes of a sidecar, until the time is over or one fails.
#include <CLI/CLI.hpp>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

#include "process_testbed/chaos.hpp"

int main(int argc, char** argv) {
    using namespace elmbay::process_testbed;
    CLI::App app{
        "Starts sidecars, puts faults between them, servers and the list as drawn from a seed, and holds "
        "what\n"
        "they did against the rules. A schedule that fails is shrunk and written to FILE."};
    Options options;
    options.sidecars = 4, options.servers = 4;
    options.patience = 1500, options.latency_objective = 400;
    options.program =
        (std::filesystem::read_symlink("/proc/self/exe").parent_path() / "../../elmbay").lexically_normal();
    std::uint64_t seed = 1;
    std::size_t deeds = 40;
    double seconds = 60;
    std::string out = "failed.schedule", replay;
    app.add_option("--sidecar", options.program, "the command that starts one")->capture_default_str();
    app.add_option("--sidecars", options.sidecars)->check(CLI::Range(2, 300))->capture_default_str();
    app.add_option("--servers", options.servers)->check(CLI::Range(2, 200))->capture_default_str();
    app.add_option("--deeds", deeds, "of a schedule")->check(CLI::Range(1, 10000))->capture_default_str();
    app.add_option("--seed", seed, "of the first schedule; each next one has the next")
        ->capture_default_str();
    app.add_option("--seconds", seconds, "for how long")->capture_default_str();
    app.add_option("--out", out, "where a failing schedule goes")->capture_default_str();
    app.add_option("--replay", replay, "this schedule only");
    app.footer("Exit: 0 all kept, 1 a schedule failed, 2 wrong use.");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? 0 : 2;
    }
    try {
        if (!replay.empty()) {
            std::ifstream file(replay);
            std::ostringstream text;
            text << file.rdbuf();
            if (!file) throw std::invalid_argument(replay + ": can't be read");
            const Verdict v = play(options, parse_schedule(text.str()));
            std::cout << (v.kept ? "kept\n" : v.explain);
            return v.kept ? 0 : 1;
        }
        const auto end = std::chrono::steady_clock::now() + std::chrono::duration<double>(seconds);
        std::uint64_t played = 0, asked = 0, served = 0;
        for (; std::chrono::steady_clock::now() < end; ++seed) {
            options.seed = seed;
            const Schedule schedule = draw_schedule(seed, options.sidecars, options.servers, deeds);
            const Verdict v = play(options, schedule);
            ++played, asked += v.asked, served += v.served;
            if (v.kept) continue;
            std::cout << "seed " << seed << " fails:\n" << v.explain << "shrinking" << std::endl;
            const Schedule least =
                shrink(schedule, [&](const Schedule& s) { return !play(options, s).kept; });
            std::ofstream(out) << "# seed " << seed << ", " << options.sidecars << " sidecars, "
                               << options.servers << " servers\n"
                               << text_of(least);
            std::cout << "down to " << least.size() << " deeds of " << schedule.size() << ", in " << out
                      << ":\n"
                      << text_of(least);
            return 1;
        }
        std::cout << played << " schedules of " << deeds << " deeds, " << asked << " requests, " << served
                  << " served: all kept" << std::endl;
        return 0;
    } catch (const std::invalid_argument& error) {
        std::cerr << "elmbay_chaos: " << error.what() << std::endl;
        return 2;
    } catch (const std::exception& error) {
        std::cerr << "elmbay_chaos: " << error.what() << std::endl;
        return 1;
    }
}
