// Tests the limits on long messages: the limit of each message and the memory budget of all of them together.
#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include "net/request_parser.hpp"
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

// The head and the first `body_size` bytes of a chunked request, without its end.
std::string incomplete_chunked_request(std::size_t body_size) {
    static int number = 0;
    ++number;
    std::ostringstream chunk;
    chunk << std::hex << body_size << "\r\n" << std::string(body_size, 'c') << "\r\n";
    return "POST /api HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: chunked-" + std::to_string(number) +
           "\r\nX-Service-Class: unsafe\r\nX-Time-Left: 50000m\r\nTransfer-Encoding: chunked\r\n\r\n" +
           chunk.str();
}

constexpr const char* kLastChunk = "0\r\n\r\n";

// Guards against a process that exceeds its memory limit: clients that wrote chunked bodies of the usual size
// slowly took memory that nothing bounded but their number (review/10).
TEST(MessageSizeLimit, LimitsTotalMemoryOfIncompleteRequests) {
    SidecarFixture fixture;
    fixture.config["limits"]["memory_mb"] = 1;  // 384 KiB for messages
    fixture.start();
    constexpr std::size_t kBodyBytes = 60000;
    constexpr std::size_t kBodiesInBudget = 6;
    std::vector<std::shared_ptr<Peer>> slow;
    for (std::size_t i = 0; i < kBodiesInBudget; ++i) {
        slow.push_back(fixture.connect_client());
        slow.back()->send(incomplete_chunked_request(kBodyBytes));
        run_ready_handlers(fixture.io);
    }
    const auto rejected = fixture.connect_client();
    rejected->send(incomplete_chunked_request(kBodyBytes));
    ASSERT_TRUE(fixture.until([&] { return rejected->received.size() > 12; }));
    EXPECT_EQ(status_of(*rejected), "HTTP/1.1 503");

    const auto small = fixture.connect_client();
    small->send(incomplete_chunked_request(100) + kLastChunk);
    ASSERT_TRUE(fixture.until([&] {
        fixture.servers.front().respond_to_all();
        return small->received.size() > 12;
    }));
    EXPECT_EQ(status_of(*small), "HTTP/1.1 200") << "a small request must need nothing of the budget";

    slow.front()->close();
    run_ready_handlers(fixture.io);
    const auto next = fixture.connect_client();
    next->send(incomplete_chunked_request(kBodyBytes) + kLastChunk);
    ASSERT_TRUE(fixture.until([&] {
        fixture.servers.front().respond_to_all();
        return next->received.size() > 12;
    })) << "the memory of a client that has left must be free again";
    EXPECT_EQ(status_of(*next), "HTTP/1.1 200");
    for (const auto& client : slow) EXPECT_EQ(client->received, "");
}

// Guards against the same limit being exceeded by long heads: each could take several times its bytes.
TEST(MessageSizeLimit, LimitsTotalMemoryOfIncompleteHeads) {
    SidecarFixture fixture;
    fixture.config["limits"]["memory_mb"] = 1;
    fixture.start();
    const std::string long_head = "GET /api HTTP/1.1\r\nX-Facts: " + std::string(10000, 'f');
    constexpr std::size_t kHeadsInBudget = 8;  // 48 KiB each
    std::vector<std::shared_ptr<Peer>> slow;
    for (std::size_t i = 0; i < kHeadsInBudget; ++i) {
        slow.push_back(fixture.connect_client());
        slow.back()->send(long_head);
        run_ready_handlers(fixture.io);
    }
    const auto rejected = fixture.connect_client();
    rejected->send(long_head);
    ASSERT_TRUE(fixture.until([&] { return rejected->received.size() > 12; }));
    EXPECT_EQ(status_of(*rejected), "HTTP/1.1 503");
    for (const auto& client : slow) EXPECT_EQ(client->received, "");
}

// Guards against heads, and trailers, of thousands of short fields: a parsed field takes some 80 bytes
// however short it is.
TEST(MessageSizeLimit, RejectsRequestsWithTooManyFields) {
    SidecarFixture fixture;
    fixture.start();
    std::string fields;
    for (std::size_t i = 0; i <= RequestParser::kMaxFields; ++i) fields += "a:b\r\n";
    const std::string request = SidecarFixture::request("safe", "50000m", fields);
    const std::string chunked = incomplete_chunked_request(1) + "0\r\n" + fields + "\r\n";
    for (const std::string& text : {request, chunked}) {
        const auto client = fixture.connect_client();
        client->send(text);
        ASSERT_TRUE(fixture.until([&] { return client->received.size() > 12; }));
        EXPECT_EQ(status_of(*client), "HTTP/1.1 431");
    }
    EXPECT_EQ(fixture.servers.front().request_count(), 0U);
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
