// Tests which parts of a client's request the server receives, and which parts of the response the client
// receives.
#include <gtest/gtest.h>

#include <string>

#include "support/sidecar_fixture.hpp"

namespace elmbay::test {
namespace {

TEST(RequestForwarding, ServesRequestsInTurnOverOneServerConnection) {
    SidecarFixture fixture;
    fixture.start();
    FakeServer& server = fixture.servers.front();
    const auto client = fixture.connect_client();
    for (std::size_t i = 1; i <= 3; ++i) {
        client->received.clear();
        client->send(SidecarFixture::request("unsafe"));
        ASSERT_TRUE(fixture.until([&] { return server.request_count() == i; }));
        EXPECT_NE(server.last_connection().received.find("POST /api?a=b HTTP/1.1"), std::string::npos);
        EXPECT_NE(server.last_connection().received.find("X-Correlation-Id: id-"), std::string::npos);
        EXPECT_NE(server.last_connection().received.find("X-Time-Left: "), std::string::npos);
        server.last_connection().respond("200 OK", "answer");
        ASSERT_TRUE(fixture.until([&] { return client->received.find("answer") != std::string::npos; }));
        EXPECT_EQ(status_of(*client), "HTTP/1.1 200");
    }
    EXPECT_EQ(server.connections.size(), 1U);
    EXPECT_TRUE(fixture.until([&] { return fixture.sidecar->requests() == 0; }));
}

// The sidecar drops request headers that are not part of the protocol.
TEST(RequestForwarding, ForwardsOnlyHeadersOfTheProtocol) {
    SidecarFixture fixture;
    fixture.start();
    FakeServer& server = fixture.servers.front();
    const auto client = fixture.connect_client();
    client->send(
        SidecarFixture::request("keyed", "50000m",
                                "Cookie: obj=7\r\nX-Facts: a=1\r\nX-Strange: 1\r\nConnection: X-Other\r\n"
                                "X-Other: 2\r\nExpect: 100-continue\r\nX-Unprocessed: 1\r\n"));
    ASSERT_TRUE(fixture.until([&] { return server.request_count() == 1; }));
    const std::string& forwarded = server.last_connection().received;
    for (const char* kept :
         {"POST /api?a=b HTTP/1.1", "X-Correlation-Id: id-", "Idempotency-Key: k", "X-Service-Class: keyed",
          "Cookie: obj=7", "X-Facts: a=1", "Content-Length: 4"}) {
        EXPECT_NE(forwarded.find(kept), std::string::npos) << kept;
    }
    for (const char* dropped : {"X-Strange", "X-Other", "Expect", "X-Unprocessed", "Connection"}) {
        EXPECT_EQ(forwarded.find(dropped), std::string::npos) << dropped;
    }
}

}  // namespace
}  // namespace elmbay::test
