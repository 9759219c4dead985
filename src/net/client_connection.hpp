/// @file
/// One HTTP/1.1 connection of a client, as a state machine from its acceptance to its close.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <exception>
#include <list>
#include <memory>
#include <optional>
#include <string_view>

#include "base/byte_budget.hpp"
#include "base/stream_socket.hpp"
#include "base/timing.hpp"
#include "http/message.hpp"
#include "http/request_validation.hpp"
#include "net/listener_handlers.hpp"

namespace elmbay {

class ClientConnection;

/// The listener as its connections see it. Called on the event loop's thread.
class ClientConnectionOwner {
public:
    virtual ~ClientConnectionOwner() = default;

    /// @return whether a graceful shutdown has begun: each response is the last of its connection.
    virtual bool is_draining() const = 0;
    /// @return whether the port is closed: what is not complete yet may be sent to another process.
    virtual bool has_stopped_accepting() const = 0;
    /// @return whether one more request may be in progress; if not, it is to be answered at once.
    virtual bool has_capacity_for_request() const = 0;
    /// @return false if a request with this correlation id is in progress, or was a moment ago.
    virtual bool register_correlation_id(std::string_view id) = 0;
    /// @return an id that was not used before.
    virtual RequestId next_request_id() = 0;

    /// The connection's first request has come; called once, after has_sent_request() has become true.
    virtual void on_first_request(ClientConnection& connection) = 0;
    /// A request is in progress until Listener::respond() or on_client_disconnected().
    virtual void on_request_started(RequestId id, ClientConnection& connection) = 0;
    /// The client has no further part in this request.
    virtual void on_client_disconnected(RequestId id) = 0;
    /// The connection waits for its next request.
    virtual void on_idle(ClientConnection& connection) = 0;
    /// The connection is closed, or was given away for an upgrade. Called once.
    virtual void on_closed(ClientConnection& connection) = 0;

protected:
    ClientConnectionOwner() = default;
    ClientConnectionOwner(const ClientConnectionOwner&) = default;
    ClientConnectionOwner& operator=(const ClientConnectionOwner&) = default;
};

/// What all connections of a listener share. Outlives the run of their handlers.
struct ClientConnectionContext {
    ClientConnectionOwner& owner;
    const Clock& clock;
    TimerQueue& timers;
    ByteBudget& bytes;  ///< for messages beyond the usual size
    const ListenerHandlers& handlers;
    Millis max_response_time = 0;         ///< how long any client waits for its response
    asio::mutable_buffer discard_buffer;  ///< for bytes that nobody wants
};

/// Where a client connection stands; ClientConnection has the transitions.
enum class ConnectionState {
    awaiting_request,     ///< nothing of a request has been read
    reading_request,      ///< its head or body is being read
    request_in_progress,  ///< complete, and given to the handlers
    writing_response,     ///< the response is being written
    lingering_close,      ///< our sending has ended; what still comes is read and dropped
    closed,
};

/// @return whether ClientConnection's table has this transition.
constexpr bool is_allowed_transition(ConnectionState from, ConnectionState to) {
    switch (from) {
        case ConnectionState::awaiting_request:
            return to == ConnectionState::reading_request || to == ConnectionState::writing_response ||
                   to == ConnectionState::lingering_close || to == ConnectionState::closed;
        case ConnectionState::reading_request:
            return to == ConnectionState::request_in_progress || to == ConnectionState::writing_response ||
                   to == ConnectionState::lingering_close || to == ConnectionState::closed;
        case ConnectionState::request_in_progress:
            return to == ConnectionState::writing_response || to == ConnectionState::closed;
        case ConnectionState::writing_response:
            return to == ConnectionState::awaiting_request || to == ConnectionState::lingering_close ||
                   to == ConnectionState::closed;
        case ConnectionState::lingering_close:
            return to == ConnectionState::closed;
        case ConnectionState::closed:
            return false;
    }
    return false;
}

/// One connection of a client.
///
/// | from | event | to |
/// | --- | --- | --- |
/// | awaiting_request | bytes have come | reading_request |
/// | | never a byte within kRequestReadTimeout: 408 | writing_response |
/// | | idle for kIdleTimeout after a response; idle in a shutdown | lingering_close |
/// | | the socket fails; closed to free a socket | closed |
/// | reading_request | complete and valid | request_in_progress |
/// | | invalid, too large, too slow; GET /up; an exception | writing_response |
/// | | too slow after the port was closed, on a connection that was used before | lingering_close |
/// | | client has left; given away for an upgrade; closed to free a socket | closed |
/// | request_in_progress | respond(); more bytes come: 400; an exception | writing_response |
/// | | client has left | closed |
/// | writing_response | written, and the connection is kept | awaiting_request |
/// | | written, and it is the connection's last response | lingering_close |
/// | | not written within the time limit, or the socket fails | closed |
/// | lingering_close | client has closed; kLingerTimeout is over; closed to free a socket | closed |
///
/// Any state goes to closed where the lingering close can't begin. A client that ends its sending has left
/// (PROTOCOL), but for one whose response is being written: it gets the rest of it.
///
/// Between requests, and while one is in progress, the connection only waits to be readable. That tells at
/// once when the client leaves, and reads nothing, so that an idle connection can be closed without losing a
/// request that has come but whose handler has not run.
///
/// Owned by ClientConnectionPool and by the handlers that wait for its socket and its timer. Not thread-safe.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
public:
    using List = std::list<std::shared_ptr<ClientConnection>>;

