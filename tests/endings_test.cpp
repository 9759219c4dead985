// What ends while something is still owed: each test brings two events together that may cross on real
// sockets, in an order that it fixes, and looks at what comes of the request between them.
#include <sys/socket.h>

#include "net_rig.hpp"
#include "pool_rig.hpp"

namespace elmbay::test {

namespace {

// A listener whose queue is full: connections to it are on their way until open() takes those in front.
class ClosedDoor {
public:
    explicit ClosedDoor(FakeServer& server) : server_(server) {
        server.acceptor.cancel();
        // What is left in the queue is one place; who finds it taken is told nothing (listen(2)).
        EXPECT_EQ(::listen(server.acceptor.native_handle(), 0), 0);
        tcp::socket filler(server.acceptor.get_executor());
        filler.connect(server.acceptor.local_endpoint());
        filler_ = std::move(filler);
    }
    void open() {
        ::listen(server_.acceptor.native_handle(), 128);
        server_.accept();
    }

private:
    FakeServer& server_;
    std::optional<tcp::socket> filler_;
};

// ---- A keyed repeat and its window ------------------------------------------------------------------------

// The servers forget a key; a repeat whose connection comes up later than that would run once more.
TEST(Repeats, OneWhoseConnectionComesUpAfterTheWindowIsNotWritten) {
    NetRig rig;
    constexpr Millis kWindow = 600;
    rig.config["settings"]["classes"][2]["dedup-window-ms"] = kWindow;
    rig.start();
    auto& server = rig.servers.front();
    const auto client = rig.client();
    const auto began = std::chrono::steady_clock::now();
    client->send(NetRig::request("keyed"));
    ASSERT_TRUE(rig.until([&] { return server.requests() == 1; }));
    ClosedDoor door(server);
    server.peers.front()->respond("500 Internal Server Error", "no", "Connection: close\r\n");
    // With a repeat that waits on, the door opens once the window is over.
    ASSERT_TRUE(rig.until([&] {
        return !client->got.empty() ||
               std::chrono::steady_clock::now() > began + std::chrono::milliseconds(int(kWindow));
    }));
    door.open();
    ASSERT_TRUE(rig.until([&] { return !client->got.empty() || server.requests() > 1; }));
    EXPECT_EQ(server.requests(), 1U);
    EXPECT_EQ(status_of(*client), "HTTP/1.1 502")
        << "a failure: it may have run, and nobody knows how it ended";
}

TEST(Repeats, OneThatComesTooLateToAReadyConnectionIsNotWritten) {
    PoolRig rig(10);
    rig.send(0);
    rig.run_until_ended();
    EXPECT_EQ(rig.ended, std::vector<Outcome>{Outcome::superseded});
    rig.ended.clear();
    rig.send();  // whatever connection came up for the first one serves the next
    while (rig.server.requests() == 0) ASSERT_GT(rig.io.run_one_for(std::chrono::seconds(60)), 0U);
    EXPECT_EQ(rig.server.requests(), 1U);
}

// A server that takes no more bytes holds up the last one. Not written whole, it can't have run.
TEST(Repeats, OneThatIsBeingWrittenAsTheWindowEndsIsBrokenOff) {
    PoolRig rig(10);
    rig.server.reads = false;
    rig.send(300, 64 << 20);
    rig.run_until_ended();
    EXPECT_EQ(rig.ended, std::vector<Outcome>{Outcome::superseded});
    ASSERT_EQ(rig.server.peers.size(), 1U);
    rig.server.last().read();
    while (!rig.server.last().closed) ASSERT_GT(rig.io.run_one_for(std::chrono::seconds(60)), 0U);
    EXPECT_LT(rig.server.last().got.size(), std::size_t{64} << 20);
}

// One that was written in time runs on past the window.
TEST(Repeats, OneThatWasWrittenInTimeIsWaitedFor) {
    PoolRig rig(10);
    rig.send(300);
    while (rig.server.requests() == 0) ASSERT_GT(rig.io.run_one_for(std::chrono::seconds(60)), 0U);
    bool over = false;
    rig.timers.set(rig.clock.now() + 400, [&] { over = true; });
    while (!over) rig.io.run_one_for(std::chrono::seconds(60));
    EXPECT_TRUE(rig.ended.empty());
    rig.server.last().respond("200 OK", "answer");
    rig.run_until_ended();
    EXPECT_EQ(rig.ended, std::vector<Outcome>{Outcome::completed});
}

}  // namespace

}  // namespace elmbay::test
