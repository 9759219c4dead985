// Tests which requests the listener rejects without forwarding them: malformed requests, contradictory
// framing, duplicate ids, pipelining and bodies that are too long.
#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

#include "support/raw_request.hpp"
#include "support/sidecar_fixture.hpp"

namespace elmbay::test {
namespace {

TEST(RequestValidation, RejectsMalformedRequestsWithoutForwarding) {
    SidecarFixture fixture;
    fixture.start();
    const std::vector<std::pair<std::string, std::string>> cases{
        {"nonsense\r\n\r\n", "HTTP/1.1 400"},
        {"GET /elsewhere HTTP/1.1\r\nHost: h\r\n\r\n", "HTTP/1.1 404"},
        {"GET /api HTTP/1.1\r\nHost: h\r\n\r\n", "HTTP/1.1 400"},
        {"POST /api HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: 1\r\nContent-Length: 300000\r\n\r\n",
         "HTTP/1.1 413"},
    };
    for (const auto& [request, status] : cases) {
        const auto client = fixture.connect_client();
        client->send(request);
        ASSERT_TRUE(fixture.until([&] { return client->received.size() > 12; })) << request;
        EXPECT_EQ(status_of(*client), status) << request;
    }
    EXPECT_EQ(fixture.servers.front().request_count(), 0U);
}

// The application that the settings describe does not send these headers. A wrong guess at their meaning
// could run a request twice.
TEST(RequestValidation, RejectsInvalidHeadersWithoutForwarding) {
    const std::string id = "X-Correlation-Id: 1\r\n";
    const std::string length = "Content-Length: 4\r\n";
    const std::vector<std::string> cases{
        raw_request("GET", id + "X-Service-Class: strange\r\nX-Time-Left: 50000m\r\n"),
        raw_request("GET", id + "X-Time-Left: 50000m\r\n"),
        raw_request("GET", id + "X-Service-Class: safe\r\n"),
        raw_request("GET", id + "X-Service-Class: safe\r\nX-Time-Left: soon\r\n"),
        raw_request("GET", id + "X-Service-Class: safe\r\nX-Time-Left: -5m\r\n"),
        raw_request("GET", id + kIdempotentHeaders + "X-Time-Left: 50000m\r\n"),
        raw_request("GET", id + kIdempotentHeaders + "X-Correlation-Id: 2\r\n"),
        raw_request("GET", id + kIdempotentHeaders + "Content-Length: 4\r\n", "body"),
        raw_request("GET", id + kIdempotentHeaders + "Transfer-Encoding: chunked\r\n", "0\r\n\r\n"),
        raw_request("POST", id + kIdempotentHeaders + length, "body"),
        raw_request("GET", id + kNonIdempotentHeaders),
        raw_request("POST", id + kKeyedHeaders + length, "body"),
        raw_request("POST", id + kKeyedHeaders + "Idempotency-Key: a\r\nIdempotency-Key: b\r\n" + length,
                    "body"),
        raw_request("POST", id + kNonIdempotentHeaders + "Idempotency-Key: a\r\n" + length, "body"),
        raw_request("PUT", id + kNonIdempotentHeaders + length, "body"),
        raw_request("GET", "X-Correlation-Id: " + std::string(300, 'x') + "\r\n" + kIdempotentHeaders),
    };
    SidecarFixture fixture;
    fixture.start();
    for (const std::string& request : cases) {
        const auto client = fixture.connect_client();
        client->send(request);
        ASSERT_TRUE(fixture.until([&] { return client->received.size() > 12; })) << request;
        EXPECT_EQ(status_of(*client).substr(0, 10), "HTTP/1.1 4") << request;
    }
    EXPECT_EQ(fixture.sidecar->requests(), 0U);
    EXPECT_EQ(fixture.servers.front().request_count(), 0U);
}

// Guards against request smuggling: if two parsers disagree about where a body ends, one request can be
// hidden in the body of another. No part of it may reach a server.
TEST(RequestValidation, RejectsContradictoryFramingAndClosesTheConnection) {
    const std::string smuggled =
        "GET /api?hidden HTTP/1.1\r\nX-Correlation-Id: 2\r\n" + kIdempotentHeaders + "\r\n";
    const std::vector<std::string> framings{
        "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
        "Content-Length: 4\r\nTransfer-Encoding: identity\r\n",
        "Transfer-Encoding: identity\r\nContent-Length: 4\r\n",
        "Content-Length: 4\r\nTransfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: chunked, identity\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: identity\r\n",
        "Transfer-Encoding: xchunked\r\n",
        "Content-Length: 4\r\nContent-Length: 4\r\n",
        "Content-Length: 4\r\nContent-Length: 0\r\n",
        "Content-Length: 4, 4\r\n",
        "Content-Length: -4\r\n",
        "Content-Length: +4\r\n",
        "Content-Length: 0x4\r\n",
        "Content-Length: 18446744073709551620\r\n",
    };
    for (const std::string& framing : framings) {
        SidecarFixture fixture;
        fixture.start();
        const auto client = fixture.connect_client();
        std::string headers = "X-Correlation-Id: 1\r\n" + kNonIdempotentHeaders;
        headers += framing;
        client->send(raw_request("POST", headers, "0\r\n\r\n" + smuggled));
        ASSERT_TRUE(fixture.until([&] { return client->closed; })) << framing;
        EXPECT_EQ(status_of(*client).substr(0, 10), "HTTP/1.1 4") << framing;
        EXPECT_EQ(client->received.find("HTTP/1.1", 1), std::string::npos)
            << "there must be one response: " << framing;
        EXPECT_EQ(fixture.servers.front().request_count(), 0U) << framing;
    }
}

// A correlation id identifies one request. A second request with the same id must not be sent while the first
// may still run at a server.
TEST(RequestValidation, RejectsCorrelationIdInUseOrJustUsed) {
    SidecarFixture fixture;
    fixture.start();
    FakeServer& server = fixture.servers.front();
    const auto first = fixture.connect_client();
    const auto second = fixture.connect_client();
    const std::string request = SidecarFixture::request("safe");
    first->send(request);
    ASSERT_TRUE(fixture.until([&] { return server.request_count() == 1; }));

    second->send(request);
    ASSERT_TRUE(fixture.until([&] { return second->received.size() > 12; }));
    EXPECT_EQ(status_of(*second), "HTTP/1.1 409");

    server.last_connection().respond("200 OK", "answer");
    ASSERT_TRUE(fixture.until([&] { return first->received.find("answer") != std::string::npos; }));
    const auto third = fixture.connect_client();
    third->send(request);
    ASSERT_TRUE(fixture.until([&] { return third->received.size() > 12; }));
    EXPECT_EQ(status_of(*third), "HTTP/1.1 409");
    EXPECT_EQ(server.request_count(), 1U);
}

// A pipelined request closes the connection, whether it arrives together with the first request or later.
TEST(RequestValidation, RejectsPipelinedRequests) {
    SidecarFixture fixture;
    fixture.start();
    FakeServer& server = fixture.servers.front();
    const auto together = fixture.connect_client();
    together->send(SidecarFixture::request("safe") + SidecarFixture::request("safe"));
    ASSERT_TRUE(fixture.until([&] { return together->closed; }));
    EXPECT_EQ(status_of(*together), "HTTP/1.1 400");
    EXPECT_EQ(server.request_count(), 0U);

    const auto later = fixture.connect_client();
    later->send(SidecarFixture::request("safe"));
    ASSERT_TRUE(fixture.until([&] { return server.request_count() == 1; }));
    later->send(SidecarFixture::request("safe"));
    ASSERT_TRUE(fixture.until([&] { return later->closed && server.last_connection().closed; }));
    EXPECT_EQ(status_of(*later), "HTTP/1.1 400");
    EXPECT_EQ(later->received.find("HTTP/1.1", 1), std::string::npos) << "there must be one response";
    EXPECT_EQ(server.request_count(), 1U);
}

TEST(RequestValidation, ParsesTimeLeftOnlyWithUnit) {
    EXPECT_EQ(parse_time_left("480m"), 480.0);
    EXPECT_EQ(parse_time_left("1500u"), 1.5);
    for (const char* bad : {"", "m", "480", "480s", "-5m", "nanm", "4 m", "1e999m"}) {
        EXPECT_FALSE(parse_time_left(bad)) << bad;
    }
}

// The client gets a 413, then the connection ends. The sidecar must not read the whole body.
TEST(RequestValidation, StopsReadingRejectedBody) {
    SidecarFixture fixture;
    fixture.start();
    const auto client = fixture.connect_client();
    client->send(raw_request(
        "POST", "X-Correlation-Id: 1\r\n" + kNonIdempotentHeaders + "Content-Length: 60000000\r\n"));
    ASSERT_TRUE(fixture.until([&] { return client->received.size() > 12; }));
    EXPECT_EQ(status_of(*client), "HTTP/1.1 413");
    const auto body = std::make_shared<const std::string>(60000000, 'x');
    bool ended = false;
    std::size_t sent = 0;
    asio::async_write(client->socket, asio::buffer(*body),
                      [&ended, &sent, body](boost::system::error_code error, std::size_t size) {
                          ended = bool(error);
                          sent = size;
                      });
    ASSERT_TRUE(fixture.until([&] { return ended; }));
    EXPECT_LT(sent, 30000000U);
}

}  // namespace
}  // namespace elmbay::test
