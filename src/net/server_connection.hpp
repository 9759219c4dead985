/// @file
/// One HTTP/1.1 connection to a server, as a state machine from connect to close.
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

/// The result of a request that was sent on a connection.
struct ExchangeResult {
    Outcome outcome = Outcome::connection_reset;
    HttpResponse response{};              ///< the response if it is complete; otherwise empty
    bool is_response_complete = false;    ///< whether the server has sent a complete response
    bool is_connection_reusable = false;  ///< whether the connection stays open for another request
};

/// The interface through which a ServerConnection notifies its Upstream. All functions are called on the
/// event loop's thread.
class ServerConnectionOwner {
public:
    virtual ~ServerConnectionOwner() = default;

    /// Reports that one connect() has succeeded or failed.
    /// @param was_server_contacted false if it failed for lack of a socket, a port or a route on this
    ///                             machine.
    virtual void on_connect_finished(ServerId server, bool was_server_contacted) = 0;
    /// Reports that the connection is established and idle.
    virtual void on_connected(const std::shared_ptr<ServerConnection>& connection) = 0;
    /// Reports that the server refused the connection or that the connect timeout expired. The connection is
    /// closed.
    virtual void on_connect_failed(const std::shared_ptr<ServerConnection>& connection) = 0;
    /// Reports the result of an attempt's request. The connection is idle if it is reusable, otherwise
    /// closed.
    virtual void on_exchange_ended(const std::shared_ptr<ServerConnection>& connection,
                                   const AttemptKey& attempt, ExchangeResult result) = 0;
    /// Reports that the connection has closed its descriptor. Called once.
    virtual void on_closed(ServerConnection& connection) = 0;

protected:
    ServerConnectionOwner() = default;
    ServerConnectionOwner(const ServerConnectionOwner&) = default;
    ServerConnectionOwner& operator=(const ServerConnectionOwner&) = default;
};

/// Dependencies that all connections of an Upstream share. Must outlive every call of their handlers.
struct ServerConnectionContext {
    ServerConnectionOwner& owner;
    asio::io_context& io;
    const Clock& clock;
    TimerQueue& timers;
    ByteBudget& byte_budget;  ///< memory for bodies larger than kMaxBodyBytesWithoutGrant
    Millis connect_timeout = 0;
    asio::mutable_buffer read_buffer;  ///< receives the bytes of one read; one connection uses it at a time
};

/// The states of a server connection. The doc comment of ServerConnection lists the transitions.
enum class ServerConnectionState {
    connecting,
    idle,                   ///< established, without a request
    in_use,                 ///< a request is being written, or its response is awaited
    awaiting_write_result,  ///< the socket is closed; the write's handler, which shows whether the request's
                            ///< last byte was written, has not run yet
    closed,
};

/// @return whether the state table of ServerConnection has this transition.
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
/// | connecting | the connection is established | idle |
/// | | the server refuses the connection; the connect timeout expires | closed |
/// | idle | send() | in_use |
/// | | readable: the server has closed it or sends unsolicited bytes; close() | closed |
/// | in_use | the response is complete, and the connection can carry another request | idle |
/// | | a response or failure precedes the result of the write; stop_writing() | awaiting_write_result |
/// | | any other response or failure; abandon(); close() | closed |
/// | awaiting_write_result | stop_writing() is called again | awaiting_write_result |
/// | | the write completes | closed |
///
/// The connection always waits for readability, but reads only while it is in use. While it is idle, received
/// bytes stay in the kernel, where is_usable() detects them. Anything that arrives before a request (a close,
/// a duplicate response, garbage) closes the connection, so it can't be taken for the response to that
/// request.
///
/// Owned by ServerConnectionPool while idle, by its attempt while in use, and by the pending handlers of its
/// socket. Holds one descriptor of SocketPurpose::servers until on_closed(). Not thread-safe.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
public:
    using List = std::list<std::shared_ptr<ServerConnection>>;

    /// Interval between two connects while a socket or a port is lacking. Such a shortage is short. An
    /// attempt waits for its connection for at least about 50 ms, which allows several retries.
    static constexpr Millis kConnectRetryInterval = 10;

    ServerConnection(const ServerConnectionContext& context, ServerId server, const Endpoint& endpoint);

    /// Starts to connect. on_connected() or on_connect_failed() reports the result.
    void connect();

    /// @return whether a request may be written: the connection is idle, and the server has neither sent
    ///         bytes nor closed it.
    bool is_usable();

    /// Writes the request of an attempt and reads its response. on_exchange_ended() reports the result,
    /// unless abandon() or close() is called before.
    /// @param time_left time until the client's deadline. The server gets it as X-Time-Left.
    void send(const AttemptKey& attempt, std::shared_ptr<const HttpRequest> message, Millis time_left);

    /// @return whether the write of the request is still pending.
    bool is_writing() const { return exchange_ && exchange_->is_write_pending; }

    /// Closes the socket of a request whose write deadline has passed. The last byte may still have been
    /// written; the result of the write, which follows at once, shows that. on_exchange_ended() reports the
    /// result.
    void stop_writing();

    /// Resets the connection of a request that was cancelled or timed out, so that the kernel discards the
    /// unsent part of the request. Otherwise, if the network path is interrupted, the kernel could deliver
    /// the request long after its deadline.
    void abandon();

    /// Closes the socket at once. on_exchange_ended() is not called.
    void close();

    ServerId server() const { return server_; }
    const Endpoint& endpoint() const { return endpoint_; }

    /// The position in ServerConnectionPool. Only that class uses it.
    struct PoolPosition {
        List::iterator in_server;                       ///< in the idle list of its server
        std::list<ServerConnection*>::iterator in_all;  ///< in the list of all idle connections
        Millis idle_since = 0;
    };
    std::optional<PoolPosition> pool_position;  ///< empty while not in the pool

private:
    using Error = boost::system::error_code;

    // A request and its response on this connection.
    struct Exchange {
        Exchange(const AttemptKey& attempt, ByteBudget& byte_budget)
            : attempt(attempt), response(byte_budget) {}

        AttemptKey attempt;
        ResponseReader response;
        // `request` refers to the body of `message`. A copy for each attempt would take too much memory.
        std::shared_ptr<const HttpRequest> message;
        std::optional<http::request<http::span_body<const char>>> request;
        bool is_write_pending = true;
        bool is_written = false;         // the kernel has accepted the request's last byte
        bool is_read = false;            // the response is complete or malformed, or the server has closed
        bool has_server_closed = false;  // the server has closed or reset the connection
        Outcome outcome_if_unwritten = Outcome::connect_failed;
    };

    void enter(ServerConnectionState state);
    void open();
    void schedule_reopen();
    void on_connected();
    void on_connect_failed();
    void await_readable();
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
    std::optional<Exchange> exchange_;  // kept after close(), because a pending write may refer to it
    ServerConnectionState state_ = ServerConnectionState::connecting;
    bool is_waiting_readable_ = false;  // an asynchronous wait on the socket is outstanding
    TimerQueue::Key connect_timer_{};
    TimerQueue::Key retry_timer_{};
};

}  // namespace elmbay
