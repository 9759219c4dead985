// Tests faults of sidecars and of the links between them in virtual time, and random fault schedules.
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <sstream>

#include "simulation/drivers/virtual/virtual_run.hpp"
#include "simulation/scenario/random_fault_schedule.hpp"

namespace elmbay::simulation {
namespace {

std::string fault_toml(const std::string& kind, const std::string& fields) {
    return "[[fault]]\nkind = \"" + kind + "\"\n" + fields + "\n";
}
const char* const kScenarioWithoutFaults =
    "length = \"12s\"\nseed = 9\n[fleet]\nservers = 6\n[sidecars]\ncount = 6\n[callers]\nrate = 120\n"
    "[messages]\nbeat = \"200ms\"\nbeat_to = 0\nloss = 0\n";

Report run(const std::string& text, std::ostream* log = nullptr) {
    VirtualRunOptions options;
    options.log = log;
    return run_virtual_simulation(parse_scenario(text, "f.toml"), options);
}

TEST(Sidecars, PausedSidecarSendsNothingUntilResumedAndDropsRequestsOfDisconnectedClients) {
    std::ostringstream log;
    const Report report =
        run(kScenarioWithoutFaults + fault_toml("pause", "at = \"4s\"\nlasts = \"3s\"\nwho = \"n-2\"") +
                fault_toml("die", "at = \"4500ms\"\nlasts = \"4s\"\nwho = \"50%\""),
            &log);
    EXPECT_TRUE(report.invariants_hold()) << text_of(report);
    std::istringstream lines(log.str());
    std::size_t sent_while_paused = 0, sent_at_resume = 0;
    for (std::string line; std::getline(lines, line);) {
        if (line.find(" send ") == std::string::npos || line.find(" n-2 ") == std::string::npos) continue;
        const double at = std::stod(line);
        sent_while_paused += at > 4000 && at < 7000;
        sent_at_resume += at == 7000;
    }
    EXPECT_EQ(sent_while_paused, 0U);
    // After it resumes, the sidecar forwards only the requests whose clients still wait for a response.
    EXPECT_GT(sent_at_resume, 0U);
    EXPECT_LT(sent_at_resume, 25U);
    ASSERT_EQ(report.sidecar_activity.impaired_spans.size(), 1U);
    EXPECT_EQ(report.sidecar_activity.impaired_spans[0].sidecar, 2U);
    EXPECT_EQ(report.sidecar_activity.impaired_spans[0].end - report.sidecar_activity.impaired_spans[0].start,
              3000);
}

TEST(Sidecars, SidecarWithLimitedCpuIsSlowerAndHoldsInvariants) {
    const auto p50 = [](const Report& report) { return report.metrics.classes[0].p50; };
    const Report baseline = run(kScenarioWithoutFaults);
    const Report starved =
        run(kScenarioWithoutFaults +
            fault_toml("starve", "at = \"1s\"\nlasts = \"10s\"\nshare = 0.2\nwho = \"all\""));
    EXPECT_TRUE(starved.invariants_hold()) << text_of(starved);
    EXPECT_GT(p50(starved), p50(baseline));
}

// Checks for each directed pair of sidecars that messages are delivered exactly if no fault of the scenario
// cuts the link.
TEST(Sidecars, DeliversMessagesExceptOverFaultyLinks) {
    const Report report =
        run(kScenarioWithoutFaults +
            fault_toml("split", "at = \"0s\"\ngroups = [\"n-0 n-1 n-4\", \"n-2 n-3 n-4\"]") +
            fault_toml("one-way", "at = \"0s\"\nfrom = \"n-5\"\nto = \"n-0\"") +
            fault_toml("lossy", "at = \"0s\"\nfrom = \"n-5\"\nto = \"n-1\"\nshare = 0.5"));
    ASSERT_EQ(report.sidecar_activity.deliveries.size(), 6U);
    const auto is_cut = [](std::size_t from, std::size_t to) {
        const auto group = [](std::size_t sidecar) { return sidecar < 2 ? 1 : sidecar < 4 ? 2 : 0; };
        return (group(from) != 0 && group(to) != 0 && group(from) != group(to)) || (from == 5 && to == 0);
    };
    for (std::size_t from = 0; from < 6; ++from)
        for (std::size_t to = 0; to < 6; ++to) {
            const auto delivered = report.sidecar_activity.deliveries[from][to];
            if (from == to || is_cut(from, to)) {
                EXPECT_EQ(delivered, 0U) << from << " " << to;
            } else if (from == 5 && to == 1) {
                EXPECT_GT(delivered, 15U);
                EXPECT_LT(delivered, 45U);
            } else {
                EXPECT_GT(delivered, 50U) << from << " " << to;
            }
        }
    EXPECT_EQ(report.sidecar_activity.link_faults.size(), 3U);
    // The price in PROTOCOL: delivered bytes over 256, divided by the number of operations.
    EXPECT_NEAR(report.sidecar_activity.goodput_cost,
                0.01 * static_cast<double>(report.sidecar_activity.message_bytes) / 256 /
                    static_cast<double>(report.operations),
                1e-12);
}

TEST(Sidecars, DelaysMessagesAsConfigured) {
    const auto delay_fault = fault_toml("late-messages", "at = \"0s\"\ndelay = \"5s\"");
    const Report baseline = run(kScenarioWithoutFaults), report = run(kScenarioWithoutFaults + delay_fault);
    EXPECT_EQ(baseline.sidecar_activity.message_seconds[1].delivered,
              baseline.sidecar_activity.message_seconds[1].sent);
    // Each message is delayed by at least half of 5 s.
    EXPECT_EQ(report.sidecar_activity.message_seconds[1].delivered, 0U);
    EXPECT_GT(report.sidecar_activity.message_seconds[9].delivered, 0U);
}

TEST(Sidecars, ReplacesBuildOrSettingsOfOneSidecarForDurationOfFault) {
    const Report report =
        run(kScenarioWithoutFaults +
            fault_toml("other-build", "at = \"2s\"\nlasts = \"4s\"\nwho = \"n-1\"\nbuild = \"plain\"") +
            fault_toml("other-settings",
                       "at = \"3s\"\nwho = \"n-2\"\nset = [\"siblings=3\", \"warm_within=4s\"]"));
    EXPECT_TRUE(report.invariants_hold()) << text_of(report);
    std::vector<std::string> spans_of_1, spans_of_2;
    for (const SidecarSpan& span : report.sidecar_activity.process_spans) {
        if (span.sidecar == 1) spans_of_1.push_back(span.description);
        if (span.sidecar == 2) spans_of_2.push_back(span.description);
    }
    EXPECT_EQ(spans_of_1, (std::vector<std::string>{"elmbay, ended", "plain, ended", "elmbay"}));
    EXPECT_EQ(spans_of_2, (std::vector<std::string>{"elmbay, ended", "elmbay (other-settings)"}));
    EXPECT_EQ(json_of(report)["sidecars"]["lives"].size(), 9U);
    EXPECT_NE(html_of(report).find("Interrupted sidecars (2 of 2"), std::string::npos);
}

TEST(Sidecars, RejectsInvalidSidecarFaultsAndMessageSettings) {
    for (const std::string& text :
         {fault_toml("other-settings", "at = \"1s\"\nset = \"sibling=3\""),
          fault_toml("other-build", "at = \"1s\""), fault_toml("pause", "at = \"1s\"\nwho = \"s-1\""),
          std::string("[messages]\nloss = 2\n")})
        EXPECT_THROW(parse_scenario(text, "f.toml"), ScenarioError) << text;
}

// Tests random fault schedules in virtual time: they are reproducible, elmbay holds the invariants, and a
// schedule in which a faulty balancer violates one is found and shrunk to the few faults that matter.
TEST(RandomFaultSchedules, AreIdenticalForSameSeed) {
    const RandomFaultOptions options;
    EXPECT_EQ(draw_random_faults(3, options).text(), draw_random_faults(3, options).text());
    EXPECT_NE(draw_random_faults(3, options).text(), draw_random_faults(4, options).text());
    std::ostringstream first_log, second_log;
    run(draw_random_faults(3, options).text(), &first_log);
    run(draw_random_faults(3, options).text(), &second_log);
    EXPECT_GT(first_log.str().size(), 100000U);
    EXPECT_TRUE(first_log.str() == second_log.str());
}

TEST(RandomFaultSchedules, ElmbayHoldsInvariantsInHundredSchedules) {
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        const Report report = run(draw_random_faults(seed, {}).text());
        ASSERT_TRUE(report.invariants_hold()) << "schedule of seed " << seed << "\n" << text_of(report);
    }
}

TEST(RandomFaultSchedules, FindsViolationOfFaultyBalancerAndShrinksSchedule) {
    for (const char* faulty_balancer : {"resend-unsafe", "deaf-to-drains"}) {
        VirtualRunOptions options;
        options.balancer = faulty_balancer;
        const auto violates_invariant = [&](const RandomFaultSchedule& schedule) {
            return !run_virtual_simulation(parse_scenario(schedule.text(), "storm"), options)
                        .invariants_hold();
        };
        std::uint64_t seed = 1;
        while (seed < 40 && !violates_invariant(draw_random_faults(seed, {}))) ++seed;
        const RandomFaultSchedule drawn = draw_random_faults(seed, {});
        ASSERT_TRUE(violates_invariant(drawn)) << faulty_balancer;
        const RandomFaultSchedule smallest = shrink_schedule(drawn, violates_invariant);
        EXPECT_TRUE(violates_invariant(smallest)) << faulty_balancer;
        EXPECT_LE(smallest.faults.size(), 2U) << faulty_balancer << "\n" << smallest.text();
    }
}

}  // namespace
}  // namespace elmbay::simulation
