// Tests when a pooled server connection is reused: after a close, a reset or unsolicited bytes while it is
// idle, and after a reset during a request.
#include <gtest/gtest.h>

#include <string>

#include "support/sidecar_fixture.hpp"

namespace elmbay::test {
namespace {

// Bytes that arrive on an idle connection must not be taken for the response to the next request, whether or
// not the event loop has handled them before that request.
TEST(ConnectionPool, DoesNotReuseConnectionWithUnsolicitedBytes) {
    SidecarFixture fixture;
    fixture.start();
    FakeServer& server = fixture.servers.front();
    for (const bool handled_before_request : {true, false}) {
        const std::size_t requests_before = server.request_count();
        const auto client = fixture.connect_client();
        client->send(SidecarFixture::request("unsafe"));
        ASSERT_TRUE(fixture.until([&] { return server.request_count() == requests_before + 1; }));
        server.last_connection().respond("200 OK", "mine");
        ASSERT_TRUE(fixture.until([&] { return client->received.find("mine") != std::string::npos; }));
        client->received.clear();
        if (handled_before_request) {
            server.last_connection().respond("200 OK", "a late copy");
            fixture.handle_pending_events();
            client->send(SidecarFixture::request("unsafe"));
        } else {
            // The event loop handles the request before the copy, in the same turn.
            client->send(SidecarFixture::request("unsafe"));
            server.last_connection().respond("200 OK", "a late copy");
        }
        ASSERT_TRUE(fixture.until([&] { return server.request_count() == requests_before + 2; }));
        server.last_connection().respond("200 OK", "the next");
        ASSERT_TRUE(fixture.until([&] { return client->received.find("the next") != std::string::npos; }));
        EXPECT_EQ(client->received.find("a late copy"), std::string::npos);
    }
}

// A request on a connection that the server has closed would be reset, and a non-idempotent request would
// fail needlessly.
TEST(ConnectionPool, DoesNotReuseConnectionClosedByServer) {
    SidecarFixture fixture;
    fixture.start();
    FakeServer& server = fixture.servers.front();
    for (const bool handled_before_request : {true, false}) {
        const auto client = fixture.connect_client();
        const std::size_t requests_before = server.request_count();
        client->send(SidecarFixture::request("unsafe"));
        ASSERT_TRUE(fixture.until([&] { return server.request_count() == requests_before + 1; }));
        server.last_connection().respond("200 OK", "first");
        ASSERT_TRUE(fixture.until([&] { return client->received.find("first") != std::string::npos; }));
        server.connections.back()->close();
        if (handled_before_request) fixture.handle_pending_events();
        client->received.clear();
        client->send(SidecarFixture::request("unsafe"));
        ASSERT_TRUE(fixture.until([&] { return server.request_count() == requests_before + 2; }));
        server.last_connection().respond("200 OK", "second");
        ASSERT_TRUE(fixture.until([&] { return client->received.find("second") != std::string::npos; }));
        server.connections.back()->close();
        fixture.handle_pending_events();
    }
}

TEST(ConnectionPool, DoesNotReuseConnectionResetByServerWhileIdle) {
    for (const bool handled_before_request : {true, false}) {
        SidecarFixture fixture;
        fixture.start();
        FakeServer& server = fixture.servers.front();
        const auto client = fixture.connect_served_client();
        server.last_connection().reset();
        if (handled_before_request) fixture.handle_pending_events();
        client->send(SidecarFixture::request("unsafe"));
        ASSERT_TRUE(fixture.until([&] { return server.request_count() == 2; }));
        EXPECT_EQ(server.connections.size(), 2U);
        server.last_connection().respond("200 OK", "answer");
        ASSERT_TRUE(fixture.until([&] { return client->received.find("answer") != std::string::npos; }));
        EXPECT_EQ(status_of(*client), "HTTP/1.1 200");
    }
}

// A completely written request may have run, on a reused connection as well as on a new one. So only an
// idempotent request is retried.
TEST(ConnectionPool, RetriesOnlyIdempotentRequestAfterResetOfReusedConnection) {
    for (const bool idempotent : {true, false}) {
        SidecarFixture fixture;
        fixture.start();
        FakeServer& server = fixture.servers.front();
        const auto client = fixture.connect_served_client();
        client->send(SidecarFixture::request(idempotent ? "safe" : "unsafe"));
        ASSERT_TRUE(fixture.until([&] { return server.request_count() == 2; }));
        ASSERT_EQ(server.connections.size(), 1U) << "the connection must be reused";
        server.last_connection().reset();
        if (idempotent) {
            ASSERT_TRUE(fixture.until([&] { return server.request_count() == 3; }));
            server.last_connection().respond("200 OK", "again");
            ASSERT_TRUE(fixture.until([&] { return client->received.find("again") != std::string::npos; }));
            continue;
        }
        ASSERT_TRUE(fixture.until([&] { return client->received.size() > 12; }));
        EXPECT_EQ(status_of(*client), "HTTP/1.1 502");
        fixture.handle_pending_events();
        EXPECT_EQ(server.request_count(), 2U);
    }
}

// Servers close connections that have been idle for too long. A request sent at the same moment would be
// reset.
TEST(ConnectionPool, ClosesIdleConnectionBeforeTheServerDoes) {
    SidecarFixture fixture;
    fixture.config["settings"]["limits"]["idle-close-ms"] = 500.0;
    fixture.start();
    FakeServer& server = fixture.servers.front();
    const auto client = fixture.connect_client();
    client->send(SidecarFixture::request("safe"));
    ASSERT_TRUE(fixture.until([&] { return server.request_count() == 1; }));
    server.last_connection().respond("200 OK", "answer");
    ASSERT_TRUE(fixture.until([&] { return server.last_connection().closed; }));
    EXPECT_NE(client->received.find("answer"), std::string::npos);
    EXPECT_FALSE(client->closed);
}

}  // namespace
}  // namespace elmbay::test
