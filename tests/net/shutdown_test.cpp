// Tests the graceful shutdown: accepted requests get their response, clients that stay connected do not delay
// the exit, and connections are closed without a reset, which would destroy a response.
#include <gtest/gtest.h>

#include <chrono>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "support/sidecar_fixture.hpp"

namespace elmbay::test {
namespace {

using std::chrono::milliseconds;

// The platform kills the process this many milliseconds after SIGTERM plus the longest deadline of the
// settings.
constexpr int kKillMarginMs = 700;

// A sidecar that drains, and a timer for the moment at which the platform would kill it.
struct ShutdownFixture : SidecarFixture {
    bool drained = false;
    bool killed = false;

    explicit ShutdownFixture(Millis longest_deadline = 60000) {
        for (Json& request_class : config["settings"]["classes"]) {
            request_class["give-up-ms"] = longest_deadline;
        }
        start();
    }

    void drain() {
        sidecar->drain([this] { drained = true; });
    }

    void drain_with_kill_timer(Millis longest_deadline) {
        drain();
        kill_timer_.expires_after(milliseconds(static_cast<int>(longest_deadline) + kKillMarginMs));
        kill_timer_.async_wait([this](boost::system::error_code error) { killed = !error; });
    }

private:
    asio::steady_timer kill_timer_{io};
};

// After SIGTERM requests in flight are finished, and new connections are served for a while. Then all are
// closed.
TEST(Shutdown, FinishesRequestsInFlightAndServesNewClients) {
    SidecarFixture fixture;
    fixture.start();
    FakeServer& server = fixture.servers.front();
    const auto early = fixture.connect_client();
    const auto idle = fixture.connect_client();
    early->send(SidecarFixture::request("unsafe"));
    ASSERT_TRUE(fixture.until([&] { return server.request_count() == 1; }));
    bool drained = false;
    fixture.sidecar->drain([&] { drained = true; });

    const auto late = fixture.connect_client();
    late->send(SidecarFixture::request("unsafe"));
    ASSERT_TRUE(fixture.until([&] { return server.request_count() == 2; }));
    ASSERT_TRUE(fixture.until([&] { return idle->closed; }));
    EXPECT_FALSE(drained);

    for (const auto& peer : server.connections) peer->respond("200 OK", "answer");
    for (const auto& client : {early, late}) {
        ASSERT_TRUE(fixture.until([&] { return client->closed; }));
        EXPECT_NE(client->received.find("answer"), std::string::npos);
        EXPECT_NE(client->received.find("Connection: close"), std::string::npos);
    }
    EXPECT_TRUE(fixture.until([&] { return drained; }));
}

// ---- Lingering close --------------------------------------------------------------------------------------

// A client sends a request while the sidecar closes the idle connection. The request must not be forwarded.
// After a clean close the client sends the request again on another connection; after a reset it would not.
TEST(LingeringClose, DoesNotForwardRequestSentDuringClose) {
    ShutdownFixture fixture;
    const auto client = fixture.connect_served_client();
    fixture.drain();
    ASSERT_TRUE(fixture.until([&] { return client->closed; }));
    EXPECT_EQ(client->close_error, asio::error::eof);
    client->send(SidecarFixture::request("safe"));
    boost::system::error_code error;
    asio::write(client->socket, asio::buffer(std::string("and more")), error);
    EXPECT_FALSE(error) << "the connection must not be reset: " << error.message();
    client->close();
    ASSERT_TRUE(fixture.until([&] { return fixture.drained; }));
    EXPECT_EQ(fixture.servers.front().request_count(), 1U);
}

// The last response must reach a client that has sent more bytes after its request, even if the sidecar no
// longer accepts connections.
TEST(LingeringClose, DeliversLastResponseDespitePipelinedBytes) {
    ShutdownFixture fixture;
    FakeServer& server = fixture.servers.front();
    tcp::socket socket(fixture.io);
    socket.connect(fixture.sidecar->local_endpoint());
    const auto client = std::make_shared<Peer>(std::move(socket));  // read() is not called yet
    client->send(SidecarFixture::request("safe"));
    ASSERT_TRUE(fixture.until([&] { return server.request_count() == 1; }));
    fixture.drain();
    const auto idle = fixture.connect_client();
    ASSERT_TRUE(fixture.until([&] { return idle->closed; })) << "the sidecar must have stopped accepting";

    const std::string body(400000, 'a');
    server.last_connection().respond("200 OK", body);
    ASSERT_TRUE(fixture.until([&] { return client->socket.available() > 0; }))
        << "the sidecar must be writing the response";
    client->send(SidecarFixture::request("safe"));
    client->read();
    ASSERT_TRUE(fixture.until([&] { return client->closed; }));
    EXPECT_EQ(client->close_error, asio::error::eof);
    EXPECT_TRUE(client->received.ends_with("\r\n\r\n" + body));
    client->close();
    ASSERT_TRUE(fixture.until([&] { return fixture.drained; }));
    EXPECT_EQ(server.request_count(), 1U);
}

// ---- Clients that stay connected --------------------------------------------------------------------------

// The shutdown must not wait for a request whose head arrives slowly, because its response would follow the
// kill. Guards against a request without any response: an incomplete one on a used connection had none.
TEST(Shutdown, RespondsToIncompleteRequestsWithoutWaitingForTheRest) {
    constexpr Millis kLongestDeadline = 1000;
    ShutdownFixture fixture(kLongestDeadline);
    const auto kept = fixture.connect_served_client();
    const auto fresh = fixture.connect_client();
    const std::string request = SidecarFixture::request("safe");
    for (const auto& client : {kept, fresh}) client->send(request.substr(0, 40));
    fixture.handle_pending_events();
    fixture.drain_with_kill_timer(kLongestDeadline);
    ASSERT_TRUE(fixture.until([&] { return kept->closed && fresh->closed; }));
    for (const auto& client : {kept, fresh}) {
        EXPECT_EQ(status_of(*client), "HTTP/1.1 408");
        EXPECT_EQ(client->close_error, asio::error::eof) << "a reset would destroy the response";
        client->close();
    }
    ASSERT_TRUE(fixture.until([&] { return fixture.drained || fixture.killed; }));
    EXPECT_TRUE(fixture.drained);
    EXPECT_EQ(fixture.servers.front().request_count(), 1U);
}

// Guards against a lost response: a client that is still writing when its request is rejected at the end of
// the reading must be able to read the rejection after its last byte, and the request must not be forwarded.
TEST(Shutdown, KeepsRejectionReadableForClientThatCompletesItsRequestLater) {
    ShutdownFixture fixture;
    const auto client = fixture.connect_served_client();
    const std::string request = SidecarFixture::request("unsafe");
    client->send(request.substr(0, request.size() / 2));
    fixture.handle_pending_events();
    fixture.drain();
    ASSERT_TRUE(fixture.until([&] { return client->closed; }));
    boost::system::error_code error;
    asio::write(client->socket, asio::buffer(request.substr(request.size() / 2)), error);
    EXPECT_FALSE(error) << "the connection must not be reset: " << error.message();
    EXPECT_EQ(status_of(*client), "HTTP/1.1 408");
    client->close();
    ASSERT_TRUE(fixture.until([&] { return fixture.drained; }));
    EXPECT_EQ(fixture.servers.front().request_count(), 1U);
}

// Covers a client whose request was rejected, one that never sent anything, and one that was served.
TEST(Shutdown, DoesNotWaitForIdleClients) {
    constexpr Millis kLongestDeadline = 1000;
    ShutdownFixture fixture(kLongestDeadline);
    const auto rejected = fixture.connect_client();
    const auto silent = fixture.connect_client();
    const auto kept = fixture.connect_served_client();
    rejected->send("GET /elsewhere HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(fixture.until([&] { return rejected->received.size() > 12; }));
    fixture.drain_with_kill_timer(kLongestDeadline);
    for (const auto& client : {rejected, silent, kept}) {
        ASSERT_TRUE(fixture.until([&] { return client->closed; }));
        EXPECT_EQ(client->close_error, asio::error::eof);
        client->close();
    }
    ASSERT_TRUE(fixture.until([&] { return fixture.drained || fixture.killed; }));
    EXPECT_TRUE(fixture.drained);
}

// ---- Shutdown under load ----------------------------------------------------------------------------------

// Clients that send a request whenever their connection is open and has none in flight. New clients connect
// during the first 400 ms.
class ClientsUnderLoad {
public:
    ClientsUnderLoad(SidecarFixture& fixture, std::size_t count)
        : fixture_(fixture), tick_timer_(fixture.io) {
        for (std::size_t i = 0; i < count; ++i) add(fixture_.connect_served_client());
    }

    // Every client sends a request now. After that, a quarter of them sends every 10 ms in turn, until
    // stop().
    void start() {
        started_at_ = clock_.now();
        for (Client& client : clients_) send(client, "unsafe");
        schedule_tick();
    }

    void stop() {
        tick_timer_.cancel();
        for (const Client& client : clients_) client.peer->read_available();
    }

    std::size_t response_count() const {
        std::size_t count = 0;
        for (const Client& client : clients_) count += client.peer->response_count();
        return count;
    }
    std::size_t requests_without_response() const { return request_count() - response_count(); }

    void expect_at_most_one_response_per_request() const {
        for (const Client& client : clients_) EXPECT_LE(client.peer->response_count(), client.requests);
    }

private:
    struct Client {
        std::shared_ptr<Peer> peer;
        std::size_t requests = 0;
    };
    static constexpr std::size_t kClientGroups = 4;  // a quarter of the clients sends at each tick

    void add(std::shared_ptr<Peer> peer) { clients_.push_back({std::move(peer)}); }

    static void send(Client& client, const std::string& request_class) {
        ++client.requests;
        client.peer->send(SidecarFixture::request(request_class, "1000m"));
    }

    std::size_t request_count() const {
        std::size_t count = 0;
        for (const Client& client : clients_) count += client.requests;
        return count;
    }

    void schedule_tick() {
        tick_timer_.expires_after(milliseconds(10));
        tick_timer_.async_wait([this](boost::system::error_code error) {
            if (!error) tick();
        });
    }

    void tick() {
        if (clock_.now() < started_at_ + 400) add(fixture_.connect_client());
        for (std::size_t i = ticks_ % kClientGroups; i < clients_.size(); i += kClientGroups) {
            Client& client = clients_[i];
            const bool idle = !client.peer->closed && client.requests == client.peer->response_count();
            if (idle) send(client, i % 3 == 0 ? "safe" : "unsafe");
        }
        for (const Client& client : clients_) {
            if (client.peer->closed && client.peer->socket.is_open()) client.peer->close();
        }
        ++ticks_;
        schedule_tick();
    }

    SidecarFixture& fixture_;
    const Clock clock_;
    asio::steady_timer tick_timer_;
    std::vector<Client> clients_;
    Millis started_at_ = 0;
    std::size_t ticks_ = 0;
};

// Returns the correlation ids of the requests that a server received. A retry has the id of its first
// attempt.
std::set<std::string> correlation_ids_at(const FakeServer& server) {
    const std::string name = "X-Correlation-Id: ";
    std::set<std::string> ids;
    for (const auto& peer : server.connections) {
        std::size_t begin = peer->received.find(name);
        while (begin != std::string::npos) {
            const std::size_t end = peer->received.find("\r\n", begin);
            ids.insert(peer->received.substr(begin, end - begin));
            begin = peer->received.find(name, begin + 1);
        }
    }
    return ids;
}

// Servers hang, and clients keep sending on every connection that stays open. The platform kills the process
// 0.7 s after the longest deadline. Every forwarded request must have its response by then.
TEST(ShutdownUnderLoad, RespondsToForwardedRequestsBeforeKillWhenServersHang) {
    constexpr Millis kLongestDeadline = 1000;
    ShutdownFixture fixture(kLongestDeadline);
    ClientsUnderLoad clients(fixture, 20);
    const std::size_t served_before = fixture.servers.front().request_count();
    fixture.drain_with_kill_timer(kLongestDeadline);
    clients.start();
    ASSERT_TRUE(fixture.until([&] { return fixture.drained || fixture.killed; }));
    clients.stop();
    clients.expect_at_most_one_response_per_request();
    const std::size_t forwarded = correlation_ids_at(fixture.servers.front()).size();
    EXPECT_GT(forwarded, served_before) << "some requests must arrive during the shutdown";
    EXPECT_LE(forwarded - served_before, clients.response_count())
        << clients.requests_without_response() << " requests were sent while their connections closed";
}

// A client that reads its long response slowly keeps a connection without `Connection: close`. A request that
// it sends too late for a response before the kill is rejected at once and not forwarded.
TEST(ShutdownUnderLoad, RejectsRequestThatArrivesAfterRequestCutoff) {
    SidecarFixture fixture;
    fixture.config["limits"]["memory_mb"] = 64;
    fixture.start();
    FakeServer& server = fixture.servers.front();
    const auto client = fixture.connect_slow_client();
    client->send(SidecarFixture::request("safe"));
    ASSERT_TRUE(fixture.until([&] { return server.request_count() == 1; }));
    const std::string body(400000, 'a');
    server.last_connection().respond("200 OK", body);
    ASSERT_TRUE(fixture.until([&] { return client->socket.available() > 0; }))
        << "the sidecar must be writing the response";
    fixture.sidecar->drain([] {});
    fixture.run_for(milliseconds(static_cast<int>(GracefulShutdown::kRequestCutoff) + 50));
    client->send(SidecarFixture::request("unsafe"));
    client->read();
    ASSERT_TRUE(fixture.until([&] { return client->closed || server.request_count() == 2; }));
    EXPECT_EQ(server.request_count(), 1U);
    const std::size_t second_response = client->received.find("HTTP/1.1 ", 10);
    ASSERT_NE(second_response, std::string::npos) << "a request that was read must get a response";
    EXPECT_EQ(client->received.substr(second_response, 12), "HTTP/1.1 503");
    EXPECT_EQ(client->close_error, asio::error::eof);
}

}  // namespace
}  // namespace elmbay::test
