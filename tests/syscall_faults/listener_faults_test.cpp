// Tests the listener while accept() fails and while a handler throws. Each client must still get its
// response.
#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <new>
#include <stdexcept>
#include <vector>

#include "faults.hpp"
#include "net/listener.hpp"
#include "support/sidecar_fixture.hpp"

namespace elmbay::test {
namespace {

// A Listener whose handlers respond to each request immediately, unless a test sets `on_request`.
struct ListenerFixture {
    static constexpr Millis kLongestDeadline = 3000;

    asio::io_context io{1};
    Clock clock;
    TimerQueue timers{io, clock};
    SocketBudget budget{100};
    ByteBudget bytes{16U << 20U};
    std::function<void(RequestId)> on_request;
    std::vector<RequestId> disconnected;
    Listener listener;

    ListenerFixture()
        : listener(io, ephemeral_loopback_endpoint(), budget, bytes, timers, clock, kLongestDeadline,
                   {[](const RequestHead&) { return std::optional<RequestProblem>(); },
                    [this](RequestId id, const HttpRequest&, RequestArrivalInfo) { on_request(id); },
                    [this](RequestId id) { disconnected.push_back(id); }, [] { return true; }}) {
        on_request = [this](RequestId id) { respond(id); };
    }
    ~ListenerFixture() { syscall_faults::configure(""); }
    void respond(RequestId id) {
        HttpResponse response(http::status::ok, 11);
        response.body() = "served\n";
        listener.respond(id, std::move(response));
    }
    // Opens a new connection and sends `text` on it.
    std::shared_ptr<Peer> connect_client(const std::string& text) {
        tcp::socket socket(io);
        socket.connect(listener.local_endpoint());
        auto peer = std::make_shared<Peer>(std::move(socket));
        peer->read();
        peer->send(text);
        return peer;
    }
    // Runs the event loop until `condition` is true. Returns false if that takes longer than 10 s. As in the
    // program, an exception ends only the handler that threw it.
    template <class Condition>
    bool run_until(Condition condition) {
        const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (!condition() && std::chrono::steady_clock::now() < deadline) {
            try {
                io.run_one_for(std::chrono::milliseconds(100));
            } catch (const std::exception&) {
                continue;
            }
        }
        return condition();
    }
};

// The decision module may not have received the request, so that no other code would respond to it.
TEST(ThrowingHandler, Responds500WhenRequestHandlerThrows) {
    ListenerFixture fixture;
    fixture.on_request = [](RequestId) { throw std::bad_alloc(); };
    const auto client = fixture.connect_client(SidecarFixture::request("unsafe"));
    ASSERT_TRUE(fixture.run_until([&] { return client->closed; }));
    EXPECT_EQ(status_of(*client), "HTTP/1.1 500") << client->received;
    EXPECT_EQ(client->close_error, asio::error::eof);
    EXPECT_EQ(fixture.disconnected.size(), 1U) << "the request is no longer in flight";
    // The next request is not affected.
    fixture.on_request = [&](RequestId id) { fixture.respond(id); };
    const auto next = fixture.connect_client(SidecarFixture::request("unsafe"));
    ASSERT_TRUE(fixture.run_until([&] { return next->received.ends_with("served\n"); }));
}

// A request has exactly one outcome: an exception after the response does not replace the response.
TEST(ThrowingHandler, KeepsResponseWhenHandlerThrowsAfterResponding) {
    ListenerFixture fixture;
    fixture.on_request = [&](RequestId id) {
        fixture.respond(id);
        throw std::runtime_error("thrown after the response");
    };
    const auto client = fixture.connect_client(SidecarFixture::request("unsafe"));
    ASSERT_TRUE(fixture.run_until([&] { return client->received.ends_with("served\n"); }));
    EXPECT_EQ(status_of(*client), "HTTP/1.1 200");
    EXPECT_TRUE(fixture.disconnected.empty());
    const std::size_t response_size = client->received.size();
    client->send(SidecarFixture::request("unsafe"));
    ASSERT_TRUE(fixture.run_until([&] { return client->received.size() == 2 * response_size; }));
    EXPECT_FALSE(client->closed);
}

TEST(ThrowingHandler, Responds500WhenValidationThrows) {
    ListenerFixture fixture;
    Listener::Handlers handlers;
    handlers.validate = [](const RequestHead&) -> std::optional<RequestProblem> { throw std::bad_alloc(); };
    handlers.on_request = [](RequestId, const HttpRequest&, RequestArrivalInfo) {
        ADD_FAILURE() << "the request was forwarded although validation failed";
    };
    handlers.on_client_disconnected = [](RequestId) {};
    handlers.is_ready = [] { return true; };
    Listener listener(fixture.io, ephemeral_loopback_endpoint(), fixture.budget, fixture.bytes,
                      fixture.timers, fixture.clock, ListenerFixture::kLongestDeadline, handlers);
    tcp::socket socket(fixture.io);
    socket.connect(listener.local_endpoint());
    const auto client = std::make_shared<Peer>(std::move(socket));
    client->read();
    client->send(SidecarFixture::request("unsafe"));
    ASSERT_TRUE(fixture.run_until([&] { return client->closed; }));
    EXPECT_EQ(status_of(*client), "HTTP/1.1 500") << client->received;
}

// A client waits in the accept queue behind a connection that was aborted. EPOLLIN is edge-triggered, so no
// further event reports the client.
TEST(FailingAccept, AcceptsConnectionQueuedBehindAbortedOne) {
    for (const char* error : {"ECONNABORTED", "EPROTO", "ENETDOWN", "EPERM", "EINTR"}) {
        ListenerFixture fixture;
        syscall_faults::configure("accept:" + std::string(error) + "=x3");
        const auto client = fixture.connect_client(SidecarFixture::request("safe"));
        ASSERT_TRUE(fixture.run_until([&] { return client->received.ends_with("served\n"); })) << error;
        EXPECT_EQ(syscall_faults::failed_calls(0), 3U) << error;
    }
}

// Closing an idle connection frees a descriptor of this process, but does not help if the host's tables are
// full.
TEST(FailingAccept, ClosesIdleConnectionOnlyForLackOfOwnDescriptors) {
    for (const std::string error : {"ENFILE", "ENOBUFS", "ENOMEM", "ECONNABORTED", "EMFILE"}) {
        ListenerFixture fixture;
        const auto idle = fixture.connect_client(SidecarFixture::request("safe"));
        const auto other = fixture.connect_client(SidecarFixture::request("safe"));
        ASSERT_TRUE(fixture.run_until(
            [&] { return idle->received.ends_with("served\n") && other->received.ends_with("served\n"); }));
        syscall_faults::configure("accept:" + error + "=x2");
        const auto client = fixture.connect_client(SidecarFixture::request("safe"));
        ASSERT_TRUE(fixture.run_until([&] { return client->received.ends_with("served\n"); })) << error;
        EXPECT_EQ(syscall_faults::failed_calls(0), 2U) << error;
        EXPECT_EQ(fixture.listener.connection_count() < 3, error == "EMFILE") << error;
    }
}

// A client connects immediately before the listener stops accepting and waits in the kernel's queue. An error
// of another connection, or a temporary error, must not leave it there.
TEST(FailingAccept, AcceptsConnectionQueuedAtTheEndOfDraining) {
    for (const char* error : {"ECONNABORTED", "EINTR", "ENFILE"}) {
        ListenerFixture fixture;
        std::shared_ptr<Peer> client;
        bool drained = false;
        const Millis stops_accepting = fixture.clock.now() + GracefulShutdown::kAcceptingPeriod;
        // The timer runs in the same turn of the event loop as the listener's own timer and before it, so
        // that the listener's pending accept cannot run in between.
        fixture.timers.set(stops_accepting - 1, [&] {
            syscall_faults::configure("accept:" + std::string(error) + "=x2");
            client = fixture.connect_client(SidecarFixture::request("safe"));
            while (fixture.clock.now() < stops_accepting + 1) continue;
        });
        fixture.listener.drain([&] { drained = true; });
        ASSERT_TRUE(fixture.run_until([&] { return drained; })) << error;
        ASSERT_TRUE(fixture.run_until([&] { return client->closed; })) << error;
        EXPECT_EQ(status_of(*client), "HTTP/1.1 200") << error;
    }
}

}  // namespace
}  // namespace elmbay::test
