// TCP links on loopback: what each end sees.
#include <gtest/gtest.h>

#include <boost/asio/write.hpp>

#include "fault_proxy/stream_link.hpp"

namespace elmbay::fault_proxy {
namespace {

using Error = boost::system::error_code;

tcp::endpoint any() { return {asio::ip::address_v4::loopback(), 0}; }

// One end: what came, and how it ended.
struct End : std::enable_shared_from_this<End> {
    explicit End(tcp::socket s) : socket(std::move(s)) {}
    void read() {
        socket.async_read_some(asio::buffer(piece), [self = shared_from_this()](Error e, std::size_t n) {
            self->got.append(self->piece.data(), n);
            if (!e) return self->reads ? self->read() : void();
            self->ended = true;
            self->reset = e == asio::error::connection_reset;
        });
    }
    void send(const std::string& text) { asio::write(socket, asio::buffer(text)); }
    tcp::socket socket;
    std::array<char, 4096> piece{};
    std::string got;
    bool reads = true, ended = false, reset = false, up = false, refused = false;
};

struct Rig {
    asio::io_context io{1};
    EventLoopContext context{io};
    tcp::acceptor server{io, any()};
    StreamLink link{context, {"a", "b"}, any(), server.local_endpoint()};
    std::vector<std::shared_ptr<End>> accepted;

