/// @file
/// One HTTP/1.1 connection to a server, as a state machine from the connect to its close.
#pragma once

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/system/error_code.hpp>
#include <list>
#include <memory>
#include <optional>

#include "base/byte_budget.hpp"
#include "base/stream_socket.hpp"
#include "base/timing.hpp"
#include "config/config.hpp"
#include "engine/engine.hpp"
#include "http/message.hpp"
#include "net/response_reader.hpp"

namespace elmbay {

using balancer::Outcome;
using balancer::RequestId;
using balancer::ServerId;

using engine::AttemptKey;

class ServerConnection;

/// What became of a request that was sent on a connection.
struct ExchangeResult {
    Outcome outcome = Outcome::connection_reset;
    HttpResponse response{};              ///< only if complete; else empty
    bool is_response_complete = false;    ///< the server has said something whole
    bool is_connection_reusable = false;  ///< else it is closed
};

/// Upstream as its connections see it. Called on the event loop's thread.
class ServerConnectionOwner {
public:
    virtual ~ServerConnectionOwner() = default;

    /// A connect has ended in one way or the other.
    /// @param server_was_asked false: it failed for want of a socket, a port or a route on this machine.
    virtual void on_connect_tried(ServerId server, bool server_was_asked) = 0;
    /// The connection is up and idle.
    virtual void on_connected(const std::shared_ptr<ServerConnection>& connection) = 0;
    /// The server has refused it, or it was not up in time. The connection is closed.
    virtual void on_connect_failed(const std::shared_ptr<ServerConnection>& connection) = 0;
    /// The request of this attempt has had its end. The connection is idle if it is reusable, else closed.
    virtual void on_exchange_ended(const std::shared_ptr<ServerConnection>& connection,
                                   const AttemptKey& attempt, ExchangeResult result) = 0;
    /// The connection's descriptor is free. Called once.
    virtual void on_closed(ServerConnection& connection) = 0;

protected:
    ServerConnectionOwner() = default;
    ServerConnectionOwner(const ServerConnectionOwner&) = default;
    ServerConnectionOwner& operator=(const ServerConnectionOwner&) = default;
};

/// What all connections of an Upstream share. Outlives the run of their handlers.
struct ServerConnectionContext {
    ServerConnectionOwner& owner;
    asio::io_context& io;
    const Clock& clock;
    TimerQueue& timers;
    ByteBudget& bytes;  ///< for responses beyond the usual size
    Millis connect_timeout = 0;
    asio::mutable_buffer read_buffer;  ///< for what is being read, of one connection at a time
};

/// Where a server connection stands; ServerConnection has the transitions.
enum class ServerConnectionState {
    connecting,
    idle,                   ///< up, with no request on it
    in_use,                 ///< a request is being written, or its response awaited
    awaiting_write_result,  ///< the socket is closed; whether the request's last byte had gone out is not
                            ///< known
    closed,
};

/// @return whether ServerConnection's table has this transition.
constexpr bool is_allowed_transition(ServerConnectionState from, ServerConnectionState to) {
    switch (from) {
        case ServerConnectionState::connecting:
            return to == ServerConnectionState::idle || to == ServerConnectionState::closed;
        case ServerConnectionState::idle:
            return to == ServerConnectionState::in_use || to == ServerConnectionState::closed;
        case ServerConnectionState::in_use:
            return to == ServerConnectionState::idle || to == ServerConnectionState::awaiting_write_result ||
                   to == ServerConnectionState::closed;
        case ServerConnectionState::awaiting_write_result:
            return to == ServerConnectionState::awaiting_write_result || to == ServerConnectionState::closed;
        case ServerConnectionState::closed:
            return false;
    }
    return false;
}

/// One connection to a server.
///
/// | from | event | to |
/// | --- | --- | --- |
/// | connecting | it is up | idle |
/// | | refused, or not up within the connect timeout | closed |
/// | idle | send() | in_use |
/// | | readable: the server has closed it, or sends what nobody asked for; close() | closed |
/// | in_use | complete response, and the connection can carry another request | idle |
/// | | response or failure before the write's result; stop_writing() | awaiting_write_result |
/// | | any other response or failure; abandon(); close() | closed |
/// | awaiting_write_result | stop_writing() once more | awaiting_write_result |
/// | | the write's result | closed |
///
/// The connection always waits to be readable, and reads only for an attempt. While it is idle nothing is
/// taken from the kernel, so that is_usable() sees all that came, and whatever comes before a request (an
/// end, a second copy of a response, noise) closes the connection instead of passing for the request's
/// response.
///
/// Owned by ServerConnectionPool while idle, by its attempt while in use, and by the handlers that wait for
/// its socket. Holds one descriptor of SocketPurpose::servers until on_closed(). Not thread-safe.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
public:
    using List = std::list<std::shared_ptr<ServerConnection>>;

