// Sessions over loopback sockets: stand-in servers and clients on Beast, or byte by byte where it must be
// wrong.
#include <gtest/gtest.h>

#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <map>

#include "net_rig.hpp"
#include "syscall_faults/faults.hpp"
#include "websocket/session.hpp"

namespace elmbay::test {
namespace {

namespace ws = boost::beast::websocket;
using Error = boost::system::error_code;
using websocket::Stream;

// One end of a session: collects messages, and how it ended.
struct End : std::enable_shared_from_this<End> {
    explicit End(tcp::socket socket) : stream(std::move(socket)) {}
    void read() {
        stream.async_read(buffer, [self = shared_from_this()](Error error, std::size_t) {
            if (error) {
                ++self->ends;
                self->error = error;
                self->reason = self->stream.reason();
                return;
            }
            self->got.push_back(boost::beast::buffers_to_string(self->buffer.data()));
            self->text.push_back(self->stream.got_text());
            self->buffer.clear();
            if (self->reading) self->read();
        });
    }
    // Queued: one write at a time.
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
    bool over() const { return ends > 0; }
    unsigned code() const { return reason.code; }

    Stream stream;
    boost::beast::flat_buffer buffer;
    std::deque<std::pair<std::string, bool>> waiting;
    std::vector<std::string> got;
    std::vector<bool> text;
    std::size_t sent = 0;
    bool reading = true, open = false;
    int ends = 0;
    Error error;
    ws::close_reason reason;
};

// Takes upgrades, in the subprotocol that it is told, if any.
struct SessionServer {
    explicit SessionServer(asio::io_context& io) : acceptor(io, loopback()) { accept(); }
    void accept() {
        acceptor.async_accept([this](Error error, tcp::socket socket) {
            if (error) return;
            auto end = std::make_shared<End>(std::move(socket));
            ends.push_back(end);
            http::async_read(
                end->stream.next_layer(), end->buffer, asked, [this, end](Error failed, std::size_t) {
                    if (failed) return;
                    end->buffer.clear();
                    ++upgrades;
                    end->stream.set_option(ws::stream_base::decorator([this](ws::response_type& r) {
                        if (!subprotocol.empty()) r.set(http::field::sec_websocket_protocol, subprotocol);
                    }));
                    end->stream.async_accept(asked, [end](Error) {
                        end->open = true;
                        end->read();
                    });
                });
            accept();
        });
    }
    tcp::acceptor acceptor;
    http::request<http::string_body> asked;  // the last
    std::vector<std::shared_ptr<End>> ends;
    std::string subprotocol;
    std::size_t upgrades = 0;
};

struct Sessions : testing::Test {
    NetRig rig{0};
    std::list<SessionServer> servers;
    websocket::Settings settings;

