// WebSocket connections over loopback sockets. Servers and clients run on Beast, or send raw bytes where
// Beast would not send what a test needs.
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

// A client or server of a session: collects messages, and how the session ended.
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
            if (self->reading) self->read();
        });
    }
    // Queues the message: Beast allows one write at a time.
    void send(const std::string& message, bool as_text = true) {
        waiting.emplace_back(message, as_text);
        if (waiting.size() == 1) write();
    }
    void write() {
        stream.text(waiting.front().second);
        stream.async_write(asio::buffer(waiting.front().first),
                           [self = shared_from_this()](Error error, std::size_t) {
                               if (error) return;
                               ++self->sent;
                               self->waiting.pop_front();
                               if (!self->waiting.empty()) self->write();
                           });
    }
    bool over() const { return end_count > 0; }
    unsigned code() const { return reason.code; }

    Stream stream;
    boost::beast::flat_buffer buffer;
    std::deque<std::pair<std::string, bool>> waiting;
    std::vector<std::string> received;
    std::vector<bool> received_as_text;
    std::size_t sent = 0;
    bool reading = true, open = false;
    int end_count = 0;
    Error error;
    ws::close_reason reason;
};

// Accepts upgrades, with the given subprotocol, if any.
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
                    peer->stream.set_option(ws::stream_base::decorator([this](ws::response_type& r) {
                        if (!subprotocol.empty()) r.set(http::field::sec_websocket_protocol, subprotocol);
                    }));
                    peer->stream.async_accept(last_request, [peer](Error) {
                        peer->open = true;
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

struct WebSocketProxy : testing::Test {
    SidecarFixture rig{0};
    std::list<SessionServer> servers;
    websocket::Settings settings;

    WebSocketProxy() { settings.enabled = true; }
    void serve(std::size_t count = 1) {
        Json targets = Json::array();
        for (std::size_t i = 0; i < count; ++i) servers.emplace_back(rig.io);
        std::size_t index = 0;
        for (const auto& s : servers)
            targets.push_back(rig.target(index++, endpoint_text(s.acceptor.local_endpoint())));
        begin(targets);
    }
    void begin(const Json& targets) {
        rig.config["known"] = {{"rev", 1}, {"all", true}, {"targets", targets}};
        rig.start({}, settings);
    }
    std::shared_ptr<TestPeer> send_upgrade(const std::string& request_class = "safe",
                                           const std::string& subprotocols = "") {
        tcp::socket socket(rig.io);
        socket.connect(rig.sidecar->local_endpoint());
        auto peer = std::make_shared<TestPeer>(std::move(socket));
        peer->stream.set_option(
            ws::stream_base::decorator([request_class, subprotocols](ws::request_type& r) {
                static int number = 0;
                r.set("X-Correlation-Id", "ws-" + std::to_string(++number));
                r.set("X-Service-Class", request_class);
                r.set("X-Time-Left", "50000m");
                if (request_class == "keyed") r.set("Idempotency-Key", "k");
                if (!subprotocols.empty()) r.set("Sec-WebSocket-Protocol", subprotocols);
            }));
        auto answer = std::make_shared<ws::response_type>();
        peer->stream.async_handshake(*answer, "app.svc", "/api/live", [this, peer, answer](Error error) {
            answers[peer.get()] = *answer;
            if (error) {
                peer->error = error;
                ++peer->end_count;
                return;
            }
            peer->open = true;
            peer->read();
        });
        return peer;
    }
    std::shared_ptr<TestPeer> open(const std::string& request_class = "safe") {
        auto peer = send_upgrade(request_class);
        EXPECT_TRUE(rig.until([&] { return peer->open || peer->over(); }));
        EXPECT_TRUE(peer->open) << answers[peer.get()];
        return peer;
    }
    // An upgrade as raw bytes, for servers that respond with raw bytes.
    std::shared_ptr<Peer> send_raw_upgrade(const std::string& request_class) {
        static int number = 0;
        auto peer = rig.connect_client();
        peer->send(
            "GET /api/live HTTP/1.1\r\nHost: app.svc\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
            "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n"
            "X-Correlation-Id: raw-" +
            std::to_string(++number) + "\r\nX-Service-Class: " + request_class +
            "\r\nX-Time-Left: 50000m\r\n" + (request_class == "keyed" ? "Idempotency-Key: k\r\n" : "") +
            "\r\n");
        return peer;
    }
    void drain_server(std::size_t index) {
        Json entry = rig.target(
            index, endpoint_text(std::next(servers.begin(), index)->acceptor.local_endpoint()), "leaving");
        rig.send_chunk(rig.watch_line(Json::array({entry}), false));
    }
    std::map<TestPeer*, ws::response_type> answers;
};

TEST_F(WebSocketProxy, RelaysMessagesUnchangedInBothDirections) {
    serve();
    const auto client = open();
    ASSERT_TRUE(
        rig.until([&] { return servers.front().peers.size() == 1 && servers.front().peers[0]->open; }));
    TestPeer& server = *servers.front().peers[0];
    const std::string large(100000, 'x'), bytes("\x00\xff\x80", 3);
    client->send("hello");
    client->send(large);
    client->send(bytes, false);
    client->send("");
    server.send("one");
    server.send(bytes, false);
    ASSERT_TRUE(rig.until([&] { return server.received.size() == 4 && client->received.size() == 2; }));
    EXPECT_EQ(server.received, (std::vector<std::string>{"hello", large, bytes, ""}));
    EXPECT_EQ(server.received_as_text, (std::vector<bool>{true, true, false, true}));
    EXPECT_EQ(client->received, (std::vector<std::string>{"one", bytes}));
    EXPECT_EQ(client->received_as_text, (std::vector<bool>{true, false}));
    EXPECT_EQ(rig.sidecar->sessions(), 1U);
    EXPECT_EQ(rig.sidecar->requests(), 0U);
    // A proper close reaches the other side with its code and reason.
    client->stream.async_close({ws::close_code::policy_error, "enough"}, [](Error) {});
    ASSERT_TRUE(rig.until([&] { return server.over() && rig.sidecar->sessions() == 0; }));
    EXPECT_EQ(server.error, ws::error::closed);
    EXPECT_EQ(server.code(), ws::close_code::policy_error);
    EXPECT_EQ(server.reason.reason, "enough");
}

// Messages longer than one call transfers, in both directions, with short and interrupted calls at all
// sockets: each arrives once, complete and in order.
TEST_F(WebSocketProxy, RelaysEveryMessageWhenCallsAreShortOrInterrupted) {
    serve();
    const auto client = open();
    ASSERT_TRUE(
        rig.until([&] { return servers.front().peers.size() == 1 && servers.front().peers[0]->open; }));
    TestPeer& server = *servers.front().peers[0];
    syscall_faults::configure("seed=5 send:SHORT=0.3 send:EINTR=0.2 recv:SHORT=0.3 recv:EINTR=0.2");
    const std::shared_ptr<void> off(nullptr, [](void*) { syscall_faults::configure(""); });
    constexpr std::size_t kMessages = 50;
    std::vector<std::string> there, back;
    for (std::size_t i = 0; i < kMessages; ++i) {
        there.push_back("there " + std::to_string(i) + std::string(i * 300, 't'));
        back.push_back("back " + std::to_string(i) + std::string(i * 300, 'b'));
        client->send(there.back());
        server.send(back.back());
    }
    ASSERT_TRUE(rig.until(
        [&] { return server.received.size() == kMessages && client->received.size() == kMessages; }));
    EXPECT_EQ(server.received, there);
    EXPECT_EQ(client->received, back);
    EXPECT_GT(syscall_faults::failed_calls(0), 0U);
    client->stream.async_close({ws::close_code::normal, "enough"}, [](Error) {});
    ASSERT_TRUE(rig.until([&] { return server.over() && rig.sidecar->sessions() == 0; }));
    EXPECT_EQ(server.error, ws::error::closed);
}

TEST_F(WebSocketProxy, PassesOnSubprotocolThatServerChose) {
    servers.emplace_back(rig.io).subprotocol = "transcript.v1";
    serve(0);
    const auto client = send_upgrade("safe", "transcript.v2, transcript.v1");
    ASSERT_TRUE(rig.until([&] { return client->open || client->over(); }));
    EXPECT_EQ(answers[client.get()]["Sec-WebSocket-Protocol"], "transcript.v1");
    EXPECT_EQ(servers.front().last_request["Sec-WebSocket-Protocol"], "transcript.v2, transcript.v1");
    EXPECT_EQ(servers.front().last_request["Host"], "app.svc");
    EXPECT_EQ(servers.front().last_request.count("X-Time-Left"), 1U);
}

TEST_F(WebSocketProxy, FailsUpgradeWhenServerChoosesSubprotocolThatWasNotOffered) {
    servers.emplace_back(rig.io).subprotocol = "another";
    serve(0);
    const auto client = send_upgrade("unsafe", "transcript.v1");
    ASSERT_TRUE(rig.until([&] { return client->over(); }));
    EXPECT_EQ(answers[client.get()].result_int(), 502U);
    EXPECT_EQ(rig.sidecar->sessions(), 0U);
}

TEST_F(WebSocketProxy, RejectsUpgradeWith503WhenSessionLimitIsReached) {
    settings.max_sessions = 1;
    serve();
    const auto first = open();
    const auto second = send_upgrade();
    ASSERT_TRUE(rig.until([&] { return second->over(); }));
    EXPECT_EQ(answers[second.get()].result_int(), 503U);
    EXPECT_EQ(answers[second.get()].count("Retry-After"), 1U);
    EXPECT_EQ(servers.front().upgrades, 1U);
    first->stream.async_close(ws::close_code::normal, [](Error) {});
    ASSERT_TRUE(rig.until([&] { return rig.sidecar->sessions() == 0; }));
    open();
}

TEST_F(WebSocketProxy, RejectsUpgradeWith403WhenClientHasMaximumOfSessions) {
    settings.max_sessions_per_client = 2;
    serve();
    const auto first = open(), second = open(), third = send_upgrade();
    ASSERT_TRUE(rig.until([&] { return third->over(); }));
    EXPECT_EQ(answers[third.get()].result_int(), 403U);
    first->stream.async_close(ws::close_code::normal, [](Error) {});
    ASSERT_TRUE(rig.until([&] { return rig.sidecar->sessions() == 1; }));
    open();
}

TEST_F(WebSocketProxy, ForwardsUpgradeAsPlainRequestWhenSwitchedOff) {
    settings.enabled = false;
    rig.servers.emplace_back(rig.io);
    begin(rig.targets());
    const auto client = send_raw_upgrade("safe");
    ASSERT_TRUE(rig.until([&] { return rig.servers.front().request_count() == 1; }));
    EXPECT_EQ(rig.servers.front().last_connection().received.find("Upgrade"), std::string::npos);
    rig.servers.front().last_connection().respond("200 OK", "body");
    ASSERT_TRUE(rig.until([&] { return client->received.ends_with("body"); }));
}

// The server has received the upgrade and its response is lost: retried where the class allows it, else
// failed at once.
TEST_F(WebSocketProxy, RetriesUpgradeAfterLostResponseOnlyAsItsClassAllows) {
    for (int i = 0; i < 2; ++i) rig.servers.emplace_back(rig.io);
    begin(rig.targets());
    const auto server_requests = [&] {
        return rig.servers.front().request_count() + rig.servers.back().request_count();
    };
    const auto reset_unanswered = [&] {
        for (FakeServer& s : rig.servers)
            for (const auto& p : s.connections) {
                if (p->request_count() <= p->answered_request_count) continue;
                ++p->answered_request_count;
                p->reset();
            }
    };
    std::size_t before = 0;
    for (const auto& [request_class, attempts] :
         {std::pair<std::string, std::size_t>{"unsafe", 1}, {"keyed", 4}, {"safe", 4}}) {
        const auto client = send_raw_upgrade(request_class);
        ASSERT_TRUE(rig.until([&] {
            reset_unanswered();
            return client->received.find("\r\n\r\n") != std::string::npos;
        })) << request_class;
        EXPECT_EQ(server_requests(), before + attempts)
            << request_class << ": at most four attempts, only one if non-idempotent";
        if (request_class == "unsafe") {
            EXPECT_EQ(status_of(*client), "HTTP/1.1 502") << "the server may have run it: not a rejection";
        }
        before = server_requests();
    }
}

TEST_F(WebSocketProxy, RetriesUnprocessedUpgradeAtAnotherServerAlsoWhenNonIdempotent) {
    for (int i = 0; i < 2; ++i) rig.servers.emplace_back(rig.io);
    begin(rig.targets());
    const auto client = send_raw_upgrade("unsafe");
    const auto server_requests = [&] {
        return rig.servers.front().request_count() + rig.servers.back().request_count();
    };
    ASSERT_TRUE(rig.until([&] { return server_requests() == 1; }));
    FakeServer& first = rig.servers.front().request_count() ? rig.servers.front() : rig.servers.back();
    first.last_connection().respond("503 Full", "", "X-Unprocessed: 1\r\n");
    ASSERT_TRUE(rig.until([&] { return server_requests() == 2; }));
}

TEST_F(WebSocketProxy, ClosesEachSessionOnceAndOpensNoneWhenServerDies) {
    serve();
    std::vector<std::shared_ptr<TestPeer>> clients;
    for (int i = 0; i < 20; ++i) clients.push_back(open());
    ASSERT_TRUE(rig.until([&] { return servers.front().peers.size() == 20; }));
    for (const auto& peer : servers.front().peers) {
        peer->stream.next_layer().set_option(asio::socket_base::linger(true, 0));
        peer->stream.next_layer().close();
    }
    ASSERT_TRUE(rig.until([&] {
        return std::all_of(clients.begin(), clients.end(), [](const auto& c) { return c->over(); });
    }));
    for (const auto& c : clients) {
        EXPECT_EQ(c->end_count, 1);
        EXPECT_EQ(c->code(), ws::close_code::internal_error);
        EXPECT_NE(std::string(c->reason.reason.c_str()).find("may have run"), std::string::npos);
    }
    ASSERT_TRUE(rig.until([&] { return rig.sidecar->sessions() == 0; }));
    EXPECT_EQ(servers.front().upgrades, 20U);
}

TEST_F(WebSocketProxy, ClosesServerSideAsGoingAwayWhenClientDies) {
    serve();
    const auto client = open();
    ASSERT_TRUE(
        rig.until([&] { return servers.front().peers.size() == 1 && servers.front().peers[0]->open; }));
    client->stream.next_layer().set_option(asio::socket_base::linger(true, 0));
    client->stream.next_layer().close();
    ASSERT_TRUE(rig.until([&] { return servers.front().peers[0]->over() && rig.sidecar->sessions() == 0; }));
    EXPECT_EQ(servers.front().peers[0]->code(), ws::close_code::going_away);
}

TEST_F(WebSocketProxy, ClosesSessionAsTooBigAfterOversizedMessage) {
    settings.max_message_bytes = 1000;
    serve();
    const auto client = open();
    client->send(std::string(1001, 'x'));
    ASSERT_TRUE(rig.until([&] { return client->over() && rig.sidecar->sessions() == 0; }));
    EXPECT_EQ(client->code(), ws::close_code::too_big);
    EXPECT_TRUE(servers.front().peers[0]->received.empty());
}

// The endpoint list reports a draining server: it gets no new session, and each of its sessions is closed
// once and properly at both sides.
TEST_F(WebSocketProxy, ClosesEachSessionOfDrainingServerProperlyAndOpensNoneThere) {
    settings.drain_spread = 200;
    serve(2);
    constexpr int kEach = 100;
    std::vector<std::shared_ptr<TestPeer>> clients;
    for (int i = 0; i < 2 * kEach; ++i) clients.push_back(open());
    SessionServer &draining = servers.front(), &other = servers.back();
    const std::size_t there = draining.upgrades;
    EXPECT_NEAR(static_cast<double>(there), kEach, 10) << "spread by the number of sessions";
    rig.begin_watch();
    drain_server(0);
    ASSERT_TRUE(rig.until([&] { return rig.sidecar->sessions() == 2 * kEach - there; }));
    ASSERT_TRUE(rig.until([&] {
        return static_cast<std::size_t>(std::count_if(clients.begin(), clients.end(),
                                                      [](const auto& c) { return c->over(); })) == there;
    }));
    for (const auto& c : clients)
        if (c->over()) {
            EXPECT_EQ(c->end_count, 1);
            EXPECT_EQ(c->error, ws::error::closed);
            EXPECT_EQ(c->code(), ws::close_code::service_restart);
            EXPECT_NE(std::string(c->reason.reason.c_str()).find("come back in"), std::string::npos);
        }
    ASSERT_TRUE(rig.until([&] {
        return std::all_of(draining.peers.begin(), draining.peers.end(),
                           [](const auto& e) { return e->over(); });
    }));
    for (const auto& e : draining.peers) EXPECT_EQ(e->end_count, 1);
    for (int i = 0; i < 50; ++i) open();
    EXPECT_EQ(draining.upgrades, there) << "no new session";
    EXPECT_EQ(other.upgrades, 2 * kEach - there + 50);
}

TEST_F(WebSocketProxy, ClosesSessionsAsGoingAwayOnShutdown) {
    settings.shutdown_spread = 50;
    serve();
    std::vector<std::shared_ptr<TestPeer>> clients;
    for (int i = 0; i < 10; ++i) clients.push_back(open());
    bool done = false;
    rig.sidecar->drain([&] { done = true; });
    ASSERT_TRUE(rig.until([&] { return done; }));
    EXPECT_EQ(rig.sidecar->sessions(), 0U);
    ASSERT_TRUE(rig.until([&] {
        return std::all_of(clients.begin(), clients.end(), [](const auto& c) { return c->over(); });
    }));
    for (const auto& c : clients) EXPECT_EQ(c->code(), ws::close_code::going_away);
}

// Neither side answers the close, and one does not even read: the handshake timeout ends the session.
TEST_F(WebSocketProxy, EndsSessionAfterTimeoutWhenPeersIgnoreClose) {
    settings.handshake_timeout = 300;
    settings.shutdown_spread = 1;
    serve();
    const auto client = open();
    ASSERT_TRUE(
        rig.until([&] { return servers.front().peers.size() == 1 && servers.front().peers[0]->open; }));
    client->reading = false;
    servers.front().peers[0]->send("the last that it reads");
    ASSERT_TRUE(rig.until([&] { return client->received.size() == 1; }));
    for (int i = 0; i < 200; ++i) servers.front().peers[0]->send(std::string(100000, 'x'));
    rig.handle_pending_events();
    bool done = false;
    rig.sidecar->drain([&] { done = true; });
    ASSERT_TRUE(rig.until([&] { return done; }));
}

// A client that stops reading stops its own server's writes. Another session goes on.
TEST_F(WebSocketProxy, SlowsOnlyTheWriterOfAStoppedReader) {
    serve();
    const auto slow = open();
    ASSERT_TRUE(
        rig.until([&] { return servers.front().peers.size() == 1 && servers.front().peers[0]->open; }));
    slow->reading = false;
    constexpr std::size_t kMessages = 400, kSize = 100000;
    TestPeer& flood = *servers.front().peers[0];
    for (std::size_t i = 0; i < kMessages; ++i) flood.send(std::string(kSize, 'x'));
    const auto quick = open();
    ASSERT_TRUE(
        rig.until([&] { return servers.front().peers.size() == 2 && servers.front().peers[1]->open; }));
    for (int i = 0; i < 200; ++i) servers.front().peers[1]->send("tick");
    ASSERT_TRUE(rig.until([&] { return quick->received.size() == 200; }));
    EXPECT_LT(flood.sent, kMessages) << "40 MB are not buffered for it";
    slow->reading = true;
    slow->read();
    ASSERT_TRUE(rig.until([&] { return slow->received.size() == kMessages; }));
}

// The client disconnects while its upgrade is at the server: the server's connection is closed.
TEST_F(WebSocketProxy, OpensNoSessionWhenClientDisconnectsDuringUpgrade) {
    rig.servers.emplace_back(rig.io);
    begin(rig.targets());
    const auto client = send_raw_upgrade("safe");
    ASSERT_TRUE(rig.until([&] { return rig.servers.front().request_count() == 1; }));
    client->close();
    ASSERT_TRUE(rig.until([&] { return rig.servers.front().last_connection().closed; }));
    ASSERT_TRUE(rig.until([&] { return rig.sidecar->requests() == 0; }));
    EXPECT_EQ(rig.sidecar->sessions(), 0U);
}

}  // namespace
}  // namespace elmbay::test