    Rig() { accept(); }
    void accept() {
        server.async_accept([this](Error error, tcp::socket socket) {
            if (error) return;
            accepted.push_back(std::make_shared<End>(std::move(socket)));
            accepted.back()->read();
            accept();
        });
    }
    std::shared_ptr<End> connect() {
        auto end = std::make_shared<End>(tcp::socket(io));
        end->socket.async_connect(link.endpoint(), [end](Error error) {
            end->up = !error;
            end->refused = error == asio::error::connection_refused;
            if (!error) end->read();
        });
        return end;
    }
    template <class Happened>
    bool until(Happened happened) {
        const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(60);
        while (!happened()) {
            if (std::chrono::steady_clock::now() > limit) return false;
            io.run_one_for(std::chrono::milliseconds(100));
        }
        return true;
    }
    // Only for what must not happen meanwhile.
    void quiet() { io.run_for(std::chrono::milliseconds(60)); }
    void put(const char* name, FaultType type, const char* from, const char* to) {
        Rule r;
        r.name = name, r.type = type, r.from = {from}, r.to = {to};
        context.put_rule(r);
    }
    std::shared_ptr<End> both_up() {
        const auto before = accepted.size();
        auto a = connect();
        EXPECT_TRUE(until([&] { return a->up && accepted.size() > before; }));
        return a;
    }
};

TEST(StreamLink, PassesBytesAndHalfClosesInBothDirections) {
    Rig rig;
    const auto a = rig.both_up();
    const auto b = rig.accepted.back();
    std::string much(3'000'000, '\0');
    for (std::size_t i = 0; i < much.size(); ++i) much[i] = static_cast<char>(i * 31 >> 3);
    std::size_t sent = 0;
    std::function<void()> more = [&] {
        if (sent == much.size()) return a->socket.shutdown(tcp::socket::shutdown_send);
        a->socket.async_write_some(asio::buffer(much.data() + sent, much.size() - sent),
                                   [&](Error error, std::size_t n) {
                                       sent += n;
                                       if (!error) more();
                                   });
    };
    more();
    ASSERT_TRUE(rig.until([&] { return b->ended; }));
    EXPECT_EQ(b->got, much);
    EXPECT_FALSE(b->reset);
    b->send("and back");
    b->socket.shutdown(tcp::socket::shutdown_send);
    ASSERT_TRUE(rig.until([&] { return a->ended; }));
    EXPECT_EQ(a->got, "and back");
    ASSERT_TRUE(rig.until([&] { return rig.link.open_connections() == 0; }));
}

// A lot at once goes by splice(2); a cut on the way holds it back and loses nothing of it.
TEST(StreamLink, PassesManyBytesUnchangedAcrossACutAndASlowReader) {
    Rig rig;
    const auto a = rig.both_up();
    const auto b = rig.accepted.back();
    std::string much(24'000'000, '\0');
    for (std::size_t i = 0; i < much.size(); ++i) much[i] = static_cast<char>(i * 31 >> 5);
    asio::async_write(a->socket, asio::buffer(much),
                      [&](Error, std::size_t) { a->socket.shutdown(tcp::socket::shutdown_send); });
    ASSERT_TRUE(rig.until([&] { return b->got.size() > 4'000'000; }));
    // Nobody reads until all buffers are full, the link's pipe among them; what it holds then waits for the
    // cut.
    b->reads = false;
    const auto full = [&, before = std::uint64_t{0}]() mutable {
        rig.quiet();
        return std::exchange(before, rig.link.bytes_to_target()) == rig.link.bytes_to_target();
    };
    ASSERT_TRUE(rig.until(full));
    rig.put("cut", FaultType::cut, "a", "b");
    const std::size_t passed_on = rig.link.bytes_to_target() - rig.link.queued_bytes();
    EXPECT_GT(rig.link.queued_bytes(), 0U);
    b->reads = true;
    b->read();
    rig.quiet();
    const std::size_t held = b->got.size();
    rig.quiet();
    EXPECT_EQ(b->got.size(), held);
    EXPECT_EQ(held, passed_on);
    EXPECT_FALSE(b->ended);
    rig.context.remove_rule("cut");
    ASSERT_TRUE(rig.until([&] { return b->got.size() > held + 4'000'000; }));
    // From here on a rule has a word: what is in the pipe still goes first.
    rig.put("late", FaultType::delay, "a", "b");
    ASSERT_TRUE(rig.until([&] { return b->ended; }));
    EXPECT_TRUE(b->got == much);
    EXPECT_EQ(rig.link.bytes_to_target(), much.size());
}

TEST(StreamLink, HoldsBytesAndConnectsWhileCutAndPassesThemAfterwards) {
    Rig rig;
    const auto a = rig.both_up();
    const auto b = rig.accepted.back();
    rig.put("cut", FaultType::cut, "b", "a");  // one way is enough to keep a connection from coming up
    a->send("there");
    b->send("back");
    const auto late = rig.connect();
    ASSERT_TRUE(rig.until([&] { return b->got == "there"; }));
    rig.quiet();
    EXPECT_EQ(a->got, "");
    EXPECT_FALSE(late->up || late->refused);
    EXPECT_TRUE(rig.context.remove_rule("cut"));
    ASSERT_TRUE(rig.until([&] { return a->got == "back" && late->up; }));
    ASSERT_TRUE(rig.until([&] { return rig.accepted.size() == 2; }));  // and no filler came through
    rig.quiet();
    EXPECT_EQ(rig.accepted.size(), 2U);
}

TEST(StreamLink, RefusesResetsAndDelaysConnectionsAndFollowsItsTarget) {
    Rig rig;
    rig.put("no", FaultType::refuse, "a", "b");
    const auto refused = rig.connect();
    ASSERT_TRUE(rig.until([&] { return refused->refused; }));
    Rule second;
    second.name = "no", second.type = FaultType::refuse, second.first_number = second.last_number = 2;
    rig.context.put_rule(second);
    const auto first = rig.both_up();
    const auto other = rig.connect();
    ASSERT_TRUE(rig.until([&] { return other->ended; }));
    EXPECT_TRUE(other->reset);
    rig.context.remove_rule("no");
    rig.link.set_target_state(StreamLink::TargetState::down);
    const auto down = rig.connect();
    ASSERT_TRUE(rig.until([&] { return down->refused; }));
    EXPECT_FALSE(first->ended);  // what is open stays
    rig.link.set_target_state(StreamLink::TargetState::up);
    // A target that refuses by itself: a reset once, then refusals, until it is back.
    const auto at = rig.server.local_endpoint();
    rig.server.close();
    const auto told = rig.connect();
    ASSERT_TRUE(rig.until([&] { return told->ended; }));
    const auto again = rig.connect();
    ASSERT_TRUE(rig.until([&] { return again->refused; }));
    rig.server = tcp::acceptor(rig.io, at);
    rig.accept();
    ASSERT_TRUE(rig.until([&] {
        const auto back = rig.connect();
        rig.until([&] { return back->up || back->refused; });
        return back->up;
    }));
    Rule hold;
    hold.name = "hold", hold.type = FaultType::delay_open, hold.delay = 80;
    rig.context.put_rule(hold);
    const auto held = rig.connect();
    ASSERT_TRUE(rig.until([&] { return held->up; }));
    const auto before = rig.accepted.size();
    const Millis began = rig.context.now();
    held->send("x");
    ASSERT_TRUE(rig.until([&] { return rig.accepted.size() > before; }));
    EXPECT_GE(rig.context.now() - began, 50);
}

// Both ends of each of these see what the rule says, at each of the first bytes.
TEST(StreamLink, ShowsAResetOrHalfCloseAtAnyByteToBothEnds) {
    for (std::uint64_t byte = 0; byte < 8; ++byte) {
        Rig rig;
        Rule r;
        r.name = "r", r.type = FaultType::reset, r.from = {"b"}, r.to = {"a"}, r.trigger = Trigger::at_byte,
        r.trigger_byte = byte;
        rig.context.put_rule(r);
        const auto a = rig.both_up();
        const auto b = rig.accepted.back();
        b->send("12345678");
        ASSERT_TRUE(rig.until([&] { return a->ended && b->ended; })) << byte;
        EXPECT_TRUE(a->reset && b->reset) << byte;
        r.type = FaultType::half_close;
        rig.context.put_rule(r);
        const auto c = rig.both_up();
        rig.accepted.back()->send("12345678");
        ASSERT_TRUE(rig.until([&] { return c->ended; })) << byte;
        EXPECT_FALSE(c->reset);
        EXPECT_EQ(c->got, std::string("12345678").substr(0, byte));
        EXPECT_FALSE(rig.accepted.back()->ended);
    }
}

}  // namespace
}  // namespace elmbay::fault_proxy
