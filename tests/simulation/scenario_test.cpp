// Tests that the parser reports all problems of a scenario file at once, with line, key and accepted range,
// and that timelines follow from scenarios.
#include "simulation/scenario/scenario.hpp"

#include <gtest/gtest.h>

#include "bundle.hpp"
#include "simulation/scenario/timeline.hpp"

namespace elmbay::simulation {
namespace {

std::string problems_of(const std::string& text) {
    try {
        parse_scenario(text, "f.toml");
    } catch (const ScenarioError& error) {
        return error.what();
    }
    return "";
}

#define EXPECT_PROBLEM(text, part) \
    EXPECT_NE(problems_of(text).find(part), std::string::npos) << problems_of(text)

TEST(Scenario, AcceptsEmptyFileWithDefaultClasses) {
    const Scenario scenario = parse_scenario("", "f.toml");
    EXPECT_EQ(scenario.classes.size(), 3U);
    EXPECT_EQ(scenario.classes[1].idempotency(), balancer::Idempotency::non_idempotent);
}

TEST(Scenario, AcceptsEveryBundledScenario) {
    EXPECT_GE(bundled_scenarios().size(), 9U);
    for (const BundledScenario& scenario : bundled_scenarios())
        EXPECT_NO_THROW(parse_scenario(scenario.text, scenario.name)) << scenario.name;
}

TEST(Scenario, RejectsUnknownKeyWithLineAndSuggestion) {
    EXPECT_PROBLEM("length = \"10s\"\n[fleet]\nserver = 3\n",
                   "f.toml:3: fleet.server: is not a known key; did you mean 'servers'?");
    EXPECT_PROBLEM("[flet]\n", "did you mean 'fleet'?");
}

TEST(Scenario, RejectsValuesOfWrongUnitRangeOrType) {
    EXPECT_PROBLEM("length = 10\n", "f.toml:1: length: must be a duration");
    EXPECT_PROBLEM("length = \"10 parsecs\"\n", "must be a duration such as");
    EXPECT_PROBLEM("[fleet]\nservers = 0\n", "f.toml:2: fleet.servers: must be between 1 and 4096");
    EXPECT_PROBLEM("[fleet]\nservers = 2.5\n", "must be a whole number");
    EXPECT_PROBLEM("[fleet]\ncold_from = \"200%\"\n", "must be between");
    EXPECT_PROBLEM("[fleet]\ndrops_waiting = 1\n", "must be true or false");
    EXPECT_PROBLEM("[callers]\nshape = \"wavy\"\n",
                   "'wavy' is not one of steady, bursty, ramp, wave; did you mean 'wave'?");
    EXPECT_PROBLEM("[fleet]\nservers = nan\n", "must be a whole number");
    EXPECT_PROBLEM("fleet = 3\n", "must be a table");
    EXPECT_PROBLEM("fault = [1]\n", "must be a list of tables");
    EXPECT_PROBLEM("[[fault]]\nat = \"1s\"\n", "fault 1.kind: is missing");
}

TEST(Scenario, RejectsInvalidTomlWithLine) { EXPECT_PROBLEM("length = \"10s\"\n[[[\n", "f.toml:2"); }

TEST(Scenario, ReportsAllProblemsAtOnce) {
    const std::string problems = problems_of("lenght = \"1s\"\n[fleet]\nservers = 0\ncores = 0\n");
    EXPECT_EQ(std::count(problems.begin(), problems.end(), '\n'), 3) << problems;
}

TEST(Scenario, RejectsFaultsThatEndOneServerTwiceAtOnce) {
    const std::string crash = "[[fault]]\nkind = \"die\"\nat = \"2s\"\nlasts = \"5s\"\nwho = [\"s-1\"]\n";
    EXPECT_PROBLEM(crash + "[[fault]]\nkind = \"vanish\"\nat = \"6s\"\nwho = [\"s-1\"]\n",
                   "f.toml:6: fault.at: s-1 can't end twice: the fault in line 1");
    EXPECT_EQ(problems_of(crash + "[[fault]]\nkind = \"die\"\nat = \"7s\"\nwho = [\"s-1\"]\n"), "");
    // Faults of other kinds may overlap with a crash.
    EXPECT_EQ(problems_of(crash + "[[fault]]\nkind = \"freeze\"\nat = \"1s\"\nwho = [\"s-1\"]\n"), "");
    // The process of a draining server ends after its linger.
    EXPECT_PROBLEM(
        "[[fault]]\nkind = \"drain\"\nat = \"2s\"\nlinger = \"4s\"\nlasts = \"2s\"\nwho = [\"s-1\"]\n" +
            crash,
        "can't end twice");
}

TEST(Scenario, RejectsFaultsWithoutValidTargetOrTime) {
    EXPECT_PROBLEM("[[fault]]\nkind = \"die\"\nat = \"1s\"\nwho = [\"s-99\"]\n",
                   "'s-99' does not match any process; accepted: s-0 to s-11");
    EXPECT_PROBLEM("[[fault]]\nkind = \"die\"\nat = \"1s\"\nwho = []\n",
                   "must be a string or a non-empty list of strings");
    EXPECT_PROBLEM("[[fault]]\nkind = \"die\"\nat = \"99s\"\n", "is after the end");
    EXPECT_PROBLEM("[[fault]]\nkind = \"join\"\nat = \"1s\"\nwho = \"all\"\n",
                   "at least one server must run at the start");
    EXPECT_PROBLEM(
        "[[fault]]\nkind = \"join\"\nat = \"5s\"\nwho = \"s-1\"\n[[fault]]\nkind = \"die\"\nat = \"1s\"\nwho "
        "= \"s-1\"\n",
        "s-1 has not joined by then");
}

TEST(Scenario, ResolvesTargetsByShareFromSeedAndByZoneName) {
    const std::string text = "seed = 4\n[[fault]]\nkind = \"freeze\"\nat = \"1s\"\nwho = \"25%\"\n";
    const auto targets = [&](std::uint64_t seed) {
        return parse_scenario(text, "f", seed).faults[0].target_ids;
    };
    EXPECT_EQ(targets(4).size(), 3U);
    EXPECT_EQ(targets(4), targets(4));
    bool differs = false;
    for (std::uint64_t seed = 5; seed < 15; ++seed) differs = differs || targets(seed) != targets(4);
    EXPECT_TRUE(differs);
    const Scenario by_zone =
        parse_scenario("[[fault]]\nkind = \"freeze\"\nat = \"1s\"\nwho = \"hall-b\"\n", "f");
    EXPECT_EQ(by_zone.faults[0].target_ids, (std::vector<std::uint32_t>{1, 4, 7, 10}));
}

TEST(Timeline, KeepsNoticesOfOneServerInOrderWhenListIsDelayed) {
    // The list delays the notice of the crash but not that of the restart. The notice of the restart must not
    // come first.
    const Scenario scenario = parse_scenario(
        "length = \"30s\"\n[registry]\nnotice_least = \"100ms\"\nnotice_most = \"100ms\"\n"
        "[[fault]]\nkind = \"list-late\"\nat = \"1s\"\nlasts = \"2s\"\ndelay = \"9s\"\n"
        "[[fault]]\nkind = \"die\"\nat = \"2s\"\nlasts = \"2s\"\nwho = \"s-3\"\n",
        "f");
    const auto notices = build_notices(scenario, build_timeline(scenario));
    ASSERT_EQ(notices.size(), 2U);
    EXPECT_EQ(notices[0].state, balancer::EndpointState::removed);
    EXPECT_DOUBLE_EQ(notices[0].at, 11100);
    EXPECT_EQ(notices[1].state, balancer::EndpointState::active);
    EXPECT_GE(notices[1].at, notices[0].at);
    EXPECT_DOUBLE_EQ(notices[1].online_since, 4000);
}

}  // namespace
}  // namespace elmbay::simulation
