// Tests clients that disconnect while their request is in flight or waits for capacity, for a server or for a
// connection. After the disconnect nothing may be sent to a server for them.
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "support/sidecar_fixture.hpp"

namespace elmbay::test {
namespace {

struct DisconnectMethod {
    const char* name;
    std::function<void(Peer&)> disconnect;
};

// All of these mean the same to the sidecar: the client no longer waits for a response.
const std::vector<DisconnectMethod>& disconnect_methods() {
    static const std::vector<DisconnectMethod> methods{
        {"close", [](Peer& client) { client.close(); }},
        {"half-close", [](Peer& client) { client.socket.shutdown(tcp::socket::shutdown_send); }},
        {"reset", [](Peer& client) { client.reset(); }}};
    return methods;
}

TEST(ClientDisconnect, CancelsAttemptInFlight) {
    SidecarFixture fixture;
    fixture.start();
    FakeServer& server = fixture.servers.front();
    const auto client = fixture.connect_client();
    client->send(SidecarFixture::request("unsafe"));
    ASSERT_TRUE(fixture.until([&] { return server.request_count() == 1; }));
    client->close();
    ASSERT_TRUE(
        fixture.until([&] { return server.last_connection().closed && fixture.sidecar->requests() == 0; }));
}

// ---- Disconnect during the connect to the server ----------------------------------------------------------

// The connection to the server is established, and right afterwards the client disconnects. The event loop
// does not run in between, as if the process had no CPU core, and handles the new connection first.
void expect_nothing_sent_after_disconnect_during_connect(const std::function<void(Peer&)>& disconnect) {
    SidecarFixture fixture;
    fixture.start();
    FakeServer& server = fixture.servers.front();
    FullAcceptQueue accept_queue(server);
    const auto client = fixture.connect_client();
    client->send(SidecarFixture::request("safe"));
    EXPECT_TRUE(fixture.until([&] { return fixture.sidecar->requests() == 1; }));
    fixture.handle_pending_events();
    const tcp::socket filler = server.acceptor.accept();
    // The accept queue has room now, so the SYN that the kernel sends again after a second succeeds.
    server.connections.push_back(std::make_shared<Peer>(server.acceptor.accept()));
    server.connections.back()->read();
    disconnect(*client);
    EXPECT_TRUE(fixture.until([&] { return fixture.sidecar->requests() == 0; }));
    fixture.handle_pending_events();
    EXPECT_EQ(server.request_count(), 0U);
}

TEST(ClientDisconnectDuringConnect, SendsNothingAfterClose) {
    expect_nothing_sent_after_disconnect_during_connect([](Peer& client) { client.close(); });
}

TEST(ClientDisconnectDuringConnect, SendsNothingAfterHalfClose) {
    expect_nothing_sent_after_disconnect_during_connect(
        [](Peer& client) { client.socket.shutdown(tcp::socket::shutdown_send); });
}

TEST(ClientDisconnectDuringConnect, SendsNothingAfterReset) {
    expect_nothing_sent_after_disconnect_during_connect([](Peer& client) { client.reset(); });
}

TEST(ClientDisconnectDuringConnect, SendsNothingAfterUnreadBytesAndClose) {
    expect_nothing_sent_after_disconnect_during_connect([](Peer& client) {
        client.send("more, and gone");
        client.close();
    });
}

// ---- Disconnect while the request waits for a server or for capacity --------------------------------------

// The only server rejects the first attempt and starts to drain, so the retry waits. Then the endpoint list
// with an active server and the client's disconnect arrive in the same turn of the event loop, the list
// first.
TEST(ClientDisconnect, SendsNothingAfterDisconnectWhileRetryWaitsForServer) {
    for (const DisconnectMethod& method : disconnect_methods()) {
        SCOPED_TRACE(method.name);
        SidecarFixture fixture;
        // A request waits for at most a sixteenth of its latency objective.
        fixture.config["settings"]["classes"][1]["on-time-ms"] = 60000.0;
        fixture.start();
        fixture.begin_watch();
        FakeServer& server = fixture.servers.front();
        const auto client = fixture.connect_client();
        client->send(SidecarFixture::request("unsafe"));
        ASSERT_TRUE(fixture.until([&] { return server.request_count() == 1; }));
        fixture.send_chunk(fixture.watch_line(fixture.targets("leaving"), false));
        fixture.handle_pending_events();
        server.last_connection().respond("503 Draining", "", "X-Unprocessed: 1\r\n");
        ASSERT_TRUE(fixture.until([&] { return server.last_connection().closed; }));
        fixture.handle_pending_events();
        ASSERT_EQ(fixture.sidecar->requests(), 1U) << "the request is not waiting: " << client->received;

        fixture.send_chunk(fixture.watch_line(fixture.targets(), false));
        method.disconnect(*client);
        ASSERT_TRUE(fixture.until([&] { return fixture.sidecar->requests() == 0; }));
        fixture.handle_pending_events();
        EXPECT_EQ(server.request_count(), 1U);
    }
}

// Sends more requests at once than there is capacity for. When one of them gets its response, the request
// that arrived last is sent first, on the connection that has become free.
struct WaitingForCapacityFixture {
    static constexpr std::size_t kClients = 60;
    SidecarFixture fixture;
    FakeServer& server = fixture.servers.front();
    std::vector<std::shared_ptr<Peer>> clients;
    std::string last_correlation_id_header;
    std::size_t requests_sent = 0;

