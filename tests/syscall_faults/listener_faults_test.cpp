// The listener alone: what it owes its clients while accept() fails, and while a handler throws.
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

struct ListenerRig {
    static constexpr Millis kLongest = 3000;

    asio::io_context io{1};
    Clock clock;
    TimerQueue timers{io, clock};
    SocketBudget budget{100};
    ByteBudget bytes{16U << 20U};
    std::function<void(RequestId)> arrived;
    std::vector<RequestId> gone;
    Listener listener;

    ListenerRig()
        : listener(io, loopback(), budget, bytes, timers, clock, kLongest,
                   {[](const RequestHead&) { return std::optional<RequestProblem>(); },
                    [this](RequestId id, const HttpRequest&, ReceivedRequest) { arrived(id); },
                    [this](RequestId id) { gone.push_back(id); }, [] { return true; }}) {
        arrived = [this](RequestId id) { answer(id); };
    }
    ~ListenerRig() { syscall_faults::configure(""); }
    void answer(RequestId id) {
        HttpResponse response(http::status::ok, 11);
        response.body() = "served\n";
        listener.respond(id, std::move(response));
    }
    // Its own bytes are written before this returns.
    std::shared_ptr<Peer> client(const std::string& text) {
        tcp::socket socket(io);
        socket.connect(listener.local_endpoint());
        auto peer = std::make_shared<Peer>(std::move(socket));
        peer->read();
        peer->send(text);
        return peer;
    }
    // As the program's own loop: an exception ends no more than the handler that it came from.
    template <class Happened>
    bool until(Happened happened) {
        const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (!happened() && std::chrono::steady_clock::now() < limit) {
            try {
                io.run_one_for(std::chrono::milliseconds(100));
            } catch (const std::exception&) {
                continue;
            }
        }
        return happened();
    }
};

// The module may not know of the request, so nobody else would ever answer it.
TEST(ThrowingHandlers, AnExceptionAsARequestArrivesIsAnsweredAtOnce) {
    ListenerRig rig;
    rig.arrived = [](RequestId) { throw std::bad_alloc(); };
    const auto client = rig.client(SidecarFixture::request("unsafe"));
    ASSERT_TRUE(rig.until([&] { return client->closed; }));
    EXPECT_EQ(status_of(*client), "HTTP/1.1 500") << client->got;
    EXPECT_EQ(client->close_error, asio::error::eof);
    EXPECT_EQ(rig.gone.size(), 1U) << "what was taken of it is given up";
    // The next one is not concerned.
    rig.arrived = [&](RequestId id) { rig.answer(id); };
    const auto next = rig.client(SidecarFixture::request("unsafe"));
    ASSERT_TRUE(rig.until([&] { return next->got.ends_with("served\n"); }));
}

// One outcome: the answer that has begun stands.
TEST(ThrowingHandlers, AnExceptionAfterTheAnswerChangesNothing) {
    ListenerRig rig;
    rig.arrived = [&](RequestId id) {
        rig.answer(id);
        throw std::runtime_error("too late");
    };
    const auto client = rig.client(SidecarFixture::request("unsafe"));
    ASSERT_TRUE(rig.until([&] { return client->got.ends_with("served\n"); }));
    EXPECT_EQ(status_of(*client), "HTTP/1.1 200");
    EXPECT_TRUE(rig.gone.empty());
    const std::size_t first = client->got.size();
    client->send(SidecarFixture::request("unsafe"));
    ASSERT_TRUE(rig.until([&] { return client->got.size() == 2 * first; }));
    EXPECT_FALSE(client->closed);
}

TEST(ThrowingHandlers, AnExceptionFromAJudgementOfTheHeadIsAnsweredAtOnce) {
    ListenerRig rig;
    Listener::Handlers handlers;
    handlers.validate = [](const RequestHead&) -> std::optional<RequestProblem> { throw std::bad_alloc(); };
    handlers.on_request = [](RequestId, const HttpRequest&, ReceivedRequest) {
        ADD_FAILURE() << "not judged";
    };
    handlers.on_client_disconnected = [](RequestId) {};
    handlers.ready = [] { return true; };
    Listener listener(rig.io, loopback(), rig.budget, rig.bytes, rig.timers, rig.clock, ListenerRig::kLongest,
                      handlers);
    tcp::socket socket(rig.io);
    socket.connect(listener.local_endpoint());
    const auto client = std::make_shared<Peer>(std::move(socket));
    client->read();
    client->send(SidecarFixture::request("unsafe"));
    ASSERT_TRUE(rig.until([&] { return client->closed; }));
    EXPECT_EQ(status_of(*client), "HTTP/1.1 500") << client->got;
}

// Behind a connection that was given up stands one whose client waits: no further edge comes for it.
TEST(FailingAccepts, WhoStandsBehindAnAbortedConnectionIsAccepted) {
    for (const char* error : {"ECONNABORTED", "EPROTO", "ENETDOWN", "EPERM", "EINTR"}) {
        ListenerRig rig;
        syscall_faults::configure("accept:" + std::string(error) + "=x3");
        const auto client = rig.client(SidecarFixture::request("safe"));
        ASSERT_TRUE(rig.until([&] { return client->got.ends_with("served\n"); })) << error;
        EXPECT_EQ(syscall_faults::failed(0), 3U) << error;
    }
}

// A resting connection makes room for a descriptor of this process, not for the machine's.
TEST(FailingAccepts, OnlyAShortageOfOurOwnClosesARestingConnection) {
    for (const std::string error : {"ENFILE", "ENOBUFS", "ENOMEM", "ECONNABORTED", "EMFILE"}) {
        ListenerRig rig;
        const auto resting = rig.client(SidecarFixture::request("safe"));
        const auto other = rig.client(SidecarFixture::request("safe"));
        ASSERT_TRUE(rig.until(
            [&] { return resting->got.ends_with("served\n") && other->got.ends_with("served\n"); }));
        syscall_faults::configure("accept:" + error + "=x2");
        const auto client = rig.client(SidecarFixture::request("safe"));
        ASSERT_TRUE(rig.until([&] { return client->got.ends_with("served\n"); })) << error;
        EXPECT_EQ(syscall_faults::failed(0), 2U) << error;
        EXPECT_EQ(rig.listener.connections() < 3, error == "EMFILE") << error;
    }
}

// The process ends. Who came in the last instant stands in the kernel's queue as the door is shut: an error
// that is another connection's, or passes, does not leave it there.
TEST(FailingAccepts, WhoCameInTheLastInstantOfADrainIsAccepted) {
    for (const char* error : {"ECONNABORTED", "EINTR", "ENFILE"}) {
        ListenerRig rig;
        std::shared_ptr<Peer> client;
        bool done = false;
        const Millis shut = rig.clock.now() + GracefulShutdown::kAcceptingPeriod;
        // In the same turn as the listener's own timer, and before it: its pending accept has no turn
        // between.
        rig.timers.set(shut - 1, [&] {
            syscall_faults::configure("accept:" + std::string(error) + "=x2");
            client = rig.client(SidecarFixture::request("safe"));
            while (rig.clock.now() < shut + 1) continue;
        });
        rig.listener.drain([&] { done = true; });
        ASSERT_TRUE(rig.until([&] { return done; })) << error;
        ASSERT_TRUE(rig.until([&] { return client->closed; })) << error;
        EXPECT_EQ(status_of(*client), "HTTP/1.1 200") << error;
    }
}

}  // namespace
}  // namespace elmbay::test
