// Tests TCP links on loopback by what both ends of a connection observe.
#include <gtest/gtest.h>

#include <boost/asio/write.hpp>

#include "fault_proxy/stream_link.hpp"

namespace elmbay::fault_proxy {
namespace {

using Error = boost::system::error_code;

tcp::endpoint any_port() { return {asio::ip::address_v4::loopback(), 0}; }

// One end of a connection: records the received bytes and how the connection ended.
struct TestConnection : std::enable_shared_from_this<TestConnection> {
    explicit TestConnection(tcp::socket connected_socket) : socket(std::move(connected_socket)) {}
    void read() {
        socket.async_read_some(asio::buffer(buffer),
                               [self = shared_from_this()](Error error, std::size_t size) {
                                   self->received.append(self->buffer.data(), size);
                                   if (!error) return self->is_reading ? self->read() : void();
                                   self->has_ended = true;
                                   self->was_reset = error == asio::error::connection_reset;
                               });
    }
    void send(const std::string& text) { asio::write(socket, asio::buffer(text)); }
    tcp::socket socket;
    std::array<char, 4096> buffer{};
    std::string received;
    bool is_reading = true, has_ended = false, was_reset = false, is_connected = false, was_refused = false;
};

struct LinkFixture {
    asio::io_context io{1};
    EventLoopContext context{io};
    tcp::acceptor server{io, any_port()};
    StreamLink link{context, {"a", "b"}, any_port(), server.local_endpoint()};
    std::vector<std::shared_ptr<TestConnection>> accepted;