    /// Between two tries to connect while a socket or a port is lacking. Such a shortage lasts for moments,
    /// and an attempt's share of time for its connection, 50 ms or so at least, holds several tries.
    static constexpr Millis kConnectRetryInterval = 10;

    ServerConnection(const ServerConnectionContext& context, ServerId server, const Endpoint& endpoint);

    /// Begins to connect. Ends in on_connected() or on_connect_failed().
    void connect();

    /// @return whether a request may be written: the connection is idle, and neither bytes nor an end have
    /// come.
    bool is_usable();

    /// Writes the request of an attempt and reads its response. Ends in on_exchange_ended(), unless abandon()
    /// or close() comes first.
    /// @param time_left what the server is told of the client's deadline.
    void send(const AttemptKey& attempt, std::shared_ptr<const HttpRequest> message, Millis time_left);

    /// @return whether the result of the request's write is not known yet.
    bool is_writing() const { return exchange_ && exchange_->is_write_pending; }

    /// For a request whose time to be written is over. Closes the socket. Whether the last byte had gone out
    /// all the same, only the write's own result tells, which comes at once; on_exchange_ended() follows.
    void stop_writing();

    /// For a request that was given up. Resets the connection, so that what the kernel still holds of the
    /// request goes too: a path that is cut now may open again long after the request's deadline, and would
    /// bring it to the server then.
    void abandon();

    /// Closes at once; no on_exchange_ended() follows.
    void close();

    ServerId server() const { return server_; }
    const Endpoint& endpoint() const { return endpoint_; }

    /// For ServerConnectionPool alone.
    struct PoolPosition {
        List::iterator in_server;                       ///< among the idle ones of its server
        std::list<ServerConnection*>::iterator in_all;  ///< among all idle ones
        Millis idle_since = 0;
    };
    std::optional<PoolPosition> pool_position;  ///< none while it is not in the pool

private:
    using Error = boost::system::error_code;

    // A request and its response.
    struct Exchange {
        Exchange(const AttemptKey& attempt, ByteBudget& bytes) : attempt(attempt), response(bytes) {}

        AttemptKey attempt;
        ResponseReader response;
        // The body is the message's own: as many copies as attempts would take much of a small memory.
        std::shared_ptr<const HttpRequest> message;
        std::optional<http::request<http::span_body<const char>>> request;
        bool is_write_pending = true;
        bool is_written = false;         // the kernel has taken the request's last byte
        bool is_read = false;            // the response is complete or malformed, or none will come
        bool has_server_closed = false;  // nothing more comes
        Outcome outcome_if_unwritten = Outcome::connect_failed;
    };

    void enter(ServerConnectionState state);
    void open();
    void open_later();
    void on_connected();
    void on_connect_failed();
    void await_readable();
    void close_unexpectedly_readable();
    void on_written(Error error);
    void read_response();
    void read_available();
    void reset_on_close();
    void close_and_await_write_result();
    void finish_exchange(Error write_error);
    ExchangeResult take_result(Error write_error);
    bool is_reusable(Error write_error) const;

    const ServerConnectionContext& context_;
    const ServerId server_;
    const Endpoint endpoint_;
    TcpSocket socket_;
    std::optional<Exchange> exchange_;  // stays after close(): the write may still refer to it
    ServerConnectionState state_ = ServerConnectionState::connecting;
    bool is_waiting_readable_ = false;  // a wait on the socket is outstanding
    TimerQueue::Key connect_timer_{};
    TimerQueue::Key retry_timer_{};
};

}  // namespace elmbay
