// A request's deadline: what counts against it, what servers are told of it, and what happens when it has
// passed.
#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <thread>

#include "support/sidecar_fixture.hpp"

namespace elmbay::test {
namespace {

// The first X-Time-Left that a server got on a connection, in ms; -1 if there is none. Sidecars write it in
// us.
double time_left_in(const Peer& server_connection) {
    const std::string name = "X-Time-Left: ";
    const std::size_t begin = server_connection.received.find(name);
    if (begin == std::string::npos) return -1;
    return std::stod(server_connection.received.substr(begin + name.size())) / 1000;
}

// On timeout the connection to the server is closed, and the client gets one response in time.
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
    EXPECT_EQ(client->received.find("HTTP/1.1", 1), std::string::npos) << "one response";
    EXPECT_TRUE(fixture.until([&] { return fixture.sidecar->requests() == 0; }));
}

// A client's time runs from when it sends its request, also while the request lies in the kernel because the
// sidecar has no socket or no core for it.
TEST(RequestDeadline, CountsTimeInTheKernelsQueue) {
    SidecarFixture fixture;
    fixture.start();
    FakeServer& server = fixture.servers.front();
    const auto client = fixture.connect_client();
    client->send(SidecarFixture::request("unsafe", "50000m"));
    std::this_thread::sleep_for(std::chrono::milliseconds(400));  // nobody runs the sidecar meanwhile
    ASSERT_TRUE(fixture.until([&] { return server.request_count() == 1; }));
    const double time_left = time_left_in(server.last_connection());
    ASSERT_GE(time_left, 0) << server.last_connection().received;
    EXPECT_LT(time_left, 50000 - 400 + 20) << "the kernel's tick is 10 ms at the coarsest";
}

TEST(RequestDeadline, TellsRetryAtMostTheTimeThatItsClientHasLeft) {
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

// Servers may drop requests with very little time without a word, or never answer them. Each request gets one
// response, and one that is not idempotent is not sent again.
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

// The client's disconnect, the deadline and the response are all there as the loop goes on. The request has
// one outcome and nothing of it is left.
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
