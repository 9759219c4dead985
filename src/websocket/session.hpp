/// @file
/// One WebSocket session: two connections, each message of one side relayed to the other as it comes.
#pragma once

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/websocket.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/stream_socket.hpp"
#include "http/message.hpp"
#include "websocket/settings.hpp"

namespace elmbay {

/// Beast finds this by argument-dependent lookup, for each kind of socket under a WebSocket stream.
inline void teardown(boost::beast::role_type role, TcpSocket& socket, boost::system::error_code& error) {
    boost::asio::ip::tcp::socket& plain_socket = socket;
    boost::beast::websocket::teardown(role, plain_socket, error);
}
/// As teardown().
template <class Handler>
void async_teardown(boost::beast::role_type role, TcpSocket& socket, Handler&& handler) {
    boost::asio::ip::tcp::socket& plain_socket = socket;
    boost::beast::websocket::async_teardown(role, plain_socket, std::forward<Handler>(handler));
}

}  // namespace elmbay

namespace elmbay::websocket {

namespace ws = boost::beast::websocket;
using Stream = ws::stream<TcpSocket>;

/// Relays messages until both connections are closed.
///
/// Messages keep their boundaries, their kind and their order; nothing is ever sent twice. Beast checks the
/// frames (RFC 6455, sections 5 and 8.1): a protocol error ends the session at that side with the matching
/// close code. Control frames are each side's own: pings are answered here, a close is passed on with its
/// code.
///
/// Backpressure: at most `relay_buffer_bytes` are held for each direction. Until they are written nothing
/// more is read, so a slow reader slows down its own writer and nobody else.
///
/// Each side goes from open to closing (its close handshake runs) to closed, or to closed at once. Owned by
/// its pending operations and by Proxy. Not thread-safe.
class Session : public std::enable_shared_from_this<Session> {
public:
    /// Called once, when both sides are closed.
    /// @param broken the server's side failed before either side had closed the session properly.
    using EndedHandler = std::function<void(bool broken)>;

    /// @param server_stream whose opening handshake is complete.
    Session(const Settings& settings, asio::ip::tcp::socket client_socket,
            std::shared_ptr<Stream> server_stream, EndedHandler on_ended);

    /// Answers the client's validated upgrade request, then relays.
    /// @param subprotocol chosen by the server; empty: none.
    void start(HttpRequest request, std::string subprotocol);
    /// Closes both sides properly (RFC 6455, 7.4). They have `handshake_timeout` to answer.
    void close(ws::close_code code, const std::string& reason);
    /// Closes both connections at once, without a close frame.
    void abort();

private:
    enum Side { client = 0, server = 1 };
    enum class SideState { open, closing, closed };
    /// One of the two connections.
    struct Peer {
        std::shared_ptr<Stream> stream;  // kept until its last operation has ended
        std::vector<char> buffer;        // read here, to be written to the other side
        SideState state = SideState::open;
    };

    static Side other_side(Side side) { return side == client ? server : client; }
    bool is_open(Side side) const { return peers_[side].state == SideState::open; }

    void read(Side from);
    void relay(Side from, std::size_t bytes);
    void on_side_failed(Side side, boost::system::error_code error);
    ws::close_reason close_reason_after(Side failed_side, boost::system::error_code error) const;
    void close_side(Side side, const ws::close_reason& reason);
    void start_close_timer();
    void on_side_closed(Side side);

    Settings settings_;
    std::array<Peer, 2> peers_;  // by Side
    EndedHandler on_ended_;
    HttpRequest upgrade_request_;                    // until the client's handshake is complete
    std::optional<asio::steady_timer> close_timer_;  // runs from the first close until both sides are closed
    bool end_cause_is_known_ = false;                // the first cause decides whether the session is broken
    bool is_broken_ = false;
};

}  // namespace elmbay::websocket
