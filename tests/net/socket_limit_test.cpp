// Tests the limit on descriptors: which connections are closed to free a socket, and how requests that arrive
// while no socket is free are handled.
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "net/listener.hpp"
#include "support/sidecar_fixture.hpp"

namespace elmbay::test {
namespace {

using std::chrono::milliseconds;

// The number of sockets out of `limits.sockets` that the sidecar reserves for itself.
constexpr std::size_t kReservedSockets = 24;

TEST(SocketLimit, ClosesIdleConnectionsToAcceptNewOnes) {
    SidecarFixture fixture;
    fixture.config["limits"]["sockets"] = kReservedSockets + 12;
    fixture.start();
    FakeServer& server = fixture.servers.front();
    std::vector<std::shared_ptr<Peer>> clients;
    for (std::size_t i = 1; i <= 40; ++i) {
        clients.push_back(fixture.connect_client());
        clients.back()->send(SidecarFixture::request("safe"));
        ASSERT_TRUE(fixture.until([&] { return server.request_count() == i; }));
        server.last_connection().respond("200 OK", "answer");
        ASSERT_TRUE(
            fixture.until([&] { return clients.back()->received.find("answer") != std::string::npos; }));
    }
}

// While all sockets are in use, accepting pauses. It resumes when a connection becomes idle, even though none
// was closed. Server connections have their own share of the sockets; otherwise no request could be sent.
TEST(SocketLimit, ResumesAcceptingWhenConnectionBecomesIdle) {
    SidecarFixture fixture;
    fixture.config["limits"]["sockets"] = kReservedSockets + 16;
    fixture.start();
    FakeServer& server = fixture.servers.front();
    std::vector<std::shared_ptr<Peer>> clients;
    for (int i = 0; i < 30; ++i) {
        clients.push_back(fixture.connect_client());
        clients.back()->send(SidecarFixture::request("safe"));
    }
    ASSERT_TRUE(fixture.until([&] {
        server.respond_to_all();
        return std::all_of(clients.begin(), clients.end(),
                           [](const auto& client) { return client->received.size() > 12; });
    }));
    for (const auto& client : clients) {
        const std::string status = status_of(*client);
        EXPECT_TRUE(status == "HTTP/1.1 200" || status == "HTTP/1.1 503") << client->received;
    }
    EXPECT_GT(server.request_count(), 4U);
}

// Requests that arrive while all sockets are in use must not wait in the kernel's queue, where their deadline
// would pass without a response.
TEST(SocketLimit, RejectsRequestsAtOnceWhenAllSocketsAreInUse) {
    SidecarFixture fixture;
    fixture.config["limits"]["sockets"] = kReservedSockets + 20;
    fixture.start();
    FakeServer& server = fixture.servers.front();
    std::vector<std::shared_ptr<Peer>> clients;
    for (int i = 0; i < 60; ++i) {
        clients.push_back(fixture.connect_client());
        clients.back()->send(SidecarFixture::request("unsafe"));
    }
    const auto responses = [&] {
        return std::count_if(clients.begin(), clients.end(),
                             [](const auto& client) { return !client->received.empty(); });
    };
    ASSERT_TRUE(fixture.until([&] { return responses() == 54 && server.request_count() == 6; }))
        << responses() << " responses, " << server.request_count() << " in flight";
    for (const auto& client : clients) {
        if (!client->received.empty()) {
            EXPECT_EQ(status_of(*client), "HTTP/1.1 503");
        }
    }
}

// A flood of silent clients must displace neither the idle connections to servers nor the clients that send
// requests.
TEST(SocketLimit, ClosesSilentClientsFirstAndKeepsServerConnections) {
    SidecarFixture fixture;
    fixture.config["limits"]["sockets"] = kReservedSockets + 24;
    fixture.start();
    FakeServer& server = fixture.servers.front();
    const auto kept = fixture.connect_client();
    const auto expect_served = [&](const std::shared_ptr<Peer>& client) {
        client->received.clear();
        const std::size_t requests_before = server.request_count();
        client->send(SidecarFixture::request("unsafe"));
        ASSERT_TRUE(fixture.until([&] { return server.request_count() == requests_before + 1; }));
        server.last_connection().respond("200 OK", "answer");
        ASSERT_TRUE(fixture.until([&] { return client->received.find("answer") != std::string::npos; }));
    };
    expect_served(kept);
    constexpr std::size_t kSilentClients = 100;
    std::vector<std::shared_ptr<Peer>> silent;
    silent.reserve(kSilentClients);
    for (std::size_t i = 0; i < kSilentClients; ++i) silent.push_back(fixture.connect_client());
    expect_served(fixture.connect_client());
    expect_served(kept);
    EXPECT_FALSE(kept->closed);
    EXPECT_EQ(server.connections.size(), 1U) << "one connection to the server must carry all requests";
}

// Clients that keep their connection and send nothing, or only GET /up, must not delay accepting others,
// whose deadlines run while they wait in the kernel's queue. An earlier version accepted only about twenty
// connections a second in this case.
TEST(SocketLimit, AcceptsRequestsPromptlyDespiteManyIdleClients) {
    SidecarFixture fixture;
    fixture.config["limits"]["sockets"] = kReservedSockets + 48;
    fixture.start();
    FakeServer& server = fixture.servers.front();
    std::vector<std::shared_ptr<Peer>> clients;
    std::size_t requests_sent = 0;
    for (int i = 0; i < 400; ++i) {
        clients.push_back(fixture.connect_client());
        if (i % 10 == 9) {
            clients.back()->send(SidecarFixture::request("safe"));
            ASSERT_TRUE(fixture.until([&] { return server.request_count() == requests_sent + 1; })) << i;
            ++requests_sent;
            server.last_connection().respond("200 OK", "answer");
            ASSERT_TRUE(
                fixture.until([&] { return clients.back()->received.find("answer") != std::string::npos; }));
        } else if (i % 3 > 0) {
            clients.back()->send("GET /up HTTP/1.1\r\nHost: h\r\n\r\n");
        }
    }
}

// ---- Connections with unread bytes ------------------------------------------------------------------------

constexpr std::size_t kSocketLimit = 64;
// Of 64 sockets clients get 14. One of these is reserved for the connection that is accepted next.
constexpr std::size_t kClientSockets = 13;

// Further clients connect while no socket is free and every evictable connection has an unread request. The
// event loop handles the further clients first. Each request must get exactly one response.
struct AllSocketsInUseFixture {
    SidecarFixture fixture;
    std::vector<std::shared_ptr<Peer>> clients;
    std::vector<std::string> unsent_request_parts;  // sent after the further clients connect

