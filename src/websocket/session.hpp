// One session: two WebSocket connections, each message of one side passed to the other as it comes.
//
// Messages keep their boundaries, their kind and their order; nothing is ever sent twice. Frames are checked
// by Beast (RFC 6455, sections 5 and 8.1): what breaks the protocol ends the session at that side with the
// code that says so. At most `waiting` bytes lie here each way: until they are taken nothing more is read, so
// that a slow reader slows its own writer and nobody else. Control frames are each side's own: pings are
// answered here, a close is passed on with its code.
//
// It ends once, when both sides are closed: told by `ended`.
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

// Beast asks for these by name for each kind of socket under a WebSocket stream.
inline void teardown(boost::beast::role_type role, TcpSocket& socket, boost::system::error_code& error) {
    boost::asio::ip::tcp::socket& plain = socket;
    boost::beast::websocket::teardown(role, plain, error);
}
template <class Handler>
void async_teardown(boost::beast::role_type role, TcpSocket& socket, Handler&& handler) {
    boost::asio::ip::tcp::socket& plain = socket;
    boost::beast::websocket::async_teardown(role, plain, std::forward<Handler>(handler));
}

}  // namespace elmbay

namespace elmbay::websocket {

namespace ws = boost::beast::websocket;
using Stream = ws::stream<TcpSocket>;

class Session : public std::enable_shared_from_this<Session> {
public:
    // broken: the server's side failed before anybody had ended the session in good order.
    using Ended = std::function<void(bool broken)>;

    Session(const Settings& settings, asio::ip::tcp::socket client, std::shared_ptr<Stream> server,
            Ended ended);

    // Answers the client's upgrade, whose head has been checked, and passes messages from then on.
    void start(HttpRequest head, std::string subprotocol);
    // Ends it in good order at both sides (RFC 6455, 7.4), which have `handshake` to answer.
    void close(ws::close_code code, const std::string& reason);
    // At once, without a word.
    void abort();

private:
    enum Side { client = 0, server = 1 };
    static Side other(Side side) { return side == client ? server : client; }
    struct End {
        std::shared_ptr<Stream> stream;  // as long as anything is under way on it
        std::vector<char> piece;         // read from here, on its way to the other side
        bool closing = false, closed = false;
    };

    void read(Side from);
    void pass_on(Side from, std::size_t bytes);
    void stopped(Side side, boost::system::error_code error);
    void close_side(Side side, const ws::close_reason& reason);
    void side_closed(Side side);

    Settings settings_;
    std::array<End, 2> ends_;
    Ended ended_;
    HttpRequest head_;
    std::optional<asio::steady_timer> limit_;  // for both sides to be closed, once one is
    bool settled_ = false;                     // who ended it, and whether in good order, is known
    bool broken_ = false;
};

}  // namespace elmbay::websocket
