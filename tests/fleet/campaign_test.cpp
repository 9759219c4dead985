// A campaign in small: a fixed seed, for about twenty seconds, and that what it finds is shrunk.
#include "fleet/campaign.hpp"

#include "scenarios.hpp"

namespace elmbay::fleet {
namespace {

Options thin() {
    Options options = few(3, 3);
    options.patience = 4000, options.aim = 1500;
    return options;
}

TEST(Campaign, SchedulesAreTheSameForTheSameSeedAndSurviveBeingWrittenDown) {
    const Schedule one = draw_schedule(7, 3, 3, 200);
    EXPECT_EQ(one, draw_schedule(7, 3, 3, 200));
    EXPECT_NE(one, draw_schedule(8, 3, 3, 200));
    EXPECT_EQ(parse_schedule("# note\n" + text_of(one)), one);
    EXPECT_THROW(parse_schedule("ask 0 0 1\nfly 1 2 3\n"), std::invalid_argument);
}

TEST(Campaign, EverythingIsKeptUnderSchedulesOfAFixedSeed) {
    for (std::uint64_t seed = 501; seed < 511; ++seed) {
        const Schedule schedule = draw_schedule(seed, 3, 3, 40);
        const Verdict verdict = play(thin(), schedule);
        ASSERT_TRUE(verdict.kept) << "seed " << seed << "\n" << verdict.story << text_of(schedule);
        EXPECT_GT(verdict.asked, 10U);
    }
}

// A planted fault in a long schedule comes down to the few deeds that show it.
TEST(Campaign, AFailingScheduleIsShrunkToTheDeedsThatMatter) {
    Options options = thin();
    options.program = std::string("env ELMBAY_PLANT=resend ") + ELMBAY_PLANTED;
    const Schedule schedule = parse_schedule(
        "ask 1 0 2\nwait 0 0 5\ndrain 0 2 0\nask 2 2 1\nwait 0 0 20\nrestore 0 2 0\nbreak 1 0 9\nbreak 1 1 "
        "9\n"
        "break 1 2 9\nask 0 1 6\nwait 0 0 30\nheal 0 0 0\nask 1 0 1\n");
    const auto fails = [&](const Schedule& s) { return !play(options, s).kept; };
    ASSERT_TRUE(fails(schedule));
    const Schedule least = shrink(schedule, fails);
    EXPECT_LE(least.size(), 4U) << text_of(least);
    EXPECT_TRUE(fails(least));
}

}  // namespace
}  // namespace elmbay::fleet
