// Tests the driver on sockets with real sidecar processes. The tests check invariants, order and the requests
// that are sent, but no speed.
#include "simulation/drivers/sockets/socket_run.hpp"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

#include "process_testbed/process.hpp"
#include "simulation/drivers/virtual/virtual_run.hpp"

namespace elmbay::simulation {
namespace {

// A scenario of a few seconds that a busy machine can run in time: deadlines are long and the work is small.
const char* const kShortScenario = R"(
length = "4s"
seed = 5
[fleet]
servers = 6
warm_within = "3s"
[registry]
notice_least = "100ms"
notice_most = "300ms"
[callers]
rate = 60
impatient = 0
[sidecars]
count = 2
[[class]]
name = "listen"
work = "20ms"
aim = "2s"
give_up = "6s"
[[class]]
name = "deposit"
effect = "unsafe"
work = "15ms"
aim = "2s"
give_up = "6s"
[[class]]
name = "annotate"
effect = "keyed"
work = "20ms"
aim = "2s"
give_up = "6s"
[[fault]]
kind = "die"
at = "1s"
lasts = "1s"
who = "s-0"
[[fault]]
kind = "vanish"
at = "1.2s"
lasts = "1.5s"
who = "s-1"
[[fault]]
kind = "drain"
at = "0.8s"
linger = "1.5s"
who = "s-2"
[[fault]]
kind = "fail-fast"
at = "0.5s"
lasts = "1s"
who = "s-3"
[[fault]]
kind = "freeze"
at = "1s"
lasts = "2s"
every = "500ms"
pause = "100ms"
who = "s-4"
)";

std::string read_file(const std::string& path) {
    const std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

Report run(const std::string& text, const std::string& log_path = "") {
    const Scenario scenario = parse_scenario(text, "f.toml");
    SocketRunOptions options;
    options.sidecar_command = ELMBAY_PROGRAM;
    options.log_path = log_path;
    return run_socket_simulation(scenario, options);
}

std::uint64_t served_count(const Report& report) {
    std::uint64_t count = 0;
    for (const ClassReport& class_report : report.metrics.classes)
        count += class_report.within_objective + class_report.late;
    return count;
}

TEST(SocketRun, SendsSameOperationsAndAppliesSameStepsForSameScenario) {
    const std::string first_path = testing::TempDir() + "simulation-a.log",
                      second_path = testing::TempDir() + "simulation-b.log";
    const Report first = run(kShortScenario, first_path), second = run(kShortScenario, second_path);
    EXPECT_EQ(first.timeline, second.timeline);
    EXPECT_GT(first.timeline.size(), 8U);
    EXPECT_EQ(first.log_hash, second.log_hash);
    // Events of the same time may be logged in either order, so the operations and the steps are compared
    // separately.
    const auto lines_with = [](const std::string& text, const char* event) {
        std::istringstream lines(text);
        std::string line, matching;
        while (std::getline(lines, line))
            if (line.find(event) != std::string::npos) matching += line + "\n";
        return matching;
    };
    const std::string first_log = read_file(first_path), second_log = read_file(second_path);
    EXPECT_EQ(lines_with(first_log, " ask "), lines_with(second_log, " ask "));
    EXPECT_EQ(lines_with(first_log, "step "), lines_with(second_log, "step "));
    EXPECT_GT(lines_with(first_log, " ask ").size(), 1000U);
    for (const Report& report : {first, second}) {
        EXPECT_GT(served_count(report), report.operations * 8 / 10) << text_of(report);
        // On a busy machine the emulator may be late. The report then counts as not trusted, and a violation
        // may not be due to elmbay.
        if (report.timer_lateness.is_acceptable()) {
            EXPECT_TRUE(report.invariants_hold()) << text_of(report);
        }
    }
}

TEST(SocketRun, KillsRestartsAndReloadsSidecars) {
    const std::string text =
        std::string(kShortScenario).substr(0, std::string(kShortScenario).find("[[fault]]")) +
        "[[fault]]\nkind = \"sidecar-kill\"\nat = \"1s\"\nlasts = \"500ms\"\nwho = \"n-0\"\n"
        "[[fault]]\nkind = \"sidecar-restart\"\nat = \"1.5s\"\nwho = \"n-1\"\n"
        "[[fault]]\nkind = \"sidecar-reload\"\nat = \"2.8s\"\nwho = \"n-0\"\n"
        "[[fault]]\nkind = \"drain\"\nat = \"3s\"\nwho = \"s-2\"\n";
    const Report report = run(text);
    EXPECT_TRUE(report.notes.empty()) << text_of(report);
    EXPECT_GT(served_count(report), report.operations / 2) << text_of(report);
    if (report.timer_lateness.is_acceptable()) {
        EXPECT_TRUE(report.invariants_hold()) << text_of(report);
    }
}

// Tests that a partition of a zone, and one in one direction, have the same effect on sockets as in virtual
// time, and that the invariants hold.
TEST(SocketRun, PartitionDelaysRequestsAsInVirtualTime) {
    const std::string text =
        std::string(kShortScenario).substr(0, std::string(kShortScenario).find("[[fault]]")) +
        "[[fault]]\nkind = \"split\"\nat = \"1s\"\nlasts = \"1500ms\"\n"
        "groups = [\"hall-a\", \"hall-b hall-c\"]\n"
        "[[fault]]\nkind = \"one-way\"\nat = \"3s\"\nlasts = \"500ms\"\n"
        "from = [\"hall-b\"]\nto = [\"hall-a\"]\n"
        "[[fault]]\nkind = \"drain\"\nat = \"1200ms\"\nwho = \"s-2\"\n";
    const Report real = run(text);
    const Report simulated = run_virtual_simulation(parse_scenario(text, "f.toml"), {});
    EXPECT_TRUE(simulated.invariants_hold()) << text_of(simulated);
    if (real.timer_lateness.is_acceptable()) {
        EXPECT_TRUE(real.invariants_hold()) << text_of(real);
    }
    EXPECT_GT(served_count(real), real.operations * 8 / 10) << text_of(real);
    // Data on an established connection waits for the end of the cut, which lasts most of 1.5 seconds.
    for (const Report& report : {real, simulated}) {
        Millis max_latency = 0;
        for (const ClassReport& class_report : report.metrics.classes)
            max_latency = std::max(max_latency, class_report.max_latency);
        EXPECT_GT(max_latency, 700) << text_of(report);
    }
}

// Tests on sockets that the invariants on cold servers and on drains hold while sidecars fail: half of them
// restart together while a server is cold, one is paused while a server drains, one has limited CPU, one runs
// another build and one runs other settings.
TEST(SocketRun, HoldsInvariantsWhenSidecarsAndServersFailTogether) {
    const std::string text =
        std::string(kShortScenario).substr(0, std::string(kShortScenario).find("[[fault]]")) +
        "[[fault]]\nkind = \"die\"\nat = \"500ms\"\nlasts = \"700ms\"\nwho = \"s-0\"\n"
        "[[fault]]\nkind = \"sidecar-kill\"\nat = \"1200ms\"\nlasts = \"300ms\"\nwho = [\"n-0\", \"n-1\"]\n"
        "[[fault]]\nkind = \"pause\"\nat = \"1800ms\"\nlasts = \"1s\"\nwho = \"n-2\"\n"
        "[[fault]]\nkind = \"drain\"\nat = \"1700ms\"\nlinger = \"1s\"\nwho = \"s-2\"\n"
        "[[fault]]\nkind = \"starve\"\nat = \"1s\"\nlasts = \"2s\"\nshare = 0.4\nwho = \"n-3\"\n"
        "[[fault]]\nkind = \"other-build\"\nat = \"2s\"\nwho = \"n-1\"\nbuild = \"other\"\n"
        "[[fault]]\nkind = \"other-settings\"\nat = \"2s\"\nwho = \"n-0\"\nset = \"siblings=9\"\n";
    const std::string with_four_sidecars = std::string(text).replace(text.find("count = 2"), 9, "count = 4");
    const Scenario scenario = parse_scenario(with_four_sidecars, "f.toml");
    SocketRunOptions options;
    options.sidecar_command = ELMBAY_PROGRAM;
    EXPECT_THROW(run_socket_simulation(scenario, options), std::invalid_argument)
        << "the build 'other' has no command";
    options.command_by_build_name["other"] = std::string("env RELAY_OTHER=1 ") + ELMBAY_PROGRAM;
    const Report report = run_socket_simulation(scenario, options);
    EXPECT_TRUE(report.notes.empty()) << text_of(report);
    EXPECT_GT(served_count(report), report.operations / 2) << text_of(report);
    if (report.timer_lateness.is_acceptable()) {
        EXPECT_TRUE(report.invariants_hold()) << text_of(report);
    }
    EXPECT_EQ(report.sidecar_activity.impaired_spans.size(), 2U);
    std::size_t replaced = 0;
    for (const SidecarSpan& span : report.sidecar_activity.process_spans)
        replaced += span.description == "other" || span.description == "elmbay (other-settings)";
    EXPECT_EQ(replaced, 2U);
}

TEST(SocketRun, ReportsLogOfSidecarThatDoesNotBecomeReady) {
    const Scenario scenario = parse_scenario("length = \"1s\"\n", "f.toml");
    SocketRunOptions options;
    options.sidecar_command = "echo no such luck; exit 3";
    try {
        run_socket_simulation(scenario, options);
        FAIL() << "the run did not fail";
    } catch (const std::runtime_error& error) {
        EXPECT_NE(std::string(error.what()).find("no such luck"), std::string::npos) << error.what();
    }
}

TEST(SocketRun, ReportsCrashedSidecarAsViolation) {
    const Scenario scenario =
        parse_scenario("length = \"3s\"\n[sidecars]\ncount = 1\n[callers]\nrate = 20\n", "f.toml");
    SocketRunOptions options;
    // Kills the sidecar 1.5 seconds after its start, when it is ready.
    options.sidecar_command = std::string("timeout -s KILL 1.5 ") + ELMBAY_PROGRAM;
    const Report report = run_socket_simulation(scenario, options);
    EXPECT_FALSE(report.invariants_hold());
    ASSERT_FALSE(report.notes.empty());
    EXPECT_NE(report.notes[0].find("ended unexpectedly"), std::string::npos);
}

}  // namespace
}  // namespace elmbay::simulation