    AllSocketsInUseFixture() {
        fixture.config["limits"]["sockets"] = kSocketLimit;
        fixture.start();
    }

    void expect_one_response_each_when_more_clients_come() {
        std::vector<std::shared_ptr<Peer>> further_clients;
        for (int i = 0; i < 3; ++i) {
            further_clients.push_back(fixture.connect_client());
            further_clients.back()->send(SidecarFixture::request("safe"));
        }
        for (std::size_t i = 0; i < clients.size(); ++i) clients[i]->send(unsent_request_parts[i]);
        clients.insert(clients.end(), further_clients.begin(), further_clients.end());
        ASSERT_TRUE(fixture.until([&] {
            fixture.servers.front().respond_to_all();
            return std::all_of(clients.begin(), clients.end(), [](const auto& client) {
                return client->closed || client->response_count() > 0;
            });
        }));
        for (const auto& client : clients) {
            const std::string status = status_of(*client);
            EXPECT_EQ(client->response_count(), 1U) << client->received;
            EXPECT_TRUE(status == "HTTP/1.1 200" || status == "HTTP/1.1 503") << client->received;
        }
    }
};

TEST(SocketLimit, KeepsIdleConnectionWithUnreadRequest) {
    AllSocketsInUseFixture full;
    for (std::size_t i = 0; i < kClientSockets; ++i) {
        full.clients.push_back(full.fixture.connect_served_client());
        full.unsent_request_parts.push_back(SidecarFixture::request("safe"));
    }
    full.expect_one_response_each_when_more_clients_come();
}

TEST(SocketLimit, KeepsNewConnectionWithUnreadRequest) {
    AllSocketsInUseFixture full;
    for (std::size_t i = 0; i < kClientSockets; ++i) {
        full.clients.push_back(full.fixture.connect_client());
        full.unsent_request_parts.push_back(SidecarFixture::request("safe"));
    }
    full.fixture.run_for(milliseconds(100));  // silent for long enough to be evicted
    full.expect_one_response_each_when_more_clients_come();
}

TEST(SocketLimit, KeepsPartlyReadRequestWithUnreadRest) {
    AllSocketsInUseFixture full;
    for (std::size_t i = 0; i < kClientSockets; ++i) {
        const std::string request = SidecarFixture::request("safe");
        full.clients.push_back(full.fixture.connect_client());
        full.clients.back()->send(request.substr(0, 30));
        full.unsent_request_parts.push_back(request.substr(30));
    }
    full.fixture.run_for(milliseconds(600));  // incomplete for long enough to be evicted
    full.expect_one_response_each_when_more_clients_come();
}

// The response on a connection in lingering close may not have reached its client yet. If the client sends
// bytes at that moment, closing the socket would reset the connection and destroy the response.
TEST(SocketLimit, DoesNotEvictLingeringConnectionWithUnreadBytes) {
    SidecarFixture fixture;
    fixture.config["limits"]["sockets"] = kSocketLimit;
    fixture.start();
    FakeServer& server = fixture.servers.front();
    std::vector<std::shared_ptr<Peer>> clients;
    for (std::size_t i = 1; i <= kClientSockets; ++i) {
        clients.push_back(fixture.connect_client());
        const std::string headers = i == kClientSockets ? "Connection: close\r\n" : "";
        clients.back()->send(SidecarFixture::request("safe", "50000m", headers));
        ASSERT_TRUE(fixture.until([&] { return server.request_count() == i; }));
        server.last_connection().respond("200 OK", "answer");
        ASSERT_TRUE(
            fixture.until([&] { return clients.back()->received.find("answer") != std::string::npos; }));
    }
    const auto ended = clients.back();
    ASSERT_TRUE(fixture.until([&] { return ended->closed; }));
    EXPECT_EQ(ended->close_error, asio::error::eof);
    // Clients with a request in progress keep their sockets.
    for (const auto& client : clients) {
        if (client != ended) client->send("GET /api HT");
    }
    while (fixture.io.poll_one() > 0) {
    }
    const auto next = fixture.connect_client();  // the event loop handles this before the bytes below
    ended->send("more");
    while (fixture.io.poll_one() > 0) {
    }
    boost::system::error_code error;
    asio::write(ended->socket, asio::buffer(std::string("and more")), error);
    EXPECT_FALSE(error) << "the connection must not be reset: " << error.message();
    ended->close();
    next->send(SidecarFixture::request("safe"));
    ASSERT_TRUE(fixture.until([&] { return server.request_count() == 14; }))
        << "the next client must still be accepted";
}

// ---- Clients that repeat what was rejected
// -----------------------------------------------------------------

// A listener without a sidecar. Its handlers answer each valid request at once; a request is invalid if its
// target contains "invalid". The test uses sockets of the same budget to make the listener close connections.
struct ListenerFixture {
    static constexpr std::size_t kSockets = 100;
    static constexpr std::size_t kClientSockets = 33;  // the clients' share of kSockets
    // One of the clients' sockets is reserved for the connection that is accepted next.
    static constexpr std::size_t kClients = kClientSockets - 1;

