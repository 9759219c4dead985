// Tests client connections: timeouts of silent, slow and idle clients, a request that arrives just as a
// timeout expires, and handlers that throw.
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

// The client gets the error while it may still be waiting, and its socket becomes free.
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

// Some clients send one request and never close their connection. The sidecar must close it.
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
        << "there must be no second response before the close";
}

// The limit of 3 s for an error also applies to a connection that was used before, by a request that was
// served or by one that was rejected.
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

// A response is useless to its client half a second after the longest deadline of the settings. If the client
// has not read it by then, the connection is closed. The Content-Length shows the client that the response is
// incomplete.
TEST(ClientTimeout, ClosesConnectionWithUnreadResponseHalfASecondAfterLongestDeadline) {
    SidecarFixture fixture;
    for (Json& request_class : fixture.config["settings"]["classes"]) request_class["give-up-ms"] = 500;
    fixture.config["limits"]["memory_mb"] = 64;
    fixture.start();
    FakeServer& server = fixture.servers.front();
    const auto client = fixture.connect_slow_client();
    client->send(SidecarFixture::request("safe"));
    ASSERT_TRUE(fixture.until([&] { return server.request_count() == 1; }));
    const std::string body(400000, 'a');
    bool late = false;  // a fixed limit of 3 s, independent of the deadlines, would be late
    asio::steady_timer limit(fixture.io, milliseconds(2500));
    limit.async_wait([&](boost::system::error_code error) { late = !error; });
    server.last_connection().respond("200 OK", body);
    ASSERT_TRUE(fixture.until([&] { return client->socket.available() > 0; }));
    ASSERT_TRUE(fixture.until([&] { return fixture.sidecar->status()["sockets"]["clients"] == 1; }))
        << "only the socket for the next client must remain";
    EXPECT_FALSE(late);

    client->read();
    ASSERT_TRUE(fixture.until([&] { return client->closed; }));
    EXPECT_EQ(status_of(*client), "HTTP/1.1 200");
    EXPECT_NE(client->received.find("Content-Length: 400000"), std::string::npos);
    EXPECT_LT(client->received.size(), body.size()) << "the response must be shorter than its Content-Length";
}

// ---- Requests that arrive as a timeout expires ------------------------------------------------------------

constexpr Millis kIdleTimeout = 2000;     // ClientConnection::kIdleTimeout
constexpr Millis kRequestTimeout = 2500;  // ClientConnection::kRequestReadTimeout

// Runs `action` when a timer of `timeout` that the sidecar has just set expires, before that timer's handler.
// Both timers are due when the event loop runs again, the test's first, and the loop handles all due timers
// in one turn.
void run_as_timeout_expires(SidecarFixture& fixture, Millis timeout, const std::function<void()>& action) {
    const Clock clock;
    const Millis set_at = clock.now();
    fixture.run_for(milliseconds(static_cast<int>(timeout) / 2));
    run_ready_handlers(fixture.io);  // no other handler may run before the two timers
    bool has_run_action = false;
    asio::steady_timer timer(fixture.io, std::chrono::steady_clock::now() - std::chrono::seconds(1));
    timer.async_wait([&](boost::system::error_code) {
        action();
        has_run_action = true;
    });
    block_event_loop_until(clock, set_at + timeout + 50);
    ASSERT_TRUE(fixture.until([&] { return has_run_action; }));
}

TEST(IdleTimeout, ServesRequestThatArrivesAsTimeoutExpires) {
    SidecarFixture fixture;
    fixture.start();
    const auto client = fixture.connect_served_client();
    run_as_timeout_expires(fixture, kIdleTimeout, [&] { client->send(SidecarFixture::request("safe")); });
    ASSERT_TRUE(fixture.until([&] {
        fixture.servers.front().respond_to_all();
        return client->closed || client->received.find("answer") != std::string::npos;
    }));
    EXPECT_EQ(status_of(*client), "HTTP/1.1 200") << client->received;
}

// Half a request has arrived when the idle timeout expires, and the rest never arrives. A close without a
// response would reset the connection, because the bytes are unread.
TEST(IdleTimeout, Responds408ToHalfRequestThatArrivesAsTimeoutExpires) {
    SidecarFixture fixture;
    fixture.start();
    const auto client = fixture.connect_served_client();
    const std::string request = SidecarFixture::request("safe");
    run_as_timeout_expires(fixture, kIdleTimeout, [&] { client->send(request.substr(0, 30)); });
    ASSERT_TRUE(fixture.until([&] { return client->closed; }));
    EXPECT_EQ(client->close_error, asio::error::eof) << client->close_error.message();
    EXPECT_EQ(status_of(*client), "HTTP/1.1 408") << client->received;
}

// The rest of the request arrives before the handler of the request timeout runs. So the request is complete
// on an open connection and must get a response.
TEST(IdleTimeout, RespondsToRequestCompletedAsRequestTimeoutExpires) {
    SidecarFixture fixture;
    fixture.start();
    const auto client = fixture.connect_served_client();
    const std::string request = SidecarFixture::request("safe");
    run_as_timeout_expires(fixture, kIdleTimeout, [&] { client->send(request.substr(0, 30)); });
    fixture.handle_pending_events();
    run_as_timeout_expires(fixture, kRequestTimeout, [&] { client->send(request.substr(30)); });
    ASSERT_TRUE(fixture.until([&] {
        fixture.servers.front().respond_to_all();
        return client->closed;
    }));
    EXPECT_EQ(client->close_error, asio::error::eof) << client->close_error.message();
    EXPECT_TRUE(status_of(*client) == "HTTP/1.1 200" || status_of(*client) == "HTTP/1.1 408")
        << client->received;
}

// ---- Handlers that throw ----------------------------------------------------------------------------------

// The failed request must get a response, and later requests must be served.
TEST(Listener, Responds500WhenRequestHandlerThrows) {
    asio::io_context io{1};
    const Clock clock;
    TimerQueue timers(io, clock);
    SocketBudget socket_budget(100);
    ByteBudget byte_budget(1U << 20U);
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
    listener = std::make_unique<Listener>(io, ephemeral_loopback_endpoint(), socket_budget, byte_budget,
                                          timers, clock, 3000, handlers);
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
                continue;  // the program's main loop continues after an exception too
            }
        }
        EXPECT_EQ(status_of(*client), expected);
    }
    EXPECT_EQ(disconnects, 1U) << "the first request must not stay in flight";
}

}  // namespace
}  // namespace elmbay::test
