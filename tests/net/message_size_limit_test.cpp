// Tests the limits on long messages: the limit of each message and the memory budget of all of them together.
#include <gtest/gtest.h>

#include <optional>
#include <string>

#include "support/sidecar_fixture.hpp"

namespace elmbay::test {
namespace {

std::string request_with_body(std::size_t body_size) {
    static int number = 0;
    ++number;
    return "POST /api HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: long-" + std::to_string(number) +
           "\r\nX-Service-Class: unsafe\r\nX-Time-Left: 50000m\r\nContent-Length: " +
           std::to_string(body_size) + "\r\n\r\n" + std::string(body_size, 'r');
}

TEST(MessageSizeLimit, ServesMessagesUpToTheirLimit) {
    SidecarFixture fixture;
    fixture.config["limits"]["memory_mb"] = 64;
    fixture.start();
    FakeServer& server = fixture.servers.front();
    const auto client = fixture.connect_client();
    client->send(request_with_body(200000));
    ASSERT_TRUE(fixture.until([&] {
        return !server.connections.empty() &&
               server.last_connection().received.ends_with(std::string(200000, 'r'));
    }));
    const std::string body(400000, 'a');
    server.last_connection().respond("200 OK", body);
    ASSERT_TRUE(fixture.until([&] { return client->received.size() > body.size(); }));
    EXPECT_EQ(status_of(*client), "HTTP/1.1 200");
    EXPECT_TRUE(client->received.ends_with("\r\n\r\n" + body));

    const auto too_long = fixture.connect_client();
    too_long->send(request_with_body(300000).substr(0, 1000));
    ASSERT_TRUE(fixture.until([&] { return too_long->received.size() > 12; }));
    EXPECT_EQ(status_of(*too_long), "HTTP/1.1 413");
}

// One long request in flight takes the whole budget for long messages. The next long request is rejected,
// requests of usual size are served, and the budget is free again when the first request has its response.
TEST(MessageSizeLimit, LimitsTotalMemoryOfLongMessages) {
    SidecarFixture fixture;
    fixture.config["limits"]["memory_mb"] = 1;
    fixture.start();
    FakeServer& server = fixture.servers.front();
    const auto first = fixture.connect_client();
    const auto second = fixture.connect_client();
    first->send(request_with_body(200000));
    ASSERT_TRUE(fixture.until([&] {
        return !server.connections.empty() &&
               server.last_connection().received.ends_with(std::string(200000, 'r'));
    }));
    second->send(request_with_body(200000).substr(0, 1000));
    ASSERT_TRUE(fixture.until([&] { return second->received.size() > 12; }));
    EXPECT_EQ(status_of(*second), "HTTP/1.1 413");

    const auto usual = fixture.connect_client();
    usual->send(request_with_body(60000));
    ASSERT_TRUE(fixture.until(
        [&] { return server.connections.size() == 2 && server.last_connection().received.size() > 60000; }));
    for (const auto& peer : server.connections) peer->respond("200 OK", "answer");
    for (const auto& client : {first, usual}) {
        ASSERT_TRUE(fixture.until([&] { return client->received.find("answer") != std::string::npos; }));
    }
    first->send(request_with_body(200000));
    ASSERT_TRUE(fixture.until([&] { return server.request_count() == 3; }))
        << "the budget must be free again";

    // The request and its response together exceed the budget. The server sends the response on both
    // connections. Only one has a request in flight; on the other one the response is unsolicited.
    for (const auto& peer : server.connections) peer->respond("200 OK", std::string(100000, 'a'));
    ASSERT_TRUE(fixture.until([&] { return first->received.find("502") != std::string::npos; }));
}

// The sidecar is destroyed before the event loop, whose handlers still own connections with long messages.
// AddressSanitizer reports a grant that returns its bytes to a destroyed budget.
TEST(MessageSizeLimit, SidecarCanBeDestroyedWithLongMessagesInFlight) {
    {
        std::optional<ByteBudget::Grant> grant;
        {
            ByteBudget budget(10);
            grant = budget.acquire(10);
            EXPECT_FALSE(budget.acquire(1));
        }
    }
    SidecarFixture fixture;
    fixture.start();
    FakeServer& server = fixture.servers.front();
    const auto client = fixture.connect_client();
    const auto half_sent = fixture.connect_client();
    client->send(SidecarFixture::request("safe"));
    half_sent->send(request_with_body(200000).substr(0, 1000));
    ASSERT_TRUE(fixture.until([&] { return server.request_count() == 1; }));
    server.last_connection().send("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\nhalf");
    fixture.handle_pending_events();
    fixture.sidecar.reset();
}

}  // namespace
}  // namespace elmbay::test