    asio::io_context io{1};
    const Clock clock;
    TimerQueue timers{io, clock};
    SocketBudget socket_budget{kSockets};
    ByteBudget byte_budget{1U << 20U};
    std::unique_ptr<Listener> listener;

    ListenerFixture() {
        Listener::Handlers handlers;
        handlers.validate = [](const RequestHead& head) -> std::optional<RequestProblem> {
            const std::string_view target(head.target().data(), head.target().size());
            if (target.find("invalid") == std::string_view::npos) return std::nullopt;
            return RequestProblem{http::status::bad_request, "invalid\n"};
        };
        handlers.on_request = [this](RequestId id, const HttpRequest&, RequestArrivalInfo) {
            listener->respond(id, HttpResponse(http::status::ok, 11));
        };
        handlers.on_client_disconnected = [](RequestId) {};
        handlers.is_ready = [] { return true; };
        listener = std::make_unique<Listener>(io, ephemeral_loopback_endpoint(), socket_budget, byte_budget,
                                              timers, clock, 3000, handlers);
    }

    static std::string invalid_request() { return "GET /api?invalid HTTP/1.1\r\nHost: h\r\n\r\n"; }

    std::shared_ptr<Peer> connect_client() {
        tcp::socket socket(io);
        socket.connect(listener->local_endpoint());
        auto peer = std::make_shared<Peer>(std::move(socket));
        peer->read();
        return peer;
    }

