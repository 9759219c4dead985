// Tests single attempts on an Upstream without the rest of the sidecar: attempts that are never written,
// attempts that are partly written, and events that occur in the same turn of the event loop.
#include <gtest/gtest.h>

#include <vector>

#include "support/upstream_fixture.hpp"

namespace elmbay::test {
namespace {

constexpr std::size_t kBodyBeyondSocketBuffers = std::size_t{64} << 20U;

// ---- Attempts that are never written ----------------------------------------------------------------------

// The endpoint list marks the server as draining after the attempt starts, before its connection is
// established.
TEST(Upstream, SendsNothingToServerThatDrainsDuringConnect) {
    UpstreamFixture fixture;
    fixture.start_attempt();
    fixture.set_server(false);
    fixture.run_until_ended();
    EXPECT_EQ(fixture.outcomes, std::vector<Outcome>{Outcome::not_sent});
    ASSERT_TRUE(fixture.until(
        [&] { return !fixture.server.connections.empty() && fixture.server.last_connection().closed; }));
    EXPECT_EQ(fixture.server.last_connection().received, "");
}

TEST(Upstream, EndsAttemptAsNotSentWithoutSocket) {
    UpstreamFixture fixture(0);
    fixture.start_attempt();
    fixture.run_until_ended();
    EXPECT_EQ(fixture.outcomes, std::vector<Outcome>{Outcome::not_sent});
}

// The client disconnects while the attempt waits for the endpoint list to be read.
TEST(Upstream, SendsNothingAfterClientDisconnectsWhileListIsRead) {
    UpstreamFixture fixture;
    fixture.is_endpoint_list_unread = true;
    fixture.start_attempt();
    fixture.io.poll_one();
    ASSERT_TRUE(fixture.outcomes.empty());
    fixture.is_endpoint_list_unread = false;
    fixture.is_client_disconnected = true;
    ASSERT_TRUE(fixture.until([&] { return !fixture.outcomes.empty(); }));
    EXPECT_EQ(fixture.outcomes, std::vector<Outcome>{Outcome::not_sent});
    fixture.io.poll();
    EXPECT_EQ(fixture.server.request_count(), 0U);
}

// The event loop is blocked until the attempt's deadline has passed. It handles the new connection before the
// timer.
TEST(Upstream, SendsNothingAfterDeadlineWhenConnectionOpensLate) {
    constexpr Millis kTimeLeft = 400;
    UpstreamFixture fixture;
    fixture.start_attempt(kNoTimeLimit, 0, kTimeLeft);
    const Millis deadline = fixture.clock.now() + kTimeLeft;
    block_event_loop_until(fixture.clock, deadline + 1);
    fixture.run_until_ended();
    fixture.io.poll();
    ASSERT_EQ(fixture.outcomes.size(), 1U);
    EXPECT_TRUE(fixture.outcomes.front() == Outcome::not_sent ||
                fixture.outcomes.front() == Outcome::connect_failed)
        << "the request never ran";
    EXPECT_EQ(fixture.server.request_count(), 0U);
}

// ---- The deduplication window -----------------------------------------------------------------------------

// Servers discard an idempotency key when its deduplication window ends. A request that is written later
// would run a second time.
TEST(Upstream, SendsNothingAfterDeduplicationWindow) {
    UpstreamFixture fixture;
    fixture.start_attempt(0);
    fixture.run_until_ended();
    EXPECT_EQ(fixture.outcomes, std::vector<Outcome>{Outcome::not_sent});
    fixture.outcomes.clear();
    fixture.start_attempt();  // uses the connection that was opened for the first attempt
    ASSERT_TRUE(fixture.until([&] { return fixture.server.request_count() != 0; }));
    EXPECT_EQ(fixture.server.request_count(), 1U);
}

// A server that does not read blocks the request's last byte. Without that byte the request can't have run.
TEST(Upstream, AbortsWriteWhenDeduplicationWindowEnds) {
    UpstreamFixture fixture;
    fixture.server.reads_automatically = false;
    fixture.start_attempt(1000, kBodyBeyondSocketBuffers);
    fixture.run_until_ended();
    EXPECT_EQ(fixture.outcomes, std::vector<Outcome>{Outcome::not_sent});
    ASSERT_EQ(fixture.server.connections.size(), 1U);
    fixture.server.last_connection().read();
    ASSERT_TRUE(fixture.until([&] { return fixture.server.last_connection().closed; }));
    EXPECT_LT(fixture.server.last_connection().received.size(), kBodyBeyondSocketBuffers);
}

TEST(Upstream, AwaitsResponseAfterDeduplicationWindowOnceWritten) {
    UpstreamFixture fixture;
    fixture.start_attempt(1000);
    ASSERT_TRUE(fixture.until([&] { return fixture.server.request_count() != 0; }));
    bool window_over = false;
    fixture.timers.set(fixture.clock.now() + 1100, [&] { window_over = true; });
    while (!window_over) fixture.io.run_one_for(kWaitLimit);
    EXPECT_TRUE(fixture.outcomes.empty());
    fixture.server.last_connection().respond("200 OK", "answer");
    fixture.run_until_ended();
    EXPECT_EQ(fixture.outcomes, std::vector<Outcome>{Outcome::success});
}

// ---- Partly written requests ------------------------------------------------------------------------------

// Bytes that a server sends before it has the whole request can't be its response, and the request has not
// run.
TEST(Upstream, TreatsResponseBeforeWholeRequestAsNotRun) {
    UpstreamFixture fixture;
    fixture.server.reads_automatically = false;
    fixture.start_attempt(kNoTimeLimit, kBodyBeyondSocketBuffers);
    ASSERT_TRUE(fixture.until([&] {
        return !fixture.server.connections.empty() &&
               fixture.server.last_connection().socket.available() != 0;
    }));
    fixture.server.last_connection().respond("200 OK", "too early");
    fixture.run_until_ended();
    EXPECT_EQ(fixture.outcomes, std::vector<Outcome>{Outcome::connect_failed});
}

// After a clean close the kernel would still deliver unsent bytes when an interrupted network path recovers.
// A reset discards them.
TEST(Upstream, ResetsConnectionOnTimeoutSoThatNothingArrivesLater) {
    UpstreamFixture fixture;
    fixture.server.reads_automatically = false;
    fixture.start_attempt(kNoTimeLimit, std::size_t{8} << 20U, 300);
    fixture.run_until_ended();
    EXPECT_EQ(fixture.outcomes, std::vector<Outcome>{Outcome::timed_out});
    fixture.server.last_connection().read();
    ASSERT_TRUE(fixture.until([&] { return fixture.server.last_connection().closed; }));
    EXPECT_EQ(fixture.server.last_connection().close_error, asio::error::connection_reset);
}

// ---- Several events in one turn of the event loop ---------------------------------------------------------

// A quarter of this deadline is the limit for connecting, which must suffice on a busy machine.
constexpr Millis kSimultaneousDeadline = 2000;

TEST(SimultaneousEvents, ResponseAndTimeoutGiveOneOutcome) {
    UpstreamFixture fixture;
    fixture.start_attempt(kNoTimeLimit, 0, kSimultaneousDeadline);
    const Millis deadline = fixture.clock.now() + kSimultaneousDeadline;
    ASSERT_TRUE(fixture.until([&] { return fixture.server.request_count() != 0; }));
    fixture.server.last_connection().respond("200 OK", "answer");
    block_event_loop_until(fixture.clock, deadline + 1);
    fixture.run_until_ended();
    fixture.io.poll();
    ASSERT_EQ(fixture.outcomes.size(), 1U);
    EXPECT_TRUE(fixture.outcomes.front() == Outcome::success ||
                fixture.outcomes.front() == Outcome::timed_out);
    EXPECT_EQ(fixture.upstream.attempt_and_connect_count(1), 0U);
}

TEST(SimultaneousEvents, CancelBeforeResponseAndTimeoutDeterminesOutcome) {
    UpstreamFixture fixture;
    fixture.start_attempt(kNoTimeLimit, 0, kSimultaneousDeadline);
    const Millis deadline = fixture.clock.now() + kSimultaneousDeadline;
    ASSERT_TRUE(fixture.until([&] { return fixture.server.request_count() != 0; }));
    fixture.server.last_connection().respond("200 OK", "answer");
    block_event_loop_until(fixture.clock, deadline + 1);
    fixture.upstream.cancel_attempt({1, 0});
    fixture.upstream.cancel_attempt({1, 0});
    fixture.run_until_ended();
    fixture.io.poll();
    EXPECT_EQ(fixture.outcomes, std::vector<Outcome>{Outcome::cancelled});
    EXPECT_EQ(fixture.upstream.attempt_and_connect_count(1), 0U);
}

// Only the result of the write shows whether the last byte was sent and so whether the request may have run.
// The outcome is reported once, after that result.
TEST(SimultaneousEvents, ResetAndWriteDeadlineGiveOneOutcome) {
    UpstreamFixture fixture;
    fixture.server.reads_automatically = false;
    fixture.start_attempt(kSimultaneousDeadline, kBodyBeyondSocketBuffers);
    const Millis write_deadline = fixture.clock.now() + kSimultaneousDeadline;
    ASSERT_TRUE(fixture.until([&] {
        return !fixture.server.connections.empty() &&
               fixture.server.last_connection().socket.available() != 0;
    }));
    fixture.server.last_connection().reset();
    block_event_loop_until(fixture.clock, write_deadline + 1);
    fixture.run_until_ended();
    fixture.io.poll();
    ASSERT_EQ(fixture.outcomes.size(), 1U);
    EXPECT_TRUE(fixture.outcomes.front() == Outcome::connect_failed ||
                fixture.outcomes.front() == Outcome::not_sent)
        << "the request's last byte was never sent";
    EXPECT_EQ(fixture.upstream.attempt_and_connect_count(1), 0U);
}

}  // namespace
}  // namespace elmbay::test