    Sessions() { settings.on = true; }
    void serve(std::size_t count = 1) {
        Json targets = Json::array();
        for (std::size_t i = 0; i < count; ++i) servers.emplace_back(rig.io);
        std::size_t index = 0;
        for (const auto& s : servers)
            targets.push_back(rig.target(index++, text_of(s.acceptor.local_endpoint())));
        begin(targets);
    }
    void begin(const Json& targets) {
        rig.config["known"] = {{"rev", 1}, {"all", true}, {"targets", targets}};
        rig.start({}, settings);
    }
    std::shared_ptr<End> ask(const std::string& grade = "safe", const std::string& more = "") {
        tcp::socket socket(rig.io);
        socket.connect(rig.sidecar->local_endpoint());
        auto end = std::make_shared<End>(std::move(socket));
        end->stream.set_option(ws::stream_base::decorator([grade, more](ws::request_type& r) {
            static int number = 0;
            r.set("X-Correlation-Id", "ws-" + std::to_string(++number));
            r.set("X-Service-Class", grade);
            r.set("X-Time-Left", "50000m");
            if (grade == "keyed") r.set("Idempotency-Key", "k");
            if (!more.empty()) r.set("Sec-WebSocket-Protocol", more);
        }));
        auto answer = std::make_shared<ws::response_type>();
        end->stream.async_handshake(*answer, "app.svc", "/api/live", [this, end, answer](Error error) {
            answers[end.get()] = *answer;
            if (error) {
                end->error = error;
                ++end->ends;
                return;
            }
            end->open = true;
            end->read();
        });
        return end;
    }
    std::shared_ptr<End> open(const std::string& grade = "safe") {
        auto end = ask(grade);
        EXPECT_TRUE(rig.until([&] { return end->open || end->over(); }));
        EXPECT_TRUE(end->open) << answers[end.get()];
        return end;
    }
    // A raw upgrade by a client, for servers that answer byte by byte.
    std::shared_ptr<Peer> raw(const std::string& grade) {
        static int number = 0;
        auto peer = rig.client();
        peer->send(
            "GET /api/live HTTP/1.1\r\nHost: app.svc\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
            "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n"
            "X-Correlation-Id: raw-" +
            std::to_string(++number) + "\r\nX-Service-Class: " + grade + "\r\nX-Time-Left: 50000m\r\n" +
            (grade == "keyed" ? "Idempotency-Key: k\r\n" : "") + "\r\n");
        return peer;
    }
    void drain_server(std::size_t index) {
        Json entry = rig.target(index, text_of(std::next(servers.begin(), index)->acceptor.local_endpoint()),
                                "leaving");
        rig.chunk(rig.line(Json::array({entry}), false));
    }
    std::map<End*, ws::response_type> answers;
};

TEST_F(Sessions, PassMessagesBothWaysAsTheyAre) {
    serve();
    const auto client = open();
    ASSERT_TRUE(rig.until([&] { return servers.front().ends.size() == 1 && servers.front().ends[0]->open; }));
    End& server = *servers.front().ends[0];
    const std::string large(100000, 'x'), bytes("\x00\xff\x80", 3);
    client->send("hello");
    client->send(large);
    client->send(bytes, false);
    client->send("");
    server.send("one");
    server.send(bytes, false);
    ASSERT_TRUE(rig.until([&] { return server.got.size() == 4 && client->got.size() == 2; }));
    EXPECT_EQ(server.got, (std::vector<std::string>{"hello", large, bytes, ""}));
    EXPECT_EQ(server.text, (std::vector<bool>{true, true, false, true}));
    EXPECT_EQ(client->got, (std::vector<std::string>{"one", bytes}));
    EXPECT_EQ(client->text, (std::vector<bool>{true, false}));
    EXPECT_EQ(rig.sidecar->sessions(), 1U);
    EXPECT_EQ(rig.sidecar->requests(), 0U);
    // A close in good order reaches the other side with its code.
    client->stream.async_close({ws::close_code::policy_error, "enough"}, [](Error) {});
    ASSERT_TRUE(rig.until([&] { return server.over() && rig.sidecar->sessions() == 0; }));
    EXPECT_EQ(server.error, ws::error::closed);
    EXPECT_EQ(server.code(), ws::close_code::policy_error);
    EXPECT_EQ(server.reason.reason, "enough");
}

// Messages that are longer than any one call takes, in both directions, with all ends' calls cut short and
// interrupted: each comes once, whole and in order.
TEST_F(Sessions, ShortAndInterruptedCallsLoseNoMessage) {
    serve();
    const auto client = open();
    ASSERT_TRUE(rig.until([&] { return servers.front().ends.size() == 1 && servers.front().ends[0]->open; }));
    End& server = *servers.front().ends[0];
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
    ASSERT_TRUE(rig.until([&] { return server.got.size() == kMessages && client->got.size() == kMessages; }));
    EXPECT_EQ(server.got, there);
    EXPECT_EQ(client->got, back);
    EXPECT_GT(syscall_faults::failed(0), 0U);
    client->stream.async_close({ws::close_code::normal, "enough"}, [](Error) {});
    ASSERT_TRUE(rig.until([&] { return server.over() && rig.sidecar->sessions() == 0; }));
    EXPECT_EQ(server.error, ws::error::closed);
}

TEST_F(Sessions, AgreeOnASubprotocolThatTheServerChose) {
    servers.emplace_back(rig.io).subprotocol = "transcript.v1";
    serve(0);
    const auto client = ask("safe", "transcript.v2, transcript.v1");
    ASSERT_TRUE(rig.until([&] { return client->open || client->over(); }));
    EXPECT_EQ(answers[client.get()]["Sec-WebSocket-Protocol"], "transcript.v1");
    EXPECT_EQ(servers.front().asked["Sec-WebSocket-Protocol"], "transcript.v2, transcript.v1");
    EXPECT_EQ(servers.front().asked["Host"], "app.svc");
    EXPECT_EQ(servers.front().asked.count("X-Time-Left"), 1U);
}

TEST_F(Sessions, OneThatNobodyOfferedIsNoSession) {
    servers.emplace_back(rig.io).subprotocol = "another";
    serve(0);
    const auto client = ask("unsafe", "transcript.v1");
    ASSERT_TRUE(rig.until([&] { return client->over(); }));
    EXPECT_EQ(answers[client.get()].result_int(), 502U);
    EXPECT_EQ(rig.sidecar->sessions(), 0U);
}

TEST_F(Sessions, WithoutAPlaceAnUpgradeIsRefusedAsHttpAtOnce) {
    settings.most = 1;
    serve();
    const auto first = open();
    const auto second = ask();
    ASSERT_TRUE(rig.until([&] { return second->over(); }));
    EXPECT_EQ(answers[second.get()].result_int(), 503U);
    EXPECT_EQ(answers[second.get()].count("Retry-After"), 1U);
    EXPECT_EQ(servers.front().upgrades, 1U);
    first->stream.async_close(ws::close_code::normal, [](Error) {});
    ASSERT_TRUE(rig.until([&] { return rig.sidecar->sessions() == 0; }));
    open();
}

TEST_F(Sessions, OneClientHasNoMoreThanItsPart) {
    settings.most_of_client = 2;
    serve();
    const auto first = open(), second = open(), third = ask();
    ASSERT_TRUE(rig.until([&] { return third->over(); }));
    EXPECT_EQ(answers[third.get()].result_int(), 403U);
    first->stream.async_close(ws::close_code::normal, [](Error) {});
    ASSERT_TRUE(rig.until([&] { return rig.sidecar->sessions() == 1; }));
    open();
}

TEST_F(Sessions, SwitchedOffAnUpgradeIsARequestLikeAllOthers) {
    settings.on = false;
    rig.servers.emplace_back(rig.io);
    begin(rig.targets());
    const auto client = raw("safe");
    ASSERT_TRUE(rig.until([&] { return rig.servers.front().requests() == 1; }));
    EXPECT_EQ(rig.servers.front().last().got.find("Upgrade"), std::string::npos);
    rig.servers.front().last().respond("200 OK", "body");
    ASSERT_TRUE(rig.until([&] { return client->got.ends_with("body"); }));
}

// The server has it and the reply is lost: once more where the class allows it, else a failure at once.
TEST_F(Sessions, AnUpgradeWhoseReplyIsLostIsTriedAgainAsItsClassAllows) {
    for (int i = 0; i < 2; ++i) rig.servers.emplace_back(rig.io);
    begin(rig.targets());
    const auto asked = [&] { return rig.servers.front().requests() + rig.servers.back().requests(); };
    const auto lose = [&] {
        for (FakeServer& s : rig.servers)
            for (const auto& p : s.peers)
                if (p->requests() > p->answered) ++p->answered, p->reset();
    };
    std::size_t before = 0;
    for (const auto& [grade, attempts] :
         {std::pair<std::string, std::size_t>{"unsafe", 1}, {"keyed", 4}, {"safe", 4}}) {
        const auto client = raw(grade);
        ASSERT_TRUE(rig.until([&] {
            lose();
            return client->got.find("\r\n\r\n") != std::string::npos;
        })) << grade;
        EXPECT_EQ(asked(), before + attempts)
            << grade << ": at most four, at most one that may not be repeated";
        if (grade == "unsafe") {
            EXPECT_EQ(status_of(*client), "HTTP/1.1 502") << "it may stand at the server: no refusal";
        }
        before = asked();
    }
}

TEST_F(Sessions, ATurnedAwayUpgradeGoesToAnotherServerAlsoWhereNothingMayRunTwice) {
    for (int i = 0; i < 2; ++i) rig.servers.emplace_back(rig.io);
    begin(rig.targets());
    const auto client = raw("unsafe");
    const auto asked = [&] { return rig.servers.front().requests() + rig.servers.back().requests(); };
    ASSERT_TRUE(rig.until([&] { return asked() == 1; }));
    FakeServer& first = rig.servers.front().requests() ? rig.servers.front() : rig.servers.back();
    first.last().respond("503 Full", "", "X-Unprocessed: 1\r\n");
    ASSERT_TRUE(rig.until([&] { return asked() == 2; }));
}

TEST_F(Sessions, AServerThatDiesEndsThemOnceAndNothingIsOpenedAnew) {
    serve();
    std::vector<std::shared_ptr<End>> clients;
    for (int i = 0; i < 20; ++i) clients.push_back(open());
    ASSERT_TRUE(rig.until([&] { return servers.front().ends.size() == 20; }));
    for (const auto& end : servers.front().ends) {
        end->stream.next_layer().set_option(asio::socket_base::linger(true, 0));
        end->stream.next_layer().close();
    }
    ASSERT_TRUE(rig.until([&] {
        return std::all_of(clients.begin(), clients.end(), [](const auto& c) { return c->over(); });
    }));
    for (const auto& c : clients) {
        EXPECT_EQ(c->ends, 1);
        EXPECT_EQ(c->code(), ws::close_code::internal_error);
        EXPECT_NE(std::string(c->reason.reason.c_str()).find("may have run"), std::string::npos);
    }
    ASSERT_TRUE(rig.until([&] { return rig.sidecar->sessions() == 0; }));
    EXPECT_EQ(servers.front().upgrades, 20U);
}

TEST_F(Sessions, AClientThatDiesIsToldToItsServer) {
    serve();
    const auto client = open();
    ASSERT_TRUE(rig.until([&] { return servers.front().ends.size() == 1 && servers.front().ends[0]->open; }));
    client->stream.next_layer().set_option(asio::socket_base::linger(true, 0));
    client->stream.next_layer().close();
    ASSERT_TRUE(rig.until([&] { return servers.front().ends[0]->over() && rig.sidecar->sessions() == 0; }));
    EXPECT_EQ(servers.front().ends[0]->code(), ws::close_code::going_away);
}

TEST_F(Sessions, AMessageThatIsTooLongEndsItsSession) {
    settings.most_message = 1000;
    serve();
    const auto client = open();
    client->send(std::string(1001, 'x'));
    ASSERT_TRUE(rig.until([&] { return client->over() && rig.sidecar->sessions() == 0; }));
    EXPECT_EQ(client->code(), ws::close_code::too_big);
    EXPECT_TRUE(servers.front().ends[0]->got.empty());
}

// Told that a server drains: nothing new there, and each session there has one end, in good order, at both
// sides.
TEST_F(Sessions, ADrainingServerIsLeftInGoodOrder) {
    settings.drain = 200;
    serve(2);
    constexpr int kEach = 100;
    std::vector<std::shared_ptr<End>> clients;
    for (int i = 0; i < 2 * kEach; ++i) clients.push_back(open());
    SessionServer &draining = servers.front(), &other = servers.back();
    const std::size_t there = draining.upgrades;
    EXPECT_NEAR(static_cast<double>(there), kEach, 10) << "spread by what is held";
    rig.watch_begins();
    drain_server(0);
    ASSERT_TRUE(rig.until([&] { return rig.sidecar->sessions() == 2 * kEach - there; }));
    ASSERT_TRUE(rig.until([&] {
        return static_cast<std::size_t>(std::count_if(clients.begin(), clients.end(),
                                                      [](const auto& c) { return c->over(); })) == there;
    }));
    for (const auto& c : clients)
        if (c->over()) {
            EXPECT_EQ(c->ends, 1);
            EXPECT_EQ(c->error, ws::error::closed);
            EXPECT_EQ(c->code(), ws::close_code::service_restart);
            EXPECT_NE(std::string(c->reason.reason.c_str()).find("come back in"), std::string::npos);
        }
    ASSERT_TRUE(rig.until([&] {
        return std::all_of(draining.ends.begin(), draining.ends.end(),
                           [](const auto& e) { return e->over(); });
    }));
    for (const auto& e : draining.ends) EXPECT_EQ(e->ends, 1);
    for (int i = 0; i < 50; ++i) open();
    EXPECT_EQ(draining.upgrades, there) << "nothing new";
    EXPECT_EQ(other.upgrades, 2 * kEach - there + 50);
}

TEST_F(Sessions, OfASidecarThatEndsAreToldSo) {
    settings.ending = 50;
    serve();
    std::vector<std::shared_ptr<End>> clients;
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

// Neither side answers the close, one does not even read: the time for it bounds the session all the same.
TEST_F(Sessions, APeerThatAnswersNoCloseIsNotWaitedForLongerThanItsTime) {
    settings.handshake = 300;
    settings.ending = 1;
    serve();
    const auto client = open();
    ASSERT_TRUE(rig.until([&] { return servers.front().ends.size() == 1 && servers.front().ends[0]->open; }));
    client->reading = false;
    servers.front().ends[0]->send("the last that it reads");
    ASSERT_TRUE(rig.until([&] { return client->got.size() == 1; }));
    for (int i = 0; i < 200; ++i) servers.front().ends[0]->send(std::string(100000, 'x'));
    rig.settle();
    bool done = false;
    rig.sidecar->drain([&] { done = true; });
    ASSERT_TRUE(rig.until([&] { return done; }));
}

// A client that stops reading stops its own server's writes; another session goes on.
TEST_F(Sessions, AStoppedReaderHoldsUpItsOwnWriterAndNobodyElse) {
    serve();
    const auto slow = open();
    ASSERT_TRUE(rig.until([&] { return servers.front().ends.size() == 1 && servers.front().ends[0]->open; }));
    slow->reading = false;
    constexpr std::size_t kMessages = 400, kSize = 100000;
    End& flood = *servers.front().ends[0];
    for (std::size_t i = 0; i < kMessages; ++i) flood.send(std::string(kSize, 'x'));
    const auto quick = open();
    ASSERT_TRUE(rig.until([&] { return servers.front().ends.size() == 2 && servers.front().ends[1]->open; }));
    for (int i = 0; i < 200; ++i) servers.front().ends[1]->send("tick");
    ASSERT_TRUE(rig.until([&] { return quick->got.size() == 200; }));
    EXPECT_LT(flood.sent, kMessages) << "40 MB are not held for it";
    slow->reading = true;
    slow->read();
    ASSERT_TRUE(rig.until([&] { return slow->got.size() == kMessages; }));
}

// A client that has gone while its upgrade was at the server: no session, and the server's is closed.
TEST_F(Sessions, AClientThatLeavesBeforeItsAnswerLeavesNoSession) {
    rig.servers.emplace_back(rig.io);
    begin(rig.targets());
    const auto client = raw("safe");
    ASSERT_TRUE(rig.until([&] { return rig.servers.front().requests() == 1; }));
    client->close();
    ASSERT_TRUE(rig.until([&] { return rig.servers.front().last().closed; }));
    ASSERT_TRUE(rig.until([&] { return rig.sidecar->requests() == 0; }));
    EXPECT_EQ(rig.sidecar->sessions(), 0U);
}

}  // namespace
}  // namespace elmbay::test