    // Connects `count` clients and sends `text` on each connection.
    std::vector<std::shared_ptr<Peer>> connect_clients(std::size_t count, const std::string& text) {
        std::vector<std::shared_ptr<Peer>> clients;
        for (std::size_t i = 0; i < count; ++i) {
            clients.push_back(connect_client());
            clients.back()->send(text);
        }
        return clients;
    }

    // Waits until each client has received one response.
    void expect_responses(const std::vector<std::shared_ptr<Peer>>& clients, const std::string& status) {
        ASSERT_TRUE(run_until(io, [&] {
            return std::all_of(clients.begin(), clients.end(),
                               [](const auto& client) { return client->response_count() > 0; });
        }));
        for (const auto& client : clients) EXPECT_EQ(status_of(*client), status);
    }

    // Blocks the thread for `time`. The event loop runs no handler, so nothing is read and no timer expires.
    void block_event_loop_for(Millis time) const { block_event_loop_until(clock, clock.now() + time); }

    std::size_t closed_count(const std::vector<std::shared_ptr<Peer>>& clients) const {
        return static_cast<std::size_t>(
            std::count_if(clients.begin(), clients.end(), [](const auto& client) { return client->closed; }));
    }
};

// Clients that repeat a rejected request at once had unread bytes nearly all of the time, which protected
// them from eviction. They kept all sockets, and no other client was accepted any more (review/2).
TEST(SocketLimit, EvictsClientsThatRepeatRejectedRequestsBeforeOthers) {
    ListenerFixture fixture;
    const std::size_t repeating_count = ListenerFixture::kClients - 1;
    const auto repeating = fixture.connect_clients(repeating_count, ListenerFixture::invalid_request());
    fixture.expect_responses(repeating, "HTTP/1.1 400");
    const auto served = fixture.connect_clients(1, SidecarFixture::request("safe"));
    fixture.expect_responses(served, "HTTP/1.1 200");
    for (const auto& client : repeating) client->send(ListenerFixture::invalid_request());

    fixture.block_event_loop_for(ClientConnection::kMinAgeAfterRejection + 10);
    for (std::size_t i = 0; i < repeating_count; ++i) {
        EXPECT_TRUE(fixture.socket_budget.acquire(SocketPurpose::clients)) << i;
    }
    EXPECT_TRUE(run_until(fixture.io, [&] { return fixture.closed_count(repeating) == repeating_count; }));
    for (const auto& client : repeating) {
        EXPECT_EQ(client->close_error, asio::error::eof) << "the rejection must not be lost by a reset";
    }
    EXPECT_FALSE(served.front()->closed);
}

// Clients that repeat GET /up were protected like new connections, for 50 ms after each response, and so for
// good. They kept all sockets, and no other client was accepted any more.
TEST(SocketLimit, EvictsClientsThatRepeatHealthChecksBeforeOthers) {
    ListenerFixture fixture;
    const std::size_t checking_count = ListenerFixture::kClients - 1;
    const std::string health_check = "GET /up HTTP/1.1\r\nHost: h\r\n\r\n";
    const auto checking = fixture.connect_clients(checking_count, health_check);
    fixture.expect_responses(checking, "HTTP/1.1 200");
    const auto served = fixture.connect_clients(1, SidecarFixture::request("safe"));
    fixture.expect_responses(served, "HTTP/1.1 200");
    for (const auto& client : checking) {
        client->received.clear();
        client->send(health_check);
    }
    fixture.expect_responses(checking, "HTTP/1.1 200");
    run_ready_handlers(fixture.io);  // the listener's handlers of the end of each write

    for (std::size_t i = 0; i < checking_count; ++i) {
        EXPECT_TRUE(fixture.socket_budget.acquire(SocketPurpose::clients)) << i;
    }
    EXPECT_TRUE(run_until(fixture.io, [&] { return fixture.closed_count(checking) == checking_count; }));
    EXPECT_FALSE(served.front()->closed);
}

// Clients that stop in the middle of a request on a connection that was served before were protected for 2.5
// s. They kept all sockets meanwhile, and the idle connections of others were closed for them.
TEST(SocketLimit, RejectsRequestThatStallsOnServedConnectionWhenSocketsRunOut) {
    ListenerFixture fixture;
    const std::size_t stalled_count = ListenerFixture::kClients - 1;
    const std::string request = SidecarFixture::request("safe");
    std::vector<std::shared_ptr<Peer>> stalled;
    for (std::size_t i = 0; i < stalled_count; ++i) {
        stalled.push_back(fixture.connect_clients(1, SidecarFixture::request("safe")).front());
    }
    fixture.expect_responses(stalled, "HTTP/1.1 200");
    const auto served = fixture.connect_clients(1, SidecarFixture::request("safe"));
    fixture.expect_responses(served, "HTTP/1.1 200");
    for (const auto& client : stalled) {
        client->received.clear();
        client->send(request.substr(0, request.size() / 2));
    }
    run_ready_handlers(fixture.io);

    fixture.block_event_loop_for(ClientConnection::kMinAgeWithoutRequest + 10);
    EXPECT_FALSE(fixture.socket_budget.acquire(SocketPurpose::clients));
    const auto has_response = [](const auto& client) { return client->response_count() > 0; };
    ASSERT_TRUE(
        run_until(fixture.io, [&] { return std::any_of(stalled.begin(), stalled.end(), has_response); }));
    run_ready_handlers(fixture.io);
    EXPECT_EQ(std::count_if(stalled.begin(), stalled.end(), has_response), 1);
    EXPECT_EQ(status_of(**std::find_if(stalled.begin(), stalled.end(), has_response)), "HTTP/1.1 408");
    EXPECT_TRUE(fixture.socket_budget.acquire(SocketPurpose::clients));
    EXPECT_FALSE(served.front()->closed);
}

// ---- Clients that wait in the accept queue
// -----------------------------------------------------------------

// Margin for the resolution of the kernel's clock, in milliseconds.
constexpr Millis kKernelTick = 20;

// Guards against requests that wait in the accept queue until their deadline has passed: clients that stop in
// the middle of their first request held all sockets for 500 ms each (review/6).
TEST(SocketLimit, RejectsRequestThatStallsOnNewConnectionWhenSocketsRunOut) {
    ListenerFixture fixture;
    const std::string request = SidecarFixture::request("safe");
    const auto stalled =
        fixture.connect_clients(ListenerFixture::kClients, request.substr(0, request.size() / 2));
    run_ready_handlers(fixture.io);

    fixture.block_event_loop_for(ClientConnection::kMinStallTime + kKernelTick);
    EXPECT_FALSE(fixture.socket_budget.acquire(SocketPurpose::clients));
    run_ready_handlers(fixture.io);  // without waiting for any client to become older
    const auto has_response = [](const auto& client) { return client->response_count() > 0; };
    ASSERT_EQ(std::count_if(stalled.begin(), stalled.end(), has_response), 1)
        << "a client whose request was read must get a response";
    EXPECT_EQ(status_of(**std::find_if(stalled.begin(), stalled.end(), has_response)), "HTTP/1.1 408");
    EXPECT_TRUE(fixture.socket_budget.acquire(SocketPurpose::clients));
}

// Guards against the same wait for clients that stay silent: each held a socket for 50 ms from its accept,
// however long it had been in the accept queue, so hundreds of them delayed the clients behind them.
TEST(SocketLimit, DoesNotKeepClientThatWasSilentInTheAcceptQueue) {
    ListenerFixture fixture;
    const auto silent = fixture.connect_clients(3 * ListenerFixture::kClients, "");
    const auto waiting = fixture.connect_clients(1, SidecarFixture::request("safe"));

    fixture.block_event_loop_for(ClientConnection::kMinAgeWithoutBytes + kKernelTick);
    run_ready_handlers(fixture.io);  // without waiting for any client to become older
    EXPECT_EQ(waiting.front()->response_count(), 1U);
    EXPECT_GT(fixture.closed_count(silent), 0U);
}

// A client that writes its request slowly must not be rejected like one that has stopped.
TEST(SocketLimit, KeepsSlowRequestWhileItsBytesArrive) {
    ListenerFixture fixture;
    const std::string request = SidecarFixture::request("safe");
    const Millis started_at = fixture.clock.now();
    const auto slow = fixture.connect_clients(ListenerFixture::kClients, request.substr(0, 10));
    run_ready_handlers(fixture.io);
    fixture.block_event_loop_for(ClientConnection::kMinStallTime + kKernelTick);
    for (const auto& client : slow) client->send(request.substr(10, 10));
    run_ready_handlers(fixture.io);
    EXPECT_FALSE(fixture.socket_budget.acquire(SocketPurpose::clients));
    // Longer than this no incomplete request is kept.
    const bool is_in_time = fixture.clock.now() - started_at < ClientConnection::kMinAgeWithoutRequest;
    run_ready_handlers(fixture.io);
    const auto has_response = [](const auto& client) { return client->response_count() > 0; };
    EXPECT_TRUE(std::none_of(slow.begin(), slow.end(), has_response) || !is_in_time);
}

// A connection is not evicted right after a rejection. Until it can be, the idle connections of clients whose
// requests were valid are not evicted in its place.
TEST(SocketLimit, KeepsServedClientsWhileOthersHaveJustBeenRejected) {
    ListenerFixture fixture;
    const std::size_t rejected_count = ListenerFixture::kClients - 1;
    const auto rejected = fixture.connect_clients(rejected_count, ListenerFixture::invalid_request());
    fixture.expect_responses(rejected, "HTTP/1.1 400");
    const auto served = fixture.connect_clients(1, SidecarFixture::request("safe"));
    fixture.expect_responses(served, "HTTP/1.1 200");
    // Succeeds only if the machine was so slow that some rejection has reached its minimum age.
    fixture.socket_budget.acquire(SocketPurpose::clients);
    run_ready_handlers(fixture.io);
    EXPECT_FALSE(served.front()->closed);
}

// A valid request restores the protection of unread bytes: they may be the client's next valid request.
TEST(SocketLimit, KeepsUnreadRequestOfClientThatWasServedAfterRejection) {
    ListenerFixture fixture;
    const auto clients =
        fixture.connect_clients(ListenerFixture::kClients, ListenerFixture::invalid_request());
    fixture.expect_responses(clients, "HTTP/1.1 400");
    for (const auto& client : clients) {
        client->received.clear();
        client->send(SidecarFixture::request("safe"));
    }
    fixture.expect_responses(clients, "HTTP/1.1 200");
    run_ready_handlers(fixture.io);
    for (const auto& client : clients) client->send(SidecarFixture::request("safe"));

    fixture.block_event_loop_for(ClientConnection::kMinAgeAfterRejection + 10);
    EXPECT_FALSE(fixture.socket_budget.acquire(SocketPurpose::clients));
    EXPECT_TRUE(run_until(fixture.io, [&] {
        return std::all_of(clients.begin(), clients.end(),
                           [](const auto& client) { return client->response_count() == 2; });
    }));
}

}  // namespace
}  // namespace elmbay::test