    WaitingForCapacityFixture() {
        // A request waits for at most a sixteenth of its latency objective.
        fixture.config["settings"]["classes"][1]["on-time-ms"] = 60000.0;
        fixture.start();
        for (std::size_t i = 0; i < kClients; ++i) {
            clients.push_back(fixture.connect_client());
            const std::string request = SidecarFixture::request("unsafe");
            const std::size_t begin = request.find("X-Correlation-Id: ");
            const std::size_t end = request.find("\r\n", begin) + 2;
            last_correlation_id_header = request.substr(begin, end - begin);
            clients.back()->send(request);
        }
        EXPECT_TRUE(fixture.until([&] { return fixture.sidecar->requests() == kClients; }));
        run_ready_handlers(fixture.io);
        requests_sent = server.request_count();
        EXPECT_GT(requests_sent, 0U);
        EXPECT_FALSE(has_last_request_arrived()) << "the last request must wait for capacity";
    }

    bool has_last_request_arrived() const {
        return std::any_of(server.connections.begin(), server.connections.end(), [&](const auto& peer) {
            return peer->received.find(last_correlation_id_header) != std::string::npos;
        });
    }

    bool was_another_request_written() const {
        const bool has_unread_bytes =
            std::any_of(server.connections.begin(), server.connections.end(),
                        [](const auto& peer) { return peer->socket.available() > 0; });
        return server.request_count() > requests_sent || has_unread_bytes;
    }
};

// Repeats the scenario with the disconnect after 0, 1, 2, ... steps of the event loop, up to the step that
// writes the client's request.
TEST(ClientDisconnect, SendsNothingAfterDisconnectWhileRequestWaitsForCapacity) {
    for (const DisconnectMethod& method : disconnect_methods()) {
        bool was_request_written = false;
        for (int steps = 0; !was_request_written; ++steps) {
            SCOPED_TRACE(std::string(method.name) + " after " + std::to_string(steps) + " steps");
            WaitingForCapacityFixture waiting;
            waiting.server.connections.front()->respond("200 OK", "answer");
            for (int step = 0; step < steps; ++step) waiting.fixture.io.poll_one();
            was_request_written = waiting.was_another_request_written();
            if (was_request_written) break;
            method.disconnect(*waiting.clients.back());
            ASSERT_TRUE(waiting.fixture.until([&] {
                return waiting.server.request_count() > waiting.requests_sent;
            })) << "another request must be sent instead";
            waiting.fixture.handle_pending_events();
            EXPECT_FALSE(waiting.has_last_request_arrived());
            ASSERT_LT(steps, 100) << "the request is never written";
        }
    }
}

// The request and the client's disconnect arrive in the same turn of the event loop.
TEST(ClientDisconnect, SendsNothingWhenClientDisconnectsRightAfterRequest) {
    for (const DisconnectMethod& method : disconnect_methods()) {
        SCOPED_TRACE(method.name);
        SidecarFixture fixture;
        fixture.start();
        const auto earlier_client =
            fixture.connect_served_client();  // creates an idle connection to the server
        const auto client = fixture.connect_client();
        client->send(SidecarFixture::request("unsafe"));
        method.disconnect(*client);
        fixture.handle_pending_events();
        ASSERT_TRUE(fixture.until([&] { return fixture.sidecar->requests() == 0; }));
        fixture.handle_pending_events();
        EXPECT_EQ(fixture.servers.front().request_count(), 1U);
    }
}

}  // namespace
}  // namespace elmbay::test
