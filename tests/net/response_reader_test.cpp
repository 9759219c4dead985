// Tests which bytes of a server are accepted as its response: interim, duplicate and malformed responses, and
// responses that end with their connection. The tests run the whole sidecar and check what the client
// receives.
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "support/sidecar_fixture.hpp"

namespace elmbay::test {
namespace {

// A connection that fails within a response ends the attempt, not the request. No part of the response
// reaches the client.
TEST(ResponseReader, DiscardsPartialResponseAndRetries) {
    SidecarFixture fixture;
    fixture.start();
    FakeServer& server = fixture.servers.front();
    const auto client = fixture.connect_client();
    client->send(SidecarFixture::request("safe"));
    ASSERT_TRUE(fixture.until([&] { return server.request_count() == 1; }));
    const auto first = server.connections.back();
    first->send("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf");
    fixture.handle_pending_events();
    EXPECT_EQ(client->received, "");

    first->close();
    ASSERT_TRUE(fixture.until([&] { return server.request_count() == 2; }));
    server.last_connection().respond("200 OK", "whole");
    ASSERT_TRUE(fixture.until([&] { return client->received.find("whole") != std::string::npos; }));
    EXPECT_EQ(client->received.find("half"), std::string::npos);
}

// Each of these responses is corrupt or can't be distinguished from a corrupt one. The attempt must fail at
// the first byte that shows this, without waiting for the deadline, and no part of the response may reach the
// client.
TEST(ResponseReader, FailsAttemptAtOnceOnMalformedResponse) {
    const std::string status_line = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = status_line + "Transfer-Encoding: chunked\r\n\r\n";
    const std::vector<std::string> malformed_responses{
        "\x89\x8f\x06 noise \xa2\r\n\r\n",
        "ICY 200 OK\r\nContent-Length: 4\r\n\r\nbody",
        "HTTP/1.1 2x0 OK\r\nContent-Length: 4\r\n\r\nbody",
        status_line + "no colon here\r\nContent-Length: 4\r\n\r\nbody",
        status_line + "Content-Length: -1\r\nContent-Length: 4\r\n\r\nbody",
        status_line + "Content-Length: 4\r\nContent-Length: 4\r\n\r\nbody",
        status_line + "Content-Length: 2\r\nContent-Length: 4\r\n\r\nbody",
        status_line + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\nbody",
        status_line + "Transfer-Encoding: identity\r\nContent-Length: 4\r\n\r\nbody",
        chunked + "4\r\nbody\r\nzz\r\nbody\r\n0\r\n\r\n",
        chunked + std::string(200000, '1'),
        chunked + "4\r\nbody\r\n0\r\n" + std::string(200000, 'x'),
        status_line + "X-Pad: " + std::string(200000, 'p'),
        status_line + "Content-Length: 3000000000\r\n\r\nbody",
        status_line + "Content-Length: 2\r\n\r\nbody",
        status_line + "Content-Length: 2\r\n\r\nboHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 101 Switching Protocols\r\n\r\n" + status_line + "Content-Length: 4\r\n\r\nbody",
    };
    for (const std::string& malformed : malformed_responses) {
        SCOPED_TRACE(malformed.substr(0, 120));
        SidecarFixture fixture;
        fixture.start();
        FakeServer& server = fixture.servers.front();
        const auto client = fixture.connect_client();
        client->send(SidecarFixture::request("unsafe"));
        ASSERT_TRUE(fixture.until([&] { return server.request_count() == 1; }));
        server.last_connection().send(malformed);
        ASSERT_TRUE(fixture.until([&] { return client->received.size() > 12; }));
        EXPECT_EQ(status_of(*client), "HTTP/1.1 502");
        ASSERT_TRUE(fixture.until([&] { return server.last_connection().closed; }))
            << "the connection must not be reused";
        EXPECT_EQ(client->received.find("body"), std::string::npos);
    }
}

// Interim responses (1xx) may precede a response, and a copy of it may follow. The copy must not be taken for
// the response to the next request.
TEST(ResponseReader, AcceptsInterimResponsesAndDuplicates) {
    const auto response = [](const std::string& body) {
        return "HTTP/1.1 200 OK\r\nX-Backend-Load: {\"\r\nContent-Length: " + std::to_string(body.size()) +
               "\r\n\r\n" + body;
    };
    SidecarFixture fixture;
    fixture.start();
    FakeServer& server = fixture.servers.front();
    const auto client = fixture.connect_client();
    const auto expect_served = [&](const std::string& server_sends, const std::string& expected_body) {
        client->received.clear();
        const std::size_t requests_before = server.request_count();
        client->send(SidecarFixture::request("unsafe"));
        ASSERT_TRUE(fixture.until([&] { return server.request_count() == requests_before + 1; }));
        server.last_connection().send(server_sends);
        ASSERT_TRUE(fixture.until(
            [&] { return client->received.find("\r\n\r\n" + expected_body) != std::string::npos; }));
        EXPECT_EQ(status_of(*client), "HTTP/1.1 200");
    };
    expect_served(
        "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" + response("first"),
        "first");
    EXPECT_EQ(server.connections.size(), 1U);
    expect_served(response("second") + response("second"), "second");
    expect_served(response("third"), "third");
    EXPECT_EQ(server.connections.size(), 2U) << "a connection with unread bytes must carry no request";

    std::string many_interim_responses;
    for (int i = 0; i < 20; ++i) many_interim_responses += "HTTP/1.1 102 Processing\r\n\r\n";
    client->received.clear();
    client->send(SidecarFixture::request("unsafe"));
    ASSERT_TRUE(fixture.until([&] { return server.request_count() == 4; }));
    server.last_connection().send(many_interim_responses + response("fourth"));
    ASSERT_TRUE(fixture.until([&] { return client->received.size() > 12; }));
    EXPECT_EQ(status_of(*client), "HTTP/1.1 502") << "twenty interim responses are too many";
}

enum class ConnectionEnd { clean_close, reset };

// Runs one non-idempotent request, to which the server sends `response` in pieces and then ends its
// connection.
class ScriptedExchange {
public:
    ScriptedExchange(const std::string& response, ConnectionEnd end) {
        fixture_.config["limits"]["memory_mb"] = 64;
        fixture_.start();
        FakeServer& server = fixture_.servers.front();
        client_ = fixture_.connect_client();
        client_->send(SidecarFixture::request("unsafe"));
        EXPECT_TRUE(fixture_.until([&] { return server.request_count() == 1; }));
        constexpr std::size_t kPieceSize = 4096;
        for (std::size_t position = 0; position < response.size(); position += kPieceSize) {
            server.last_connection().send(response.substr(position, kPieceSize));
            fixture_.handle_pending_events();  // the sidecar reads this piece
        }
        if (end == ConnectionEnd::clean_close) {
            boost::system::error_code
                ignored;  // the sidecar may have closed the connection already, if the response is too long
            server.last_connection().socket.shutdown(tcp::socket::shutdown_send, ignored);
        } else {
            server.last_connection().reset();
        }
        EXPECT_TRUE(fixture_.until([&] { return client_->received.find("\r\n\r\n") != std::string::npos; }));
        fixture_.handle_pending_events();
        EXPECT_EQ(server.request_count(), 1U) << "a request that may have run must not be retried";
    }

