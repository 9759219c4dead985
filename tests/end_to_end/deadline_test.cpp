// Tests a request's deadline: from when it is counted, which remaining time servers receive, and how the
// sidecar handles a request whose deadline has passed.
#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <thread>

#include "support/sidecar_fixture.hpp"

namespace elmbay::test {
namespace {

// Returns the first X-Time-Left that a server received on a connection, in milliseconds, or -1 if there is
// none. Sidecars write the header in microseconds.
double time_left_in(const Peer& server_connection) {
    const std::string name = "X-Time-Left: ";
    const std::size_t begin = server_connection.received.find(name);
    if (begin == std::string::npos) return -1;
    return std::stod(server_connection.received.substr(begin + name.size())) / 1000;
}

// When a request times out, the sidecar closes the connection to the server, and the client gets one
// response.
TEST(RequestDeadline, ClosesServerConnectionAndRespondsOnceOnTimeout) {
    SidecarFixture fixture;
    fixture.start();
    FakeServer& server = fixture.servers.front();
    const auto client = fixture.connect_client();
    client->send(SidecarFixture::request("unsafe", "1500m"));
    ASSERT_TRUE(fixture.until([&] { return client->received.size() > 12; }));
    EXPECT_EQ(status_of(*client), "HTTP/1.1 504");
    ASSERT_TRUE(fixture.until([&] { return server.last_connection().closed; }));
    EXPECT_EQ(server.request_count(), 1U);
    EXPECT_EQ(client->received.find("HTTP/1.1", 1), std::string::npos)
        << "the client must get only one response";
    EXPECT_TRUE(fixture.until([&] { return fixture.sidecar->requests() == 0; }));
}

// The deadline is counted from when the client sends its request. This includes the time that the request
// waits in the kernel because the sidecar has no socket or no processor time for it.
TEST(RequestDeadline, CountsTimeThatRequestWaitsInKernel) {
    SidecarFixture fixture;
    fixture.start();
    FakeServer& server = fixture.servers.front();
    const auto client = fixture.connect_client();
    client->send(SidecarFixture::request("unsafe", "50000m"));
    std::this_thread::sleep_for(std::chrono::milliseconds(400));  // the sidecar does not run meanwhile
    ASSERT_TRUE(fixture.until([&] { return server.request_count() == 1; }));
    const double time_left = time_left_in(server.last_connection());
    ASSERT_GE(time_left, 0) << server.last_connection().received;
    EXPECT_LT(time_left, 50000 - 400 + 20)
        << "400 ms must be counted; the kernel's clock tick is at most 10 ms";
}

TEST(RequestDeadline, SendsRetryWithAtMostTheRemainingTimeOfClient) {
    constexpr Millis kTimeLeft = 5000;
    constexpr std::size_t kAttempts = 3;
    SidecarFixture fixture;
    fixture.start();
    FakeServer& server = fixture.servers.front();
    const Clock clock;
    const auto client = fixture.connect_client();
    const Millis sent_at = clock.now();
    client->send(SidecarFixture::request("safe", "5000m"));
    for (std::size_t attempt = 1; attempt <= kAttempts; ++attempt) {
        ASSERT_TRUE(fixture.until([&] { return server.request_count() == attempt; }));
        ASSERT_GE(time_left_in(server.last_connection()), 0) << server.last_connection().received;
        block_event_loop_until(clock, clock.now() + 200);
        const Millis failed_at = clock.now();
        server.last_connection().reset();
        if (attempt == kAttempts) break;
        ASSERT_TRUE(fixture.until([&] { return server.request_count() == attempt + 1; }));
        EXPECT_LE(time_left_in(server.last_connection()), kTimeLeft - (failed_at - sent_at));
    }
}

// Servers may close the connection of a request with very little time left without a response, or never
// respond. The client gets one response to each request, and the sidecar does not retry a non-idempotent
// request.
TEST(RequestDeadline, RespondsOnceToRequestsWithVeryLittleTime) {
    for (const bool server_drops_requests : {true, false}) {
        SidecarFixture fixture;
        fixture.start();
        FakeServer& server = fixture.servers.front();
        const auto drop_requests = [&] {
            for (const auto& peer : server.connections) {
                if (peer->closed || peer->request_count() <= peer->answered_request_count) continue;
                ++peer->answered_request_count;
                peer->closed = true;
                peer->reset();
            }
        };
        for (const char* time_left : {"0m", "1u", "500u", "1m", "5m", "20m", "60m"}) {
            for (const std::string request_class : {"safe", "unsafe", "keyed"}) {
                SCOPED_TRACE(std::string(time_left) + " " + request_class);
                const std::size_t requests_before = server.request_count();
                const auto client = fixture.connect_client();
                client->send(SidecarFixture::request(request_class, time_left));
                ASSERT_TRUE(fixture.until([&] {
                    if (server_drops_requests) drop_requests();
                    return client->received.size() > 12 && fixture.sidecar->requests() == 0;
                }));
                EXPECT_EQ(client->response_count(), 1U) << client->received;
                EXPECT_EQ(status_of(*client).substr(0, 10), "HTTP/1.1 5") << client->received;
                if (request_class != "unsafe") continue;
                fixture.handle_pending_events();
                EXPECT_LE(server.request_count(), requests_before + 1);
            }
        }
    }
}

// The client's disconnect, the deadline and the server's response are all pending when the event loop
// continues. The request must have exactly one outcome, and the sidecar must keep no state of it.
TEST(RequestDeadline, CountsRequestOnceWhenDisconnectDeadlineAndResponseCoincide) {
    constexpr Millis kTimeLeft = 2000;
    SidecarFixture fixture;
    fixture.start();
    FakeServer& server = fixture.servers.front();
    const Clock clock;
    const auto client = fixture.connect_client();
    client->send(SidecarFixture::request("unsafe", "2000m"));
    const Millis deadline = clock.now() + kTimeLeft;
    ASSERT_TRUE(fixture.until([&] { return server.request_count() == 1; }));
    server.last_connection().respond("200 OK", "answer");
    client->reset();
    block_event_loop_until(clock, deadline + 1);
    fixture.handle_pending_events();
    ASSERT_TRUE(fixture.until([&] { return fixture.sidecar->requests() == 0; }));
    const Json requests = fixture.sidecar->status()["requests"];
    EXPECT_EQ(requests["taken"], 1);
    EXPECT_EQ(requests["served"].get<int>() + requests["refused"].get<int>() + requests["failed"].get<int>() +
                  requests["gone"].get<int>(),
              1)
        << requests.dump();
    EXPECT_EQ(server.request_count(), 1U);
}

}  // namespace
}  // namespace elmbay::test
