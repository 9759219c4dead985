// Tests which failed attempts the sidecar retries, depending on the request class and on whether the request
// may have run at the server.
#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <vector>

#include "support/sidecar_fixture.hpp"

namespace elmbay::test {
namespace {

struct ServerReaction {
    const char* response;  // nullptr if the server resets the connection
    bool may_have_run;     // whether the request may have run at the server
};

// A non-idempotent request fails after an outcome that does not exclude that it ran. The sidecar retries it
// after an outcome that proves that it did not run: a 503 or 504 with X-Unprocessed.
TEST(Retry, RetriesNonIdempotentRequestOnlyWhenMarkedUnprocessed) {
    const std::vector<ServerReaction> reactions{
        {"HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", false},
        {"HTTP/1.1 504 Over\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", false},
        {"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", true},
        {"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", true},
        {"HTTP/1.1 418 Teapot\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", true},
        {"nonsense\r\n\r\n", true},
        {"HTTP/1.1 200 OK\r\nContent-Length: 600000\r\n\r\n", true},
        {"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nbody", true},
        {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", true},
        {nullptr, true},
    };
    for (const ServerReaction& reaction : reactions) {
        SCOPED_TRACE(reaction.response ? reaction.response : "reset");
        SidecarFixture fixture;
        fixture.start();
        FakeServer& server = fixture.servers.front();
        const auto client = fixture.connect_client();
        client->send(SidecarFixture::request("unsafe"));
        ASSERT_TRUE(fixture.until([&] { return server.request_count() == 1; }));
        const auto first = server.connections.back();
        if (reaction.response) {
            first->send(reaction.response);
        } else {
            first->reset();
        }
        if (reaction.may_have_run) {
            ASSERT_TRUE(fixture.until([&] { return client->received.size() > 12; }));
            EXPECT_EQ(status_of(*client), "HTTP/1.1 502");
            EXPECT_EQ(server.request_count(), 1U);
        } else {
            ASSERT_TRUE(fixture.until([&] { return server.request_count() == 2; }));
            server.last_connection().respond("200 OK", "answer");
            ASSERT_TRUE(fixture.until([&] { return client->received.find("answer") != std::string::npos; }));
        }
    }
}

// A refused connection proves that the request did not run.
TEST(Retry, RetriesNonIdempotentRequestAfterRefusedConnection) {
    SidecarFixture fixture(2);
    fixture.servers.front().acceptor.close();
    fixture.start();
    FakeServer& server = fixture.servers.back();
    for (std::size_t i = 1; i <= 4; ++i) {  // several requests, because the first choice of server is random
        const auto client = fixture.connect_client();
        client->send(SidecarFixture::request("unsafe"));
        ASSERT_TRUE(fixture.until([&] { return server.request_count() == i; }));
        server.last_connection().respond("200 OK", "answer");
        ASSERT_TRUE(fixture.until([&] { return client->received.find("answer") != std::string::npos; }));
    }
}

// Every attempt fails when it reaches a server. The client gets one response, the sidecar makes at most as
// many attempts as the settings allow, and it never has more than one attempt in flight.
TEST(Retry, EndsInOneResponseWhenEveryAttemptFails) {
    SidecarFixture fixture(3);
    fixture.start();
    for (int i = 0; i < 10; ++i) {
        const auto client = fixture.connect_client();
        std::size_t attempts = 0;
        client->send(SidecarFixture::request("safe"));
        ASSERT_TRUE(fixture.until([&] {
            std::size_t attempts_in_flight = 0;
            for (FakeServer& server : fixture.servers) {
                for (const auto& peer : server.connections) {
                    if (peer->closed || peer->request_count() == 0) continue;
                    ++attempts_in_flight;
                    ++attempts;
                    peer->closed = true;
                    peer->reset();
                }
            }
            EXPECT_LE(attempts_in_flight, 1U);
            return client->received.size() > 12;
        }));
        fixture.handle_pending_events();
        EXPECT_EQ(client->response_count(), 1U) << client->received;
        EXPECT_EQ(status_of(*client).substr(0, 10), "HTTP/1.1 5");
        EXPECT_LE(attempts, 4U);
    }
    EXPECT_TRUE(fixture.until([&] { return fixture.sidecar->requests() == 0; }));
}

// Servers discard an idempotency key when its deduplication window ends. A retry that is sent after the
// window would run the request a second time.
TEST(Retry, DoesNotSendKeyedRetryWhoseConnectionOpensAfterDeduplicationWindow) {
    constexpr Millis kWindow = 600;
    SidecarFixture fixture;
    fixture.config["settings"]["classes"][2]["dedup-window-ms"] = kWindow;
    fixture.start();
    FakeServer& server = fixture.servers.front();
    const auto client = fixture.connect_client();
    const auto sent_at = std::chrono::steady_clock::now();
    client->send(SidecarFixture::request("keyed"));
    ASSERT_TRUE(fixture.until([&] { return server.request_count() == 1; }));
    FullAcceptQueue accept_queue(server);
    server.connections.front()->respond("500 Internal Server Error", "no", "Connection: close\r\n");

    // Opens the connection of a pending retry only after the window has ended.
    ASSERT_TRUE(fixture.until([&] {
        return !client->received.empty() ||
               std::chrono::steady_clock::now() > sent_at + std::chrono::milliseconds(int(kWindow));
    }));
    accept_queue.open();
    ASSERT_TRUE(fixture.until([&] { return !client->received.empty() || server.request_count() > 1; }));
    EXPECT_EQ(server.request_count(), 1U);
    EXPECT_EQ(status_of(*client), "HTTP/1.1 502")
        << "the first attempt may have run, and its result is unknown, so the request fails";
}

}  // namespace
}  // namespace elmbay::test
