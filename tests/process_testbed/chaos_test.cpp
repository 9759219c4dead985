// Tests chaos runs with schedules of fixed seeds, for about twenty seconds, and the shrinking of a schedule
// that fails.
#include "process_testbed/chaos.hpp"

#include "process_testbed/shrink.hpp"
#include "scenarios.hpp"

namespace elmbay::process_testbed {
namespace {

Options chaos_options() {
    Options options = small_testbed(3, 3);
    options.request_deadline = 4000, options.latency_objective = 1500;
    return options;
}

TEST(Chaos, DrawsEqualSchedulesForOneSeedAndParsesItsOwnText) {
    const Schedule schedule = draw_schedule(7, 3, 3, 200);
    EXPECT_EQ(schedule, draw_schedule(7, 3, 3, 200));
    EXPECT_NE(schedule, draw_schedule(8, 3, 3, 200));
    EXPECT_EQ(parse_schedule("# note\n" + text_of(schedule)), schedule);
    EXPECT_THROW(parse_schedule("ask 0 0 1\nfly 1 2 3\n"), std::invalid_argument);
}

TEST(Chaos, ViolatesNoInvariantUnderSchedulesOfFixedSeeds) {
    for (std::uint64_t seed = 501; seed < 511; ++seed) {
        const Schedule schedule = draw_schedule(seed, 3, 3, 40);
        const ChaosResult result = run_schedule(chaos_options(), schedule);
        ASSERT_TRUE(result.passed) << "seed " << seed << "\n" << result.explanation << text_of(schedule);
        EXPECT_GT(result.requests, 10U);
    }
}

// With a failpoint enabled, a long schedule shrinks to the few steps that trigger the failure.
TEST(Chaos, ShrinksAFailingScheduleToAtMostFourSteps) {
    Options options = chaos_options();
    options.program = std::string("env ELMBAY_PLANT=resend ") + ELMBAY_PROGRAM_WITH_FAILPOINTS;
    const Schedule schedule = parse_schedule(
        "ask 1 0 2\nwait 0 0 5\ndrain 0 2 0\nask 2 2 1\nwait 0 0 20\nrestore 0 2 0\nbreak 1 0 9\nbreak 1 1 "
        "9\n"
        "break 1 2 9\nask 0 1 6\nwait 0 0 30\nheal 0 0 0\nask 1 0 1\n");
    const auto fails = [&](const Schedule& candidate) { return !run_schedule(options, candidate).passed; };
    ASSERT_TRUE(fails(schedule));
    const Schedule smallest = shrink(schedule, fails);
    EXPECT_LE(smallest.size(), 4U) << text_of(smallest);
    EXPECT_TRUE(fails(smallest));
}

// The failpoint leaks one descriptor for each attempt that failed to connect or was reset. The check at the
// end of the run detects the leaked descriptors.
TEST(Chaos, FindsADescriptorLeakUnderRepeatedResets) {
    Options options = chaos_options();
    options.program = std::string("env ELMBAY_PLANT=leak ") + ELMBAY_PROGRAM_WITH_FAILPOINTS;
    Schedule schedule;
    for (std::uint64_t i = 0; i < 20; ++i) {
        schedule.push_back(FaultStep::send_requests(0, 0, 3));
        schedule.push_back(FaultStep::wait(30));
        for (std::size_t server = 0; server < 3; ++server)
            schedule.push_back(FaultStep::reset_connections(0, server));
    }
    const ChaosResult result = run_schedule(options, schedule);
    EXPECT_FALSE(result.passed);
    EXPECT_NE(result.explanation.find("holds more descriptors than its status counts"), std::string::npos)
        << result.explanation;
    options.program = ELMBAY_PROGRAM;
    const ChaosResult without_leak = run_schedule(options, schedule);
    EXPECT_TRUE(without_leak.passed) << without_leak.explanation;
}

}  // namespace
}  // namespace elmbay::process_testbed
