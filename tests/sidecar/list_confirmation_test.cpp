// Tests how long a list is used that discovery has not confirmed.
#include "sidecar/list_confirmation.hpp"

#include <gtest/gtest.h>

#include "support/event_loop.hpp"

namespace elmbay::test {
namespace {

struct ListConfirmationFixture {
    boost::asio::io_context io{1};
    const Clock clock;
    TimerQueue timers{io, clock};
    int suspended_count = 0;
    int resumed_count = 0;
    ListConfirmation confirmation{
        timers, clock, {[this] { ++suspended_count; }, [this] { ++resumed_count; }}};
};

constexpr Millis kLongGrace = 600000;

TEST(ListConfirmation, AllowsReadinessWhereNoConfirmationIsRequired) {
    const ListConfirmationFixture fixture;
    EXPECT_TRUE(fixture.confirmation.allows_readiness());
}

TEST(ListConfirmation, NeitherSuspendsNorResumesIfConfirmedInTime) {
    ListConfirmationFixture fixture;
    fixture.confirmation.require(kLongGrace);
    EXPECT_FALSE(fixture.confirmation.allows_readiness());
    fixture.confirmation.confirm();
    EXPECT_TRUE(fixture.confirmation.allows_readiness());
    run_ready_handlers(fixture.io);
    EXPECT_EQ(fixture.suspended_count, 0);
    EXPECT_EQ(fixture.resumed_count, 0);
}

// Guards against a grace period that begins when the port is bound: the previous process may hold it for
// seconds, while the agent's list already applies.
TEST(ListConfirmation, SuspendsAtOnceIfTheStartTookLongerThanTheGrace) {
    ListConfirmationFixture fixture;
    block_event_loop_until(fixture.clock, fixture.clock.now() + 2);
    fixture.confirmation.require(2);
    EXPECT_EQ(fixture.suspended_count, 1);
}

TEST(ListConfirmation, SuspendsWhenGraceEndsAndResumesOnce) {
    ListConfirmationFixture fixture;
    fixture.confirmation.require(1);
    ASSERT_TRUE(run_until(fixture.io, [&] { return fixture.suspended_count == 1; }));
    EXPECT_FALSE(fixture.confirmation.allows_readiness());
    fixture.confirmation.confirm();
    fixture.confirmation.confirm();
    EXPECT_EQ(fixture.resumed_count, 1);
    EXPECT_TRUE(fixture.confirmation.allows_readiness());
}

}  // namespace
}  // namespace elmbay::test
