/// @file
/// One WebSocket session: two connections, where each message of one side is relayed to the other side.
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

/// Closes the socket under a WebSocket stream. Beast finds this overload by argument-dependent lookup; it
/// needs one for each socket type.
inline void teardown(boost::beast::role_type role, TcpSocket& socket, boost::system::error_code& error) {
    boost::asio::ip::tcp::socket& plain_socket = socket;
    boost::beast::websocket::teardown(role, plain_socket, error);
}
/// The asynchronous variant of teardown().
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
/// Messages keep their boundaries, their kind (text or binary) and their order, and no message is sent twice.
/// Beast checks the frames (RFC 6455, sections 5 and 8.1): a protocol error closes that side with the
/// matching close code. Control frames are not relayed: Beast responds to pings on each side, and the session
/// closes the other side with the close code that it received.
///
/// Backpressure: the session buffers at most `relay_buffer_bytes` for each direction, and reads more only
/// after it has written them. A slow reader therefore slows down only the peer that writes to it.
///
/// The state of each side changes from open to closing (during the close handshake) to closed, or directly to
/// closed. The pending operations and Proxy own the session. Not thread-safe.
class Session : public std::enable_shared_from_this<Session> {
public:
    /// Called once, when both sides are closed.
    /// @param broken whether the connection to the server failed before the session was closed by a close
    /// handshake or by the sidecar, and before the client's connection failed.
    using EndedHandler = std::function<void(bool broken)>;

    /// @param server_stream the stream to the server, after its opening handshake.
    Session(const Settings& settings, asio::ip::tcp::socket client_socket,
            std::shared_ptr<Stream> server_stream, EndedHandler on_ended);

    /// Accepts the client's validated upgrade request, then relays messages.
    /// @param subprotocol the subprotocol that the server chose; empty if none.
    void start(HttpRequest request, std::string subprotocol);
    /// Closes both sides with a close handshake (RFC 6455, 7.4), which may take `handshake_timeout`.
    void close(ws::close_code code, const std::string& reason);
    /// Closes both connections at once, without a close frame.
    void abort();

private:
    enum Side { client = 0, server = 1 };
    enum class SideState { open, closing, closed };
    /// One of the two connections.
    struct Peer {
        std::shared_ptr<Stream> stream;  // stays alive until its last operation has ended
        std::vector<char> buffer;        // bytes read from this side, to be written to the other side
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
    std::array<Peer, 2> peers_;  // indexed by Side
    EndedHandler on_ended_;
    HttpRequest upgrade_request_;                    // kept until the client's handshake is complete
    std::optional<asio::steady_timer> close_timer_;  // runs from the first close until both sides are closed
    bool has_end_cause_ = false;                     // the first cause sets is_broken_
    bool is_broken_ = false;
};

}  // namespace elmbay::websocket