    LinkFixture() { accept(); }
    void accept() {
        server.async_accept([this](Error error, tcp::socket socket) {
            if (error) return;
            accepted.push_back(std::make_shared<TestConnection>(std::move(socket)));
            accepted.back()->read();
            accept();
        });
    }
    std::shared_ptr<TestConnection> connect() {
        auto connection = std::make_shared<TestConnection>(tcp::socket(io));
        connection->socket.async_connect(link.endpoint(), [connection](Error error) {
            connection->is_connected = !error;
            connection->was_refused = error == asio::error::connection_refused;
            if (!error) connection->read();
        });
        return connection;
    }
    template <class Condition>
    bool run_until(Condition condition) {
        const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(60);
        while (!condition()) {
            if (std::chrono::steady_clock::now() > limit) return false;
            io.run_one_for(std::chrono::milliseconds(100));
        }
        return true;
    }
    // Runs the event loop for a short fixed time. Only for checking that an event does not happen.
    void run_briefly() { io.run_for(std::chrono::milliseconds(60)); }
    void put_rule(const char* name, FaultType type, const char* from, const char* to) {
        Rule rule;
        rule.name = name, rule.type = type, rule.from = {from}, rule.to = {to};
        context.put_rule(rule);
    }
    std::shared_ptr<TestConnection> connect_and_accept() {
        const auto accepted_before = accepted.size();
        auto client = connect();
        EXPECT_TRUE(run_until([&] { return client->is_connected && accepted.size() > accepted_before; }));
        return client;
    }
};

TEST(StreamLink, PassesBytesAndHalfClosesInBothDirections) {
    LinkFixture fixture;
    const auto client = fixture.connect_and_accept();
    const auto server_end = fixture.accepted.back();
    std::string payload(3'000'000, '\0');
    for (std::size_t i = 0; i < payload.size(); ++i) payload[i] = static_cast<char>(i * 31 >> 3);
    std::size_t sent = 0;
    std::function<void()> send_more = [&] {
        if (sent == payload.size()) return client->socket.shutdown(tcp::socket::shutdown_send);
        client->socket.async_write_some(asio::buffer(payload.data() + sent, payload.size() - sent),
                                        [&](Error error, std::size_t size) {
                                            sent += size;
                                            if (!error) send_more();
                                        });
    };
    send_more();
    ASSERT_TRUE(fixture.run_until([&] { return server_end->has_ended; }));
    EXPECT_EQ(server_end->received, payload);
    EXPECT_FALSE(server_end->was_reset);
    server_end->send("and back");
    server_end->socket.shutdown(tcp::socket::shutdown_send);
    ASSERT_TRUE(fixture.run_until([&] { return client->has_ended; }));
    EXPECT_EQ(client->received, "and back");
    ASSERT_TRUE(fixture.run_until([&] { return fixture.link.open_connections() == 0; }));
}

// Many bytes at once pass through splice(2). A cut in the middle delays them and loses none.
TEST(StreamLink, PassesManyBytesUnchangedAcrossACutAndASlowReader) {
    LinkFixture fixture;
    const auto client = fixture.connect_and_accept();
    const auto server_end = fixture.accepted.back();
    std::string payload(24'000'000, '\0');
    for (std::size_t i = 0; i < payload.size(); ++i) payload[i] = static_cast<char>(i * 31 >> 5);
    asio::async_write(client->socket, asio::buffer(payload),
                      [&](Error, std::size_t) { client->socket.shutdown(tcp::socket::shutdown_send); });
    ASSERT_TRUE(fixture.run_until([&] { return server_end->received.size() > 4'000'000; }));
    // The receiver stops reading until all buffers are full, including the link's pipe. The cut then delays
    // the buffered bytes.
    server_end->is_reading = false;
    const auto buffers_are_full = [&, before = std::uint64_t{0}]() mutable {
        fixture.run_briefly();
        return std::exchange(before, fixture.link.bytes_to_target()) == fixture.link.bytes_to_target();
    };
    ASSERT_TRUE(fixture.run_until(buffers_are_full));
    fixture.put_rule("cut", FaultType::cut, "a", "b");
    const std::size_t forwarded = fixture.link.bytes_to_target() - fixture.link.queued_bytes();
    EXPECT_GT(fixture.link.queued_bytes(), 0U);
    server_end->is_reading = true;
    server_end->read();
    fixture.run_briefly();
    const std::size_t received_while_cut = server_end->received.size();
    fixture.run_briefly();
    EXPECT_EQ(server_end->received.size(), received_while_cut);
    EXPECT_EQ(received_while_cut, forwarded);
    EXPECT_FALSE(server_end->has_ended);
    fixture.context.remove_rule("cut");
    ASSERT_TRUE(
        fixture.run_until([&] { return server_end->received.size() > received_while_cut + 4'000'000; }));
    // From now on a rule applies to new bytes, but the bytes in the pipe precede them.
    fixture.put_rule("late", FaultType::delay, "a", "b");
    ASSERT_TRUE(fixture.run_until([&] { return server_end->has_ended; }));
    EXPECT_TRUE(server_end->received == payload);
    EXPECT_EQ(fixture.link.bytes_to_target(), payload.size());
}

TEST(StreamLink, DelaysBytesAndConnectionsWhileCutAndDeliversThemAfterwards) {
    LinkFixture fixture;
    const auto client = fixture.connect_and_accept();
    const auto server_end = fixture.accepted.back();
    // A cut of one direction suffices to block new connections.
    fixture.put_rule("cut", FaultType::cut, "b", "a");
    client->send("there");
    server_end->send("back");
    const auto late_client = fixture.connect();
    ASSERT_TRUE(fixture.run_until([&] { return server_end->received == "there"; }));
    fixture.run_briefly();
    EXPECT_EQ(client->received, "");
    EXPECT_FALSE(late_client->is_connected || late_client->was_refused);
    EXPECT_TRUE(fixture.context.remove_rule("cut"));
    ASSERT_TRUE(fixture.run_until([&] { return client->received == "back" && late_client->is_connected; }));
    // No backlog filler reaches the target.
    ASSERT_TRUE(fixture.run_until([&] { return fixture.accepted.size() == 2; }));
    fixture.run_briefly();
    EXPECT_EQ(fixture.accepted.size(), 2U);
}

TEST(StreamLink, RefusesResetsAndDelaysConnectionsAndTracksTheTargetState) {
    LinkFixture fixture;
    fixture.put_rule("no", FaultType::refuse, "a", "b");
    const auto refused_client = fixture.connect();
    ASSERT_TRUE(fixture.run_until([&] { return refused_client->was_refused; }));
    Rule refuse_second;
    refuse_second.name = "no", refuse_second.type = FaultType::refuse,
    refuse_second.first_number = refuse_second.last_number = 2;
    fixture.context.put_rule(refuse_second);
    const auto first = fixture.connect_and_accept();
    const auto other = fixture.connect();
    ASSERT_TRUE(fixture.run_until([&] { return other->has_ended; }));
    EXPECT_TRUE(other->was_reset);
    fixture.context.remove_rule("no");
    fixture.link.set_target_state(StreamLink::TargetState::down);
    const auto refused_while_down = fixture.connect();
    ASSERT_TRUE(fixture.run_until([&] { return refused_while_down->was_refused; }));
    EXPECT_FALSE(first->has_ended);  // open connections are not affected
    fixture.link.set_target_state(StreamLink::TargetState::up);
    // A target that refuses by itself: the first client is reset, later ones are refused until the target
    // listens again.
    const auto target_endpoint = fixture.server.local_endpoint();
    fixture.server.close();
    const auto first_refused_client = fixture.connect();
    ASSERT_TRUE(fixture.run_until([&] { return first_refused_client->has_ended; }));
    const auto second_refused_client = fixture.connect();
    ASSERT_TRUE(fixture.run_until([&] { return second_refused_client->was_refused; }));
    fixture.server = tcp::acceptor(fixture.io, target_endpoint);
    fixture.accept();
    ASSERT_TRUE(fixture.run_until([&] {
        const auto reconnected_client = fixture.connect();
        fixture.run_until(
            [&] { return reconnected_client->is_connected || reconnected_client->was_refused; });
        return reconnected_client->is_connected;
    }));
    Rule hold;
    hold.name = "hold", hold.type = FaultType::delay_open, hold.delay = 80;
    fixture.context.put_rule(hold);
    const auto delayed_client = fixture.connect();
    ASSERT_TRUE(fixture.run_until([&] { return delayed_client->is_connected; }));
    const auto accepted_before = fixture.accepted.size();
    const Millis started_at = fixture.context.now();
    delayed_client->send("x");
    ASSERT_TRUE(fixture.run_until([&] { return fixture.accepted.size() > accepted_before; }));
    EXPECT_GE(fixture.context.now() - started_at, 50);
}

// A reset reaches both ends and a half-close reaches the receiver, before each of the first bytes.
TEST(StreamLink, PropagatesAResetOrHalfCloseAtAnyByte) {
    for (std::uint64_t byte = 0; byte < 8; ++byte) {
        LinkFixture fixture;
        Rule rule;
        rule.name = "r", rule.type = FaultType::reset, rule.from = {"b"}, rule.to = {"a"},
        rule.trigger = Trigger::at_byte, rule.trigger_byte = byte;
        fixture.context.put_rule(rule);
        const auto client = fixture.connect_and_accept();
        const auto server_end = fixture.accepted.back();
        server_end->send("12345678");
        ASSERT_TRUE(fixture.run_until([&] { return client->has_ended && server_end->has_ended; })) << byte;
        EXPECT_TRUE(client->was_reset && server_end->was_reset) << byte;
        rule.type = FaultType::half_close;
        fixture.context.put_rule(rule);
        const auto second_client = fixture.connect_and_accept();
        fixture.accepted.back()->send("12345678");
        ASSERT_TRUE(fixture.run_until([&] { return second_client->has_ended; })) << byte;
        EXPECT_FALSE(second_client->was_reset);
        EXPECT_EQ(second_client->received, std::string("12345678").substr(0, byte));
        EXPECT_FALSE(fixture.accepted.back()->has_ended);
    }
}

}  // namespace
}  // namespace elmbay::fault_proxy
