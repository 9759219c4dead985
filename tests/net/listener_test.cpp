// Clients' connections: time limits on silent, slow and idle clients, a request that comes just as such a
// limit expires, and handlers that throw.
#include "net/listener.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "support/raw_request.hpp"
#include "support/sidecar_fixture.hpp"

namespace elmbay::test {
namespace {

using std::chrono::milliseconds;

// ---- Silent, slow and idle clients ------------------------------------------------------------------------

// The error comes while the client may still be waiting, and its socket is free again.
TEST(ClientTimeout, Responds408ToSilentClientsAndIncompleteRequests) {
    SidecarFixture fixture;
    fixture.start();
    const auto silent = fixture.connect_client();
    const auto half_head = fixture.connect_client();
    const auto half_body = fixture.connect_client();
    half_head->send("GET /api HTTP/1.1\r\nHost: h\r\nX-Slow: ");
    half_body->send(raw_request(
        "POST", "X-Correlation-Id: 1\r\n" + kNonIdempotentHeaders + "Content-Length: 400\r\n", "half"));
    for (const auto& client : {silent, half_head, half_body}) {
        ASSERT_TRUE(fixture.until([&] { return client->closed; }));
        EXPECT_EQ(status_of(*client), "HTTP/1.1 408");
    }
    EXPECT_EQ(fixture.servers.front().request_count(), 0U);
}

// Some clients send one request and never close their connection.
TEST(ClientTimeout, ClosesIdleConnectionWithoutResponse) {
    SidecarFixture fixture;
    fixture.start();
    FakeServer& server = fixture.servers.front();
    const auto client = fixture.connect_client();
    client->send(SidecarFixture::request("safe"));
    ASSERT_TRUE(fixture.until([&] { return server.request_count() == 1; }));
    server.last_connection().respond("200 OK", "answer");
    ASSERT_TRUE(fixture.until([&] { return client->closed; }));
    EXPECT_NE(client->received.find("answer"), std::string::npos);
    EXPECT_EQ(client->received.find("HTTP/1.1", 1), std::string::npos)
        << "no second response before the close";
}

// The promise of an error within 3 s holds also on a connection that has been used before: by requests that
// were served, or by one that was rejected.
TEST(ClientTimeout, RespondsWithinThreeSecondsToIncompleteRequestOnUsedConnection) {
    SidecarFixture fixture;
    fixture.start();
    const std::string request = SidecarFixture::request("unsafe");
    std::vector<std::shared_ptr<Peer>> clients;
    clients.reserve(4);
    for (int i = 0; i < 3; ++i) clients.push_back(fixture.connect_served_client());
    const auto rejected = fixture.connect_client();
    rejected->send("GET /elsewhere HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(fixture.until([&] { return rejected->received.size() > 12; }));
    rejected->received.clear();
    clients.push_back(rejected);

    const std::vector<std::size_t> sizes_sent{1, 60, request.size() - 2, 40};
    for (std::size_t i = 0; i < clients.size(); ++i) clients[i]->send(request.substr(0, sizes_sent[i]));
    bool late = false;
    asio::steady_timer limit(fixture.io, std::chrono::seconds(3));
    limit.async_wait([&late](boost::system::error_code error) { late = !error; });
    ASSERT_TRUE(fixture.until([&] {
        return std::all_of(clients.begin(), clients.end(),
                           [](const auto& client) { return client->closed || client->received.size() > 12; });
    }));
    EXPECT_FALSE(late);
    EXPECT_EQ(fixture.servers.front().request_count(), 3U);
}

// Nobody is owed a response half a second after the longest deadline of the settings. A client that has not
// read its response by then is given up, and the Content-Length tells it that the response is not whole.
TEST(ClientTimeout, GivesUpUnreadResponseHalfASecondAfterLongestDeadline) {
    SidecarFixture fixture;
    for (Json& request_class : fixture.config["settings"]["classes"]) request_class["give-up-ms"] = 500;
    fixture.config["limits"]["memory_mb"] = 64;
    fixture.start();
    FakeServer& server = fixture.servers.front();
    const auto client = fixture.connect_slow_client();
    client->send(SidecarFixture::request("safe"));
    ASSERT_TRUE(fixture.until([&] { return server.request_count() == 1; }));
    const std::string body(400000, 'a');
    bool late = false;  // 3 s, the limit that once held whatever the deadlines, would be late
    asio::steady_timer limit(fixture.io, milliseconds(2500));
    limit.async_wait([&](boost::system::error_code error) { late = !error; });
    server.last_connection().respond("200 OK", body);
    ASSERT_TRUE(fixture.until([&] { return client->socket.available() > 0; }));
    ASSERT_TRUE(fixture.until([&] { return fixture.sidecar->status()["sockets"]["clients"] == 1; }))
        << "only the socket for the next client is left";
    EXPECT_FALSE(late);

    client->read();
    ASSERT_TRUE(fixture.until([&] { return client->closed; }));
    EXPECT_EQ(status_of(*client), "HTTP/1.1 200");
    EXPECT_NE(client->received.find("Content-Length: 400000"), std::string::npos);
    EXPECT_LT(client->received.size(), body.size()) << "shorter than its length tells";
}

// ---- Requests that come as a limit expires ----------------------------------------------------------------

constexpr Millis kIdleTimeout = 2000;     // ClientConnection::kIdleTimeout
constexpr Millis kRequestTimeout = 2500;  // ClientConnection::kRequestReadTimeout

// Runs `act` as a timer that the sidecar has set just now for `span` expires, ahead of that timer's handler.
// Both are due when the loop runs again, the test's first, and the loop collects in one turn all that is due.
void run_as_timer_expires(SidecarFixture& fixture, Millis span, const std::function<void()>& act) {
    const Clock clock;
    const Millis set_at = clock.now();
    fixture.run_for(milliseconds(static_cast<int>(span) / 2));
    run_ready_handlers(fixture.io);  // none of them may run ahead of the two timers
    bool acted = false;
    asio::steady_timer timer(fixture.io, std::chrono::steady_clock::now() - std::chrono::seconds(1));
    timer.async_wait([&](boost::system::error_code) {
        act();
        acted = true;
    });
    block_event_loop_until(clock, set_at + span + 50);
    ASSERT_TRUE(fixture.until([&] { return acted; }));
}

TEST(IdleTimeout, ServesRequestThatComesAsTimeoutExpires) {
    SidecarFixture fixture;
    fixture.start();
    const auto client = fixture.connect_served_client();
    run_as_timer_expires(fixture, kIdleTimeout, [&] { client->send(SidecarFixture::request("safe")); });
    ASSERT_TRUE(fixture.until([&] {
        fixture.servers.front().respond_to_all();
        return client->closed || client->received.find("answer") != std::string::npos;
    }));
    EXPECT_EQ(status_of(*client), "HTTP/1.1 200") << client->received;
}

// Half a request is there as the idle timeout expires, and the rest never comes. A close without a response
// would reset the connection, as bytes are unread.
TEST(IdleTimeout, Responds408ToHalfRequestThatComesAsTimeoutExpires) {
    SidecarFixture fixture;
    fixture.start();
    const auto client = fixture.connect_served_client();
    const std::string request = SidecarFixture::request("safe");
    run_as_timer_expires(fixture, kIdleTimeout, [&] { client->send(request.substr(0, 30)); });
    ASSERT_TRUE(fixture.until([&] { return client->closed; }));
    EXPECT_EQ(client->close_error, asio::error::eof) << client->close_error.message();
    EXPECT_EQ(status_of(*client), "HTTP/1.1 408") << client->received;
}

// The rest of the request comes ahead of the request timeout's handler: the request is whole on an open
// connection.
TEST(IdleTimeout, AnswersRequestThatIsCompletedAsRequestTimeoutExpires) {
    SidecarFixture fixture;
    fixture.start();
    const auto client = fixture.connect_served_client();
    const std::string request = SidecarFixture::request("safe");
    run_as_timer_expires(fixture, kIdleTimeout, [&] { client->send(request.substr(0, 30)); });
    fixture.handle_pending_events();
    run_as_timer_expires(fixture, kRequestTimeout, [&] { client->send(request.substr(30)); });
    ASSERT_TRUE(fixture.until([&] {
        fixture.servers.front().respond_to_all();
        return client->closed;
    }));
    EXPECT_EQ(client->close_error, asio::error::eof) << client->close_error.message();
    EXPECT_TRUE(status_of(*client) == "HTTP/1.1 200" || status_of(*client) == "HTTP/1.1 408")
        << client->received;
}

// ---- Handlers that throw ----------------------------------------------------------------------------------

// The request gets its response and later requests are served.
TEST(Listener, Responds500WhenRequestHandlerThrows) {
    asio::io_context io{1};
    const Clock clock;
    TimerQueue timers(io, clock);
    SocketBudget budget(100);
    ByteBudget bytes(1U << 20U);
    std::size_t requests = 0;
    std::size_t disconnects = 0;
    std::unique_ptr<Listener> listener;
    Listener::Handlers handlers;
    handlers.validate = [](const RequestHead&) { return std::nullopt; };
    handlers.on_request = [&](RequestId id, const HttpRequest&, RequestArrivalInfo) {
        ++requests;
        if (requests == 1) throw std::runtime_error("no memory for its entry");
        listener->respond(id, HttpResponse(http::status::ok, 11));
    };
    handlers.on_client_disconnected = [&disconnects](RequestId) { ++disconnects; };
    handlers.is_ready = [] { return true; };
    listener = std::make_unique<Listener>(io, ephemeral_loopback_endpoint(), budget, bytes, timers, clock,
                                          3000, handlers);
    for (const char* expected : {"HTTP/1.1 500", "HTTP/1.1 200"}) {
        tcp::socket socket(io);
        socket.connect(listener->local_endpoint());
        const auto client = std::make_shared<Peer>(std::move(socket));
        client->read();
        client->send(SidecarFixture::request("safe"));
        const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(5);
        while (client->received.size() <= 12 && std::chrono::steady_clock::now() < limit) {
            try {
                io.run_one_for(milliseconds(100));
            } catch (const std::exception&) {
                continue;  // as the program's main loop does
            }
        }
        EXPECT_EQ(status_of(*client), expected);
    }
    EXPECT_EQ(disconnects, 1U) << "nothing of the first request stays in flight";
}

}  // namespace
}  // namespace elmbay::test