    /// A request must be complete this long after its connection came or, on a kept one, after its first
    /// byte. The usual client sends at once and gives up sooner. An error is due within 3 s (STANDING).
    static constexpr Millis kRequestReadTimeout = 2500;
    /// A kept connection that nobody uses costs a socket and some memory. The usual client comes back much
    /// sooner; the others send one request and stay for good.
    static constexpr Millis kIdleTimeout = 2000;
    /// Whoever sends what can't be used tends to send it again as soon as it is rejected: the next request is
    /// read no sooner than this.
    static constexpr Millis kPauseAfterRejection = 250;
    /// How long a lingering close waits for the client to read what it was sent, and to close.
    static constexpr Millis kLingerTimeout = 1000;
    /// Bytes that a lingering close reads and drops. Whoever sends no more than a request may have can read
    /// its response; after that the connection is reset.
    static constexpr std::size_t kMaxDiscardedBytes = kMaxRequestBodyBytes + 2 * kMaxHeadBytes;
    /// A response that is not written this long after the longest deadline is as good as lost.
    static constexpr Millis kResponseWriteMargin = 500;
    /// With no socket left for a new client, a connection goes on which nothing has come for this long ...
    static constexpr Millis kMinAgeWithoutBytes = 50;
    /// ... or on which no whole request has come for this long.
    static constexpr Millis kMinAgeWithoutRequest = 500;
    /// The parser reads ahead of itself this far at most: a chunk's line or a trailer without end stops here.
    static constexpr std::size_t kMaxReadAhead = 2 * kMaxHeadBytes;

    ClientConnection(const ClientConnectionContext& context, asio::ip::tcp::socket socket);

    /// Waits for the first request.
    void start();

    /// Writes the response to the request in progress.
    void respond(HttpResponse response);

    /// Closes at once: nothing is due to the client, or nobody is there to read it.
    void close();

    /// For a shutdown: begins a lingering close if no request can be expected. A connection on which no
    /// request ever came is left alone if it came after `silent_since`.
    void close_if_idle(Millis silent_since);

    /// Lets a request that is being read end as too slow, if it is not complete.
    void stop_reading();

    bool is_idle() const { return state_ == ConnectionState::awaiting_request && !reading_is_paused_; }
    /// @return when it became idle; before its first response, when it came.
    Millis idle_since() const { return idle_since_; }
    /// @return whether a request has come on it, whatever became of that. GET /up counts as none.
    bool has_sent_request() const { return has_sent_request_; }
    /// @return whether it may be closed when sockets are needed.
    bool is_evictable(Millis now) const;
    /// @return whether bytes have come that were not read: a request may be among them.
    bool has_unread_data() const;
    /// @return whether the client of the request in progress has left. Bytes count as much as an end: an end
    ///         may stand behind them, and they end the request in any case.
    bool has_client_disconnected();

    /// For ClientConnectionPool alone.
    List::iterator list_position;

private:
    using Error = boost::system::error_code;

    void enter(ConnectionState state);

    // ---- time and events of the socket
    void set_timeout(Millis timeout);
    void on_timeout();
    void await_readable();
    void on_readable();
    void on_readable_during_request();
    void notify_client_disconnected();

    // ---- reading a request
    void read_request();
    void on_head_read(Error error);
    void on_body_read(Error error);
    void on_read_failed(Error error);
    void on_read_timed_out();
    std::optional<RequestProblem> find_problem(const HttpRequest& head) const;
    bool reserve_body();
    void on_request_complete();
    void answer_health_check();
    void start_request(HttpRequest request);
    void hand_over(HttpRequest request, const RequestArrivalInfo& received);

    // ---- responding
    enum class AfterResponse { keep, close };
    void reject(const RequestProblem& problem, AfterResponse after);
    void write(HttpResponse response);
    void on_written(Error error);
    void await_next_request();
    void release_message_memory();

    // ---- closing
    void begin_lingering_close();
    void discard_input();

    // ---- exceptions
    // An exception on a request's way (no memory, say) must not leave its client without an outcome: whoever
    // would have given it later may not know of the request.
    template <class Work>
    void run_guarded(Work work) {
        try {
            work();
        } catch (const std::exception& error) {
            on_exception(error);
        }
    }
    void on_exception(const std::exception& exception);

    const ClientConnectionContext& context_;
    TcpSocket socket_;
    // Only while a request is being read: idle connections are many.
    std::optional<boost::beast::flat_buffer> buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    std::optional<HttpResponse> response_;             // while it is being written
    std::optional<ByteBudget::Grant> message_memory_;  // for a body beyond the usual size, in or out
    std::optional<RequestProblem> problem_;            // of the request being read
    RequestId request_id_ = 0;                         // of the request in progress; 0: none
    ConnectionState state_ = ConnectionState::awaiting_request;
    bool has_sent_request_ = false;
    bool has_been_answered_ = false;    // a response was written, and the connection was kept
    bool is_waiting_readable_ = false;  // a wait on the socket is outstanding
    bool closes_after_response_ = false;
    bool read_timed_out_ = false;  // the time for the request being read is over
    bool response_is_rejection_ = false;
    bool reading_is_paused_ = false;   // after a rejection, in awaiting_request: bytes are left unread
    std::size_t discarded_bytes_ = 0;  // in lingering_close
    Millis idle_since_;
    TimerQueue::Key timer_{};
};

}  // namespace elmbay
