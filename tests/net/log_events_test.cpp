// Tests the log lines of the frontend and the limit on their rate.
#include "net/log_events.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "support/sidecar_fixture.hpp"

namespace elmbay::test {
namespace {

TEST(LogEvent, QuotesTheError) {
    testing::internal::CaptureStderr();
    log_event("discovery", "call_failed", "a \"b\"\n");
    EXPECT_EQ(testing::internal::GetCapturedStderr(),
              "elmbay: component=discovery event=call_failed error=\"a \\\"b\\\"\\x0a\"\n");
}

TEST(AcceptingPausedLog, NamesTheConnectionsByState) {
    ClientConnectionCounts connections;
    connections.reading_request = 1;
    connections.request_in_progress = 2;
    connections.writing_response = 3;
    connections.lingering_close = 4;
    connections.idle = 5;
    connections.idle_with_unread = 6;
    connections.rejected = 7;
    connections.rejected_with_unread = 8;
    EXPECT_EQ(AcceptingPausedLog().line(1000, connections),
              "component=listener event=accepting_paused connections=36 reading=1 in_progress=2 writing=3 "
              "lingering=4 idle=5 idle_unread=6 rejected=7 rejected_unread=8");
}

TEST(AcceptingPausedLog, IsDueAgainAfterMinInterval) {
    AcceptingPausedLog log;
    EXPECT_TRUE(log.is_due(1000));
    log.line(1000, {});
    EXPECT_FALSE(log.is_due(1000 + AcceptingPausedLog::kMinInterval - 1));
    EXPECT_TRUE(log.is_due(1000 + AcceptingPausedLog::kMinInterval));
}

// New connections can't be evicted at once. While they hold all sockets, accepting pauses.
TEST(AcceptingPausedLog, IsWrittenWhileNewConnectionsHoldAllSockets) {
    SidecarFixture fixture;
    fixture.config["limits"]["sockets"] = 64;
    fixture.start();
    testing::internal::CaptureStderr();
    std::vector<std::shared_ptr<Peer>> clients;
    for (int i = 0; i < 100; ++i) clients.push_back(fixture.connect_client());
    fixture.handle_pending_events();
    const std::string log = testing::internal::GetCapturedStderr();
    EXPECT_NE(log.find("event=accepting_paused connections=14 "), std::string::npos) << log;
}

}  // namespace
}  // namespace elmbay::test
