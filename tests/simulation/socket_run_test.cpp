// The real driver round real sidecar processes. Nothing here asserts speed: rules, order, and what was asked.
#include "simulation/drivers/sockets/socket_run.hpp"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

#include "process_testbed/process.hpp"
#include "simulation/drivers/virtual/virtual_run.hpp"

namespace elmbay::simulation {
namespace {

// A few seconds, light enough for a machine that is busy otherwise: waits are generous, work is small.
const char* const kShort = R"(
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

std::string read(const std::string& path) {
    const std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

Report play(const std::string& text, const std::string& log = "") {
    const Scenario scenario = parse_scenario(text, "f.toml");
    SocketRunOptions options;
    options.sidecar_command = ELMBAY_PROGRAM;
    options.log_path = log;
    return run_socket_simulation(scenario, options);
}

std::uint64_t served(const Report& report) {
    std::uint64_t count = 0;
    for (const ClassReport& c : report.metrics.classes) count += c.within_objective + c.late;
    return count;
}

TEST(Real, TheSameScriptTwiceAsksAndHappensTheSame) {
    const std::string a = testing::TempDir() + "simulation-a.log",
                      b = testing::TempDir() + "simulation-b.log";
    const Report first = play(kShort, a), second = play(kShort, b);
    EXPECT_EQ(first.timeline, second.timeline);
    EXPECT_GT(first.timeline.size(), 8U);
    EXPECT_EQ(first.log_hash, second.log_hash);
    // Line for line, apart from where two things of one moment crossed: the asks alone, and the steps alone.
    const auto only = [](const std::string& text, const char* word) {
        std::istringstream in(text);
        std::string line, kept;
        while (std::getline(in, line))
            if (line.find(word) != std::string::npos) kept += line + "\n";
        return kept;
    };
    const std::string log_a = read(a), log_b = read(b);
    EXPECT_EQ(only(log_a, " ask "), only(log_b, " ask "));
    EXPECT_EQ(only(log_a, "step "), only(log_b, "step "));
    EXPECT_GT(only(log_a, " ask ").size(), 1000U);
    for (const Report& report : {first, second}) {
        EXPECT_GT(served(report), report.operations * 8 / 10) << text_of(report);
        // A busy machine may make the emulator late; then it says so, and the rules are not held against
        // elmbay.
        if (report.punctuality.trusted()) {
            EXPECT_TRUE(report.invariants_hold()) << text_of(report);
        }
    }
}

TEST(Real, SidecarsAreKilledRestartedAndReloaded) {
    const std::string text =
        std::string(kShort).substr(0, std::string(kShort).find("[[fault]]")) +
        "[[fault]]\nkind = \"sidecar-kill\"\nat = \"1s\"\nlasts = \"500ms\"\nwho = \"n-0\"\n"
        "[[fault]]\nkind = \"sidecar-restart\"\nat = \"1.5s\"\nwho = \"n-1\"\n"
        "[[fault]]\nkind = \"sidecar-reload\"\nat = \"2.8s\"\nwho = \"n-0\"\n"
        "[[fault]]\nkind = \"drain\"\nat = \"3s\"\nwho = \"s-2\"\n";
    const Report report = play(text);
    EXPECT_TRUE(report.notes.empty()) << text_of(report);
    EXPECT_GT(served(report), report.operations / 2) << text_of(report);
    if (report.punctuality.trusted()) {
        EXPECT_TRUE(report.invariants_hold()) << text_of(report);
    }
}

// A hall is cut off for a second, one way for another: on sockets as in virtual time, and the rules hold.
TEST(Real, ASplitOnSocketsCutsTheSameRequestsOffAsInVirtualTime) {
    const std::string text = std::string(kShort).substr(0, std::string(kShort).find("[[fault]]")) +
                             "[[fault]]\nkind = \"split\"\nat = \"1s\"\nlasts = \"1500ms\"\n"
                             "groups = [\"hall-a\", \"hall-b hall-c\"]\n"
                             "[[fault]]\nkind = \"one-way\"\nat = \"3s\"\nlasts = \"500ms\"\n"
                             "from = [\"hall-b\"]\nto = [\"hall-a\"]\n"
                             "[[fault]]\nkind = \"drain\"\nat = \"1200ms\"\nwho = \"s-2\"\n";
    const Report real = play(text);
    const Report simulated = run_virtual_simulation(parse_scenario(text, "f.toml"), {});
    EXPECT_TRUE(simulated.invariants_hold()) << text_of(simulated);
    if (real.punctuality.trusted()) {
        EXPECT_TRUE(real.invariants_hold()) << text_of(real);
    }
    EXPECT_GT(served(real), real.operations * 8 / 10) << text_of(real);
    // What is on its way over a connection that stood waits for the link: most of a second and a half.
    for (const Report& report : {real, simulated}) {
        Millis most = 0;
        for (const ClassReport& c : report.metrics.classes) most = std::max(most, c.max_latency);
        EXPECT_GT(most, 700) << text_of(report);
    }
}

// On sockets: half of the sidecars come back together while a server is cold, one stands still while a server
// drains, one has little of its core, one runs another build and one other settings. The checker of cold
// starts and of drains holds all of it against the rules.
TEST(Real, SidecarsFailWhileServersDo) {
    const std::string text =
        std::string(kShort).substr(0, std::string(kShort).find("[[fault]]")) +
        "[[fault]]\nkind = \"die\"\nat = \"500ms\"\nlasts = \"700ms\"\nwho = \"s-0\"\n"
        "[[fault]]\nkind = \"sidecar-kill\"\nat = \"1200ms\"\nlasts = \"300ms\"\nwho = [\"n-0\", \"n-1\"]\n"
        "[[fault]]\nkind = \"pause\"\nat = \"1800ms\"\nlasts = \"1s\"\nwho = \"n-2\"\n"
        "[[fault]]\nkind = \"drain\"\nat = \"1700ms\"\nlinger = \"1s\"\nwho = \"s-2\"\n"
        "[[fault]]\nkind = \"starve\"\nat = \"1s\"\nlasts = \"2s\"\nshare = 0.4\nwho = \"n-3\"\n"
        "[[fault]]\nkind = \"other-build\"\nat = \"2s\"\nwho = \"n-1\"\nbuild = \"other\"\n"
        "[[fault]]\nkind = \"other-settings\"\nat = \"2s\"\nwho = \"n-0\"\nset = \"siblings=9\"\n";
    const std::string with_four = std::string(text).replace(text.find("count = 2"), 9, "count = 4");
    const Scenario scenario = parse_scenario(with_four, "f.toml");
    SocketRunOptions options;
    options.sidecar_command = ELMBAY_PROGRAM;
    EXPECT_THROW(run_socket_simulation(scenario, options), std::invalid_argument)
        << "the build has no command";
    options.build_commands["other"] = std::string("env RELAY_OTHER=1 ") + ELMBAY_PROGRAM;
    const Report report = run_socket_simulation(scenario, options);
    EXPECT_TRUE(report.notes.empty()) << text_of(report);
    EXPECT_GT(served(report), report.operations / 2) << text_of(report);
    if (report.punctuality.trusted()) {
        EXPECT_TRUE(report.invariants_hold()) << text_of(report);
    }
    EXPECT_EQ(report.sidecar_activity.impaired_spans.size(), 2U);
    std::size_t other = 0;
    for (const SidecarSpan& s : report.sidecar_activity.process_spans)
        other += s.description == "other" || s.description == "elmbay (other-settings)";
    EXPECT_EQ(other, 2U);
}

TEST(Real, ASidecarThatDoesNotComeUpIsToldWithWhatItSaid) {
    const Scenario scenario = parse_scenario("length = \"1s\"\n", "f.toml");
    SocketRunOptions options;
    options.sidecar_command = "echo no such luck; exit 3";
    try {
        run_socket_simulation(scenario, options);
        FAIL() << "it ran";
    } catch (const std::runtime_error& error) {
        EXPECT_NE(std::string(error.what()).find("no such luck"), std::string::npos) << error.what();
    }
}

TEST(Real, ASidecarThatCrashesIsABrokenRule) {
    const Scenario scenario =
        parse_scenario("length = \"3s\"\n[sidecars]\ncount = 1\n[callers]\nrate = 20\n", "f.toml");
    SocketRunOptions options;
    // Ends by itself a second and a half after its start, which is after it is ready.
    options.sidecar_command = std::string("timeout -s KILL 1.5 ") + ELMBAY_PROGRAM;
    const Report report = run_socket_simulation(scenario, options);
    EXPECT_FALSE(report.invariants_hold());
    ASSERT_FALSE(report.notes.empty());
    EXPECT_NE(report.notes[0].find("ended by itself"), std::string::npos);
}

}  // namespace
}  // namespace elmbay::simulation
