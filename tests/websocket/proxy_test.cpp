// Tests WebSocket connections through the sidecar over loopback sockets. Servers and clients use Beast, or
// send raw bytes where a test needs input that Beast does not produce.
#include <gtest/gtest.h>

#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <map>

#include "support/sidecar_fixture.hpp"
#include "syscall_faults/faults.hpp"
#include "websocket/session.hpp"

namespace elmbay::test {
namespace {

namespace ws = boost::beast::websocket;
using Error = boost::system::error_code;
using websocket::Stream;

// A client or server of a session. Records the received messages and how the session ended.
struct TestPeer : std::enable_shared_from_this<TestPeer> {
    explicit TestPeer(tcp::socket socket) : stream(std::move(socket)) {}
    void read() {
        stream.async_read(buffer, [self = shared_from_this()](Error error, std::size_t) {
            if (error) {
                ++self->end_count;
                self->error = error;
                self->reason = self->stream.reason();
                return;
            }
            self->received.push_back(boost::beast::buffers_to_string(self->buffer.data()));
            self->received_as_text.push_back(self->stream.got_text());
            self->buffer.clear();
            if (self->keeps_reading) self->read();
        });
    }
    // Queues the message, because Beast allows only one pending write.
    void send(const std::string& message, bool as_text = true) {
        unsent_messages.emplace_back(message, as_text);
        if (unsent_messages.size() == 1) write();
    }
    void write() {
        stream.text(unsent_messages.front().second);
        stream.async_write(asio::buffer(unsent_messages.front().first),
                           [self = shared_from_this()](Error error, std::size_t) {
                               if (error) return;
                               ++self->sent_count;
                               self->unsent_messages.pop_front();
                               if (!self->unsent_messages.empty()) self->write();
                           });
    }
    bool has_ended() const { return end_count > 0; }
    unsigned code() const { return reason.code; }

    Stream stream;
    boost::beast::flat_buffer buffer;
    std::deque<std::pair<std::string, bool>> unsent_messages;
    std::vector<std::string> received;
    std::vector<bool> received_as_text;
    std::size_t sent_count = 0;
    bool keeps_reading = true, is_open = false;
    int end_count = 0;
    Error error;
    ws::close_reason reason;
};

// A server that accepts upgrades and chooses `subprotocol`, unless it is empty.
struct SessionServer {
    explicit SessionServer(asio::io_context& io) : acceptor(io, ephemeral_loopback_endpoint()) { accept(); }
    void accept() {
        acceptor.async_accept([this](Error error, tcp::socket socket) {
            if (error) return;
            auto peer = std::make_shared<TestPeer>(std::move(socket));
            peers.push_back(peer);
            http::async_read(
                peer->stream.next_layer(), peer->buffer, last_request,
                [this, peer](Error failed, std::size_t) {
                    if (failed) return;
                    peer->buffer.clear();
                    ++upgrades;
                    peer->stream.set_option(ws::stream_base::decorator([this](ws::response_type& response) {
                        if (!subprotocol.empty())
                            response.set(http::field::sec_websocket_protocol, subprotocol);
                    }));
                    peer->stream.async_accept(last_request, [peer](Error) {
                        peer->is_open = true;
                        peer->read();
                    });
                });
            accept();
        });
    }
    tcp::acceptor acceptor;
    http::request<http::string_body> last_request;
    std::vector<std::shared_ptr<TestPeer>> peers;
    std::string subprotocol;
    std::size_t upgrades = 0;
};

// Runs one sidecar with the WebSocket proxy enabled. Tests change `settings` before they start the sidecar.
struct WebSocketProxy : testing::Test {
    SidecarFixture fixture{0};
    std::list<SessionServer> servers;
    websocket::Settings settings;