    bool is_served_with(const std::string& body) {
        return status_of(*client_) == "HTTP/1.1 200" &&
               fixture_.until([&] { return client_->received.ends_with("\r\n\r\n" + body); });
    }
    bool has_failed() const { return status_of(*client_) == "HTTP/1.1 502"; }

private:
    SidecarFixture fixture_;
    std::shared_ptr<Peer> client_;
};

// RFC 9112, section 6.3: a response without a length ends with its connection.
TEST(ResponseReader, AcceptsCleanCloseAsEndWhenLengthIsUnknown) {
    constexpr ConnectionEnd kClose = ConnectionEnd::clean_close;
    EXPECT_TRUE(ScriptedExchange("HTTP/1.1 200 OK\r\n\r\nthe whole answer", kClose)
                    .is_served_with("the whole answer"));
    EXPECT_TRUE(ScriptedExchange("HTTP/1.0 200 OK\r\nConnection: close\r\n\r\nolder", kClose)
                    .is_served_with("older"));
    const std::string longer(150000, 'l');
    EXPECT_TRUE(ScriptedExchange("HTTP/1.1 200 OK\r\n\r\n" + longer, kClose).is_served_with(longer));
}

TEST(ResponseReader, TreatsResetAsFailureWhenLengthIsUnknown) {
    EXPECT_TRUE(
        ScriptedExchange("HTTP/1.1 200 OK\r\n\r\nthe whole answer", ConnectionEnd::reset).has_failed());
    EXPECT_TRUE(ScriptedExchange("HTTP/1.1 200 OK\r\n\r\n", ConnectionEnd::clean_close).has_failed())
        << "a successful response must have a body";
    EXPECT_TRUE(
        ScriptedExchange("HTTP/1.1 200 OK\r\n\r\n" + std::string(600000, 'x'), ConnectionEnd::clean_close)
            .has_failed())
        << "the response is longer than the limit";
}

TEST(ResponseReader, TreatsConnectionEndWithinFramingAsFailure) {
    const std::string status_line = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = status_line + "Transfer-Encoding: chunked\r\n\r\n";
    const std::vector<std::string> truncated_responses{
        "HTTP/1.1 20",
        status_line,
        status_line + "Content-Length: 1",
        status_line + "Content-Length: 6\r\n\r\nhalf",
        chunked,
        chunked + "1",
        chunked + "4\r\nbo",
        chunked + "4\r\nbody",
        chunked + "4\r\nbody\r\n",
        chunked + "4\r\nbody\r\n0\r\n",
        chunked + "4\r\nbody\r\n0\r\nX-Trailer: 1",
    };
    for (const std::string& truncated : truncated_responses) {
        for (const ConnectionEnd end : {ConnectionEnd::clean_close, ConnectionEnd::reset}) {
            SCOPED_TRACE(truncated + (end == ConnectionEnd::clean_close ? " (close)" : " (reset)"));
            EXPECT_TRUE(ScriptedExchange(truncated, end).has_failed());
        }
    }
}

}  // namespace
}  // namespace elmbay::test