    WebSocketProxy() { settings.enabled = true; }
    // Starts `count` servers that accept upgrades, and a sidecar whose endpoint list contains them.
    void start_servers_and_sidecar(std::size_t count = 1) {
        Json targets = Json::array();
        for (std::size_t i = 0; i < count; ++i) servers.emplace_back(fixture.io);
        std::size_t index = 0;
        for (const SessionServer& server : servers)
            targets.push_back(fixture.target(index++, endpoint_text(server.acceptor.local_endpoint())));
        start_sidecar(targets);
    }
    // Starts the sidecar with the given endpoint list.
    void start_sidecar(const Json& targets) {
        fixture.config["known"] = {{"rev", 1}, {"all", true}, {"targets", targets}};
        fixture.start({}, settings);
    }
    // Connects a client and sends an upgrade request. `responses` gets the response.
    std::shared_ptr<TestPeer> send_upgrade(const std::string& request_class = "safe",
                                           const std::string& subprotocols = "") {
        tcp::socket socket(fixture.io);
        socket.connect(fixture.sidecar->local_endpoint());
        auto peer = std::make_shared<TestPeer>(std::move(socket));
        peer->stream.set_option(
            ws::stream_base::decorator([request_class, subprotocols](ws::request_type& request) {
                static int request_number = 0;
                request.set("X-Correlation-Id", "ws-" + std::to_string(++request_number));
                request.set("X-Service-Class", request_class);
                request.set("X-Time-Left", "50000m");
                if (request_class == "keyed") request.set("Idempotency-Key", "k");
                if (!subprotocols.empty()) request.set("Sec-WebSocket-Protocol", subprotocols);
            }));
        auto response = std::make_shared<ws::response_type>();
        peer->stream.async_handshake(*response, "app.svc", "/api/live", [this, peer, response](Error error) {
            responses[peer.get()] = *response;
            if (error) {
                peer->error = error;
                ++peer->end_count;
                return;
            }
            peer->is_open = true;
            peer->read();
        });
        return peer;
    }
    // Opens a session and waits until its handshake is complete.
    std::shared_ptr<TestPeer> open_session(const std::string& request_class = "safe") {
        auto peer = send_upgrade(request_class);
        EXPECT_TRUE(fixture.until([&] { return peer->is_open || peer->has_ended(); }));
        EXPECT_TRUE(peer->is_open) << responses[peer.get()];
        return peer;
    }
    // Sends an upgrade request as raw bytes, for servers that respond with raw bytes.
    std::shared_ptr<Peer> send_raw_upgrade(const std::string& request_class) {
        static int request_number = 0;
        auto peer = fixture.connect_client();
        peer->send(
            "GET /api/live HTTP/1.1\r\nHost: app.svc\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
            "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n"
            "X-Correlation-Id: raw-" +
            std::to_string(++request_number) + "\r\nX-Service-Class: " + request_class +
            "\r\nX-Time-Left: 50000m\r\n" + (request_class == "keyed" ? "Idempotency-Key: k\r\n" : "") +
            "\r\n");
        return peer;
    }
    // Sends a change of the endpoint list that marks the server as draining.
    void drain_server(std::size_t index) {
        Json entry = fixture.target(
            index, endpoint_text(std::next(servers.begin(), index)->acceptor.local_endpoint()), "leaving");
        fixture.send_chunk(fixture.watch_line(Json::array({entry}), false));
    }
    std::map<TestPeer*, ws::response_type> responses;  // by client
};

TEST_F(WebSocketProxy, RelaysMessagesUnchangedInBothDirections) {
    start_servers_and_sidecar();
    const auto client = open_session();
    ASSERT_TRUE(fixture.until(
        [&] { return servers.front().peers.size() == 1 && servers.front().peers[0]->is_open; }));
    TestPeer& server = *servers.front().peers[0];
    const std::string large(100000, 'x'), bytes("\x00\xff\x80", 3);
    client->send("hello");
    client->send(large);
    client->send(bytes, false);
    client->send("");
    server.send("one");
    server.send(bytes, false);
    ASSERT_TRUE(fixture.until([&] { return server.received.size() == 4 && client->received.size() == 2; }));
    EXPECT_EQ(server.received, (std::vector<std::string>{"hello", large, bytes, ""}));
    EXPECT_EQ(server.received_as_text, (std::vector<bool>{true, true, false, true}));
    EXPECT_EQ(client->received, (std::vector<std::string>{"one", bytes}));
    EXPECT_EQ(client->received_as_text, (std::vector<bool>{true, false}));
    EXPECT_EQ(fixture.sidecar->sessions(), 1U);
    EXPECT_EQ(fixture.sidecar->requests(), 0U);
    // The proxy forwards a close frame to the other side with its code and reason.
    client->stream.async_close({ws::close_code::policy_error, "enough"}, [](Error) {});
    ASSERT_TRUE(fixture.until([&] { return server.has_ended() && fixture.sidecar->sessions() == 0; }));
    EXPECT_EQ(server.error, ws::error::closed);
    EXPECT_EQ(server.code(), ws::close_code::policy_error);
    EXPECT_EQ(server.reason.reason, "enough");
}

// Sends messages in both directions that need several system calls each, while calls on all sockets transfer
// only part of the bytes or are interrupted (EINTR). Each message must arrive once, complete and in order.
TEST_F(WebSocketProxy, RelaysEveryMessageWhenCallsAreShortOrInterrupted) {
    start_servers_and_sidecar();
    const auto client = open_session();
    ASSERT_TRUE(fixture.until(
        [&] { return servers.front().peers.size() == 1 && servers.front().peers[0]->is_open; }));
    TestPeer& server = *servers.front().peers[0];
    syscall_faults::configure("seed=5 send:SHORT=0.3 send:EINTR=0.2 recv:SHORT=0.3 recv:EINTR=0.2");
    const std::shared_ptr<void> stop_faults(nullptr, [](void*) { syscall_faults::configure(""); });
    constexpr std::size_t kMessages = 50;
    std::vector<std::string> to_server, to_client;
    for (std::size_t i = 0; i < kMessages; ++i) {
        to_server.push_back("there " + std::to_string(i) + std::string(i * 300, 't'));
        to_client.push_back("back " + std::to_string(i) + std::string(i * 300, 'b'));
        client->send(to_server.back());
        server.send(to_client.back());
    }
    ASSERT_TRUE(fixture.until(
        [&] { return server.received.size() == kMessages && client->received.size() == kMessages; }));
    EXPECT_EQ(server.received, to_server);
    EXPECT_EQ(client->received, to_client);
    EXPECT_GT(syscall_faults::failed_calls(0), 0U);
    client->stream.async_close({ws::close_code::normal, "enough"}, [](Error) {});
    ASSERT_TRUE(fixture.until([&] { return server.has_ended() && fixture.sidecar->sessions() == 0; }));
    EXPECT_EQ(server.error, ws::error::closed);
}

TEST_F(WebSocketProxy, ForwardsSubprotocolThatServerChose) {
    servers.emplace_back(fixture.io).subprotocol = "transcript.v1";
    start_servers_and_sidecar(0);
    const auto client = send_upgrade("safe", "transcript.v2, transcript.v1");
    ASSERT_TRUE(fixture.until([&] { return client->is_open || client->has_ended(); }));
    EXPECT_EQ(responses[client.get()]["Sec-WebSocket-Protocol"], "transcript.v1");
    EXPECT_EQ(servers.front().last_request["Sec-WebSocket-Protocol"], "transcript.v2, transcript.v1");
    EXPECT_EQ(servers.front().last_request["Host"], "app.svc");
    EXPECT_EQ(servers.front().last_request.count("X-Time-Left"), 1U);
}

TEST_F(WebSocketProxy, FailsUpgradeWhenServerChoosesSubprotocolThatWasNotOffered) {
    servers.emplace_back(fixture.io).subprotocol = "another";
    start_servers_and_sidecar(0);
    const auto client = send_upgrade("unsafe", "transcript.v1");
    ASSERT_TRUE(fixture.until([&] { return client->has_ended(); }));
    EXPECT_EQ(responses[client.get()].result_int(), 502U);
    EXPECT_EQ(fixture.sidecar->sessions(), 0U);
}

TEST_F(WebSocketProxy, RejectsUpgradeWith503WhenSessionLimitIsReached) {
    settings.max_sessions = 1;
    start_servers_and_sidecar();
    const auto first = open_session();
    const auto second = send_upgrade();
    ASSERT_TRUE(fixture.until([&] { return second->has_ended(); }));
    EXPECT_EQ(responses[second.get()].result_int(), 503U);
    EXPECT_EQ(responses[second.get()].count("Retry-After"), 1U);
    EXPECT_EQ(servers.front().upgrades, 1U);
    first->stream.async_close(ws::close_code::normal, [](Error) {});
    ASSERT_TRUE(fixture.until([&] { return fixture.sidecar->sessions() == 0; }));
    open_session();
}

TEST_F(WebSocketProxy, RejectsUpgradeWith403WhenClientReachesItsSessionLimit) {
    settings.max_sessions_per_client = 2;
    start_servers_and_sidecar();
    const auto first = open_session(), second = open_session(), third = send_upgrade();
    ASSERT_TRUE(fixture.until([&] { return third->has_ended(); }));
    EXPECT_EQ(responses[third.get()].result_int(), 403U);
    first->stream.async_close(ws::close_code::normal, [](Error) {});
    ASSERT_TRUE(fixture.until([&] { return fixture.sidecar->sessions() == 1; }));
    open_session();
}

TEST_F(WebSocketProxy, ForwardsUpgradeAsPlainRequestWhenDisabled) {
    settings.enabled = false;
    fixture.servers.emplace_back(fixture.io);
    start_sidecar(fixture.targets());
    const auto client = send_raw_upgrade("safe");
    ASSERT_TRUE(fixture.until([&] { return fixture.servers.front().request_count() == 1; }));
    EXPECT_EQ(fixture.servers.front().last_connection().received.find("Upgrade"), std::string::npos);
    fixture.servers.front().last_connection().respond("200 OK", "body");
    ASSERT_TRUE(fixture.until([&] { return client->received.ends_with("body"); }));
}

// The server receives the upgrade and its response is lost. The proxy retries the upgrade if its request
// class allows retries, and otherwise fails it at once.
TEST_F(WebSocketProxy, RetriesUpgradeAfterLostResponseOnlyAsItsClassAllows) {
    for (int i = 0; i < 2; ++i) fixture.servers.emplace_back(fixture.io);
    start_sidecar(fixture.targets());
    const auto server_requests = [&] {
        return fixture.servers.front().request_count() + fixture.servers.back().request_count();
    };
    const auto reset_unanswered = [&] {
        for (FakeServer& server : fixture.servers)
            for (const auto& peer : server.connections) {
                if (peer->request_count() <= peer->answered_request_count) continue;
                ++peer->answered_request_count;
                peer->reset();
            }
    };
    std::size_t before = 0;
    for (const auto& [request_class, attempts] :
         {std::pair<std::string, std::size_t>{"unsafe", 1}, {"keyed", 4}, {"safe", 4}}) {
        const auto client = send_raw_upgrade(request_class);
        ASSERT_TRUE(fixture.until([&] {
            reset_unanswered();
            return client->received.find("\r\n\r\n") != std::string::npos;
        })) << request_class;
        EXPECT_EQ(server_requests(), before + attempts)
            << request_class << ": four attempts are allowed, but only one if non-idempotent";
        if (request_class == "unsafe") {
            EXPECT_EQ(status_of(*client), "HTTP/1.1 502")
                << "a 502, because the server may have processed the request";
        }
        before = server_requests();
    }
}

TEST_F(WebSocketProxy, RetriesUnprocessedUpgradeAtAnotherServerAlsoWhenNonIdempotent) {
    for (int i = 0; i < 2; ++i) fixture.servers.emplace_back(fixture.io);
    start_sidecar(fixture.targets());
    const auto client = send_raw_upgrade("unsafe");
    const auto server_requests = [&] {
        return fixture.servers.front().request_count() + fixture.servers.back().request_count();
    };
    ASSERT_TRUE(fixture.until([&] { return server_requests() == 1; }));
    FakeServer& first =
        fixture.servers.front().request_count() ? fixture.servers.front() : fixture.servers.back();
    first.last_connection().respond("503 Full", "", "X-Unprocessed: 1\r\n");
    ASSERT_TRUE(fixture.until([&] { return server_requests() == 2; }));
}

TEST_F(WebSocketProxy, ClosesEachSessionOnceAndOpensNoneWhenServerResetsConnections) {
    start_servers_and_sidecar();
    std::vector<std::shared_ptr<TestPeer>> clients;
    for (int i = 0; i < 20; ++i) clients.push_back(open_session());
    ASSERT_TRUE(fixture.until([&] { return servers.front().peers.size() == 20; }));
    for (const auto& peer : servers.front().peers) {
        peer->stream.next_layer().set_option(asio::socket_base::linger(true, 0));
        peer->stream.next_layer().close();
    }
    ASSERT_TRUE(fixture.until([&] {
        return std::all_of(clients.begin(), clients.end(),
                           [](const auto& client) { return client->has_ended(); });
    }));
    for (const auto& client : clients) {
        EXPECT_EQ(client->end_count, 1);
        EXPECT_EQ(client->code(), ws::close_code::internal_error);
        EXPECT_NE(std::string(client->reason.reason.c_str()).find("may have run"), std::string::npos);
    }
    ASSERT_TRUE(fixture.until([&] { return fixture.sidecar->sessions() == 0; }));
    EXPECT_EQ(servers.front().upgrades, 20U);
}

TEST_F(WebSocketProxy, ClosesServerSideAsGoingAwayWhenClientResetsConnection) {
    start_servers_and_sidecar();
    const auto client = open_session();
    ASSERT_TRUE(fixture.until(
        [&] { return servers.front().peers.size() == 1 && servers.front().peers[0]->is_open; }));
    client->stream.next_layer().set_option(asio::socket_base::linger(true, 0));
    client->stream.next_layer().close();
    ASSERT_TRUE(fixture.until(
        [&] { return servers.front().peers[0]->has_ended() && fixture.sidecar->sessions() == 0; }));
    EXPECT_EQ(servers.front().peers[0]->code(), ws::close_code::going_away);
}

TEST_F(WebSocketProxy, ClosesSessionAsTooBigAfterOversizedMessage) {
    settings.max_message_bytes = 1000;
    start_servers_and_sidecar();
    const auto client = open_session();
    client->send(std::string(1001, 'x'));
    ASSERT_TRUE(fixture.until([&] { return client->has_ended() && fixture.sidecar->sessions() == 0; }));
    EXPECT_EQ(client->code(), ws::close_code::too_big);
    EXPECT_TRUE(servers.front().peers[0]->received.empty());
}

// The endpoint list marks a server as draining. The server gets no new session, and the proxy closes each of
// its sessions exactly once, with a close handshake on both sides.
TEST_F(WebSocketProxy, ClosesEachSessionOfDrainingServerAndOpensNoNewOne) {
    settings.drain_spread = 200;
    start_servers_and_sidecar(2);
    constexpr int kSessionsPerServer = 100;
    std::vector<std::shared_ptr<TestPeer>> clients;
    for (int i = 0; i < 2 * kSessionsPerServer; ++i) clients.push_back(open_session());
    SessionServer &draining = servers.front(), &other = servers.back();
    const std::size_t sessions_at_draining = draining.upgrades;
    EXPECT_NEAR(static_cast<double>(sessions_at_draining), kSessionsPerServer, 10)
        << "the proxy balances by the number of sessions";
    fixture.begin_watch();
    drain_server(0);
    ASSERT_TRUE(fixture.until(
        [&] { return fixture.sidecar->sessions() == 2 * kSessionsPerServer - sessions_at_draining; }));
    ASSERT_TRUE(fixture.until([&] {
        return static_cast<std::size_t>(std::count_if(clients.begin(), clients.end(), [](const auto& client) {
                   return client->has_ended();
               })) == sessions_at_draining;
    }));
    for (const auto& client : clients)
        if (client->has_ended()) {
            EXPECT_EQ(client->end_count, 1);
            EXPECT_EQ(client->error, ws::error::closed);
            EXPECT_EQ(client->code(), ws::close_code::service_restart);
            EXPECT_NE(std::string(client->reason.reason.c_str()).find("come back in"), std::string::npos);
        }
    ASSERT_TRUE(fixture.until([&] {
        return std::all_of(draining.peers.begin(), draining.peers.end(),
                           [](const auto& peer) { return peer->has_ended(); });
    }));
    for (const auto& peer : draining.peers) EXPECT_EQ(peer->end_count, 1);
    for (int i = 0; i < 50; ++i) open_session();
    EXPECT_EQ(draining.upgrades, sessions_at_draining) << "a draining server gets no new session";
    EXPECT_EQ(other.upgrades, 2 * kSessionsPerServer - sessions_at_draining + 50);
}

TEST_F(WebSocketProxy, ClosesSessionsAsGoingAwayOnShutdown) {
    settings.shutdown_spread = 50;
    start_servers_and_sidecar();
    std::vector<std::shared_ptr<TestPeer>> clients;
    for (int i = 0; i < 10; ++i) clients.push_back(open_session());
    bool drained = false;
    fixture.sidecar->drain([&] { drained = true; });
    ASSERT_TRUE(fixture.until([&] { return drained; }));
    EXPECT_EQ(fixture.sidecar->sessions(), 0U);
    ASSERT_TRUE(fixture.until([&] {
        return std::all_of(clients.begin(), clients.end(),
                           [](const auto& client) { return client->has_ended(); });
    }));
    for (const auto& client : clients) EXPECT_EQ(client->code(), ws::close_code::going_away);
}

// Neither peer responds to the close frame, and the client does not even read. The session ends after the
// handshake timeout.
TEST_F(WebSocketProxy, EndsSessionAfterTimeoutWhenPeersDoNotRespondToClose) {
    settings.handshake_timeout = 300;
    settings.shutdown_spread = 1;
    start_servers_and_sidecar();
    const auto client = open_session();
    ASSERT_TRUE(fixture.until(
        [&] { return servers.front().peers.size() == 1 && servers.front().peers[0]->is_open; }));
    client->keeps_reading = false;
    servers.front().peers[0]->send("the last message that the client reads");
    ASSERT_TRUE(fixture.until([&] { return client->received.size() == 1; }));
    for (int i = 0; i < 200; ++i) servers.front().peers[0]->send(std::string(100000, 'x'));
    fixture.handle_pending_events();
    bool drained = false;
    fixture.sidecar->drain([&] { drained = true; });
    ASSERT_TRUE(fixture.until([&] { return drained; }));
}

// When a client stops reading, the proxy stops reading from that session's server. Other sessions are not
// slowed down.
TEST_F(WebSocketProxy, AppliesBackpressureOnlyToTheSessionWhoseClientStopsReading) {
    start_servers_and_sidecar();
    const auto slow_client = open_session();
    ASSERT_TRUE(fixture.until(
        [&] { return servers.front().peers.size() == 1 && servers.front().peers[0]->is_open; }));
    slow_client->keeps_reading = false;
    constexpr std::size_t kMessages = 400, kMessageBytes = 100000;
    TestPeer& slow_client_server = *servers.front().peers[0];
    for (std::size_t i = 0; i < kMessages; ++i) slow_client_server.send(std::string(kMessageBytes, 'x'));
    const auto fast_client = open_session();
    ASSERT_TRUE(fixture.until(
        [&] { return servers.front().peers.size() == 2 && servers.front().peers[1]->is_open; }));
    for (int i = 0; i < 200; ++i) servers.front().peers[1]->send("tick");
    ASSERT_TRUE(fixture.until([&] { return fast_client->received.size() == 200; }));
    EXPECT_LT(slow_client_server.sent_count, kMessages)
        << "the proxy must not buffer all 40 MB for the slow client";
    slow_client->keeps_reading = true;
    slow_client->read();
    ASSERT_TRUE(fixture.until([&] { return slow_client->received.size() == kMessages; }));
}

// The client disconnects while its upgrade waits for the server's response. The proxy closes the connection
// to the server.
TEST_F(WebSocketProxy, OpensNoSessionWhenClientDisconnectsDuringUpgrade) {
    fixture.servers.emplace_back(fixture.io);
    start_sidecar(fixture.targets());
    const auto client = send_raw_upgrade("safe");
    ASSERT_TRUE(fixture.until([&] { return fixture.servers.front().request_count() == 1; }));
    client->close();
    ASSERT_TRUE(fixture.until([&] { return fixture.servers.front().last_connection().closed; }));
    ASSERT_TRUE(fixture.until([&] { return fixture.sidecar->requests() == 0; }));
    EXPECT_EQ(fixture.sidecar->sessions(), 0U);
}

}  // namespace
}  // namespace elmbay::test
