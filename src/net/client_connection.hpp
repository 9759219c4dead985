/// @file
/// One HTTP/1.1 connection of a client, as a state machine from accept to close.
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
#include "net/request_memory.hpp"
#include "net/request_parser.hpp"

namespace elmbay {

class ClientConnection;

/// The interface that a ClientConnection uses to query and notify its listener. All functions are called on
/// the event loop's thread.
class ClientConnectionOwner {
public:
    virtual ~ClientConnectionOwner() = default;

    /// @return whether a graceful shutdown has begun. Then each connection closes after its next response.
    virtual bool is_draining() const = 0;
    /// @return whether one more request may be in progress. If not, the request must be rejected at once.
    virtual bool has_capacity_for_request() const = 0;
    /// Records the correlation id of a request.
    /// @return false if a request with this id is in progress or was until recently (CorrelationIdRegistry).
    virtual bool register_correlation_id(std::string_view id) = 0;
    /// @return a request id that has not been used before.
    virtual RequestId next_request_id() = 0;

    /// Reports that the connection has received a valid request for the API. Called for each such request.
    virtual void on_request_accepted(ClientConnection& connection) = 0;
    /// Reports that a request on the connection was rejected, and that the connection is kept open.
    virtual void on_request_rejected(ClientConnection& connection) = 0;
    /// Reports that a request is in progress. It stays so until Listener::respond() or
    /// on_client_disconnected().
    virtual void on_request_started(RequestId id, ClientConnection& connection) = 0;
    /// Reports that the client of a request in progress has disconnected or that the connection has cancelled
    /// the request.
    virtual void on_client_disconnected(RequestId id) = 0;
    /// Reports that the connection waits for its next request, or for its client to close it, and that it may
    /// be closed to free a socket. Not called after a rejection.
    virtual void on_idle(ClientConnection& connection) = 0;
    /// Reports that the connection is closed or that its socket was handed over for an upgrade. Called once.
    virtual void on_closed(ClientConnection& connection) = 0;

protected:
    ClientConnectionOwner() = default;
    ClientConnectionOwner(const ClientConnectionOwner&) = default;
    ClientConnectionOwner& operator=(const ClientConnectionOwner&) = default;
};

/// Dependencies that all connections of a listener share. Must outlive every call of their handlers.
struct ClientConnectionContext {
    ClientConnectionOwner& owner;
    const Clock& clock;
    TimerQueue& timers;
    ByteBudget& byte_budget;  ///< memory for messages that are not small
    const ListenerHandlers& handlers;
    Millis max_response_time = 0;         ///< the longest time that any client waits for its response
    asio::mutable_buffer discard_buffer;  ///< receives input that is read and discarded
};

/// The states of a client connection. The doc comment of ClientConnection lists the transitions.
enum class ConnectionState {
    awaiting_request,     ///< no byte of the next request has been read
    reading_request,      ///< the head or body of a request is being read
    request_in_progress,  ///< the request is complete and was passed to the handlers
    writing_response,     ///< the response is being written
    lingering_close,      ///< the sending side is shut down; further input is read and discarded
    closed,
};

/// What the client connections of a listener do, as numbers of connections. Each connection counts once.
struct ClientConnectionCounts {
    std::size_t reading_request = 0;
    std::size_t request_in_progress = 0;
    std::size_t writing_response = 0;
    std::size_t lingering_close = 0;
    std::size_t idle = 0;                  ///< awaiting a request, with no unread bytes
    std::size_t idle_with_unread = 0;      ///< awaiting a request whose first bytes were not read yet
    std::size_t rejected = 0;              ///< in the pause after a rejection, with no unread bytes
    std::size_t rejected_with_unread = 0;  ///< in the pause after a rejection, with the next request unread

    /// @return the number of all open connections.
    std::size_t total() const {
        return reading_request + request_in_progress + writing_response + lingering_close + idle +
               idle_with_unread + rejected + rejected_with_unread;
    }
};

/// @return whether the state table of ClientConnection has this transition.
constexpr bool is_allowed_transition(ConnectionState from, ConnectionState to) {
    switch (from) {
        case ConnectionState::awaiting_request:
            return to == ConnectionState::reading_request || to == ConnectionState::writing_response ||
                   to == ConnectionState::lingering_close || to == ConnectionState::closed;
        case ConnectionState::reading_request:
            return to == ConnectionState::request_in_progress || to == ConnectionState::writing_response ||
                   to == ConnectionState::closed;
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
/// | awaiting_request | the socket is readable | reading_request |
/// | | no byte arrives on a new connection within kRequestReadTimeout: 408 | writing_response |
/// | | idle for kIdleTimeout after a response; idle during a shutdown | lingering_close |
/// | | the socket fails; evicted to free a socket | closed |
/// | reading_request | the request is complete and valid | request_in_progress |
/// | | the request is invalid, too large or too slow; GET /up; an exception | writing_response |
/// | | the client disconnects; handed over for an upgrade | closed |
/// | request_in_progress | respond(); more bytes arrive: 400; an exception | writing_response |
/// | | the client disconnects | closed |
/// | writing_response | the response is written, and the connection is kept alive | awaiting_request |
/// | | the response is written, and it had "Connection: close" | lingering_close |
/// | | the response is not written within the time limit; the socket fails | closed |
/// | lingering_close | the client closes; kLingerTimeout expires; evicted to free a socket | closed |
///
/// Any state changes to closed if the lingering close fails to start. A half-close by the client counts as a
/// disconnect (PROTOCOL), except while its response is being written: then the client gets the rest of it.
///
/// Between requests, and while a request is in progress, the connection waits for readability without
/// reading. The event reports a disconnect at once. Because nothing is read, an idle connection can be closed
/// without losing a request that has arrived but whose handler has not run.
///
/// After a rejection the connection is kept, but its next request stays unread for kPauseAfterRejection. When
/// sockets run out, such a connection is the first to be evicted, and unread bytes do not protect it: a
/// client that repeats a rejected request has unread bytes during nearly all of the pause.
///
/// Owned by ClientConnectionPool and by the pending handlers of its socket and timer. Not thread-safe.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
public:
    using List = std::list<std::shared_ptr<ClientConnection>>;

    /// Time within which a request must be complete, from the accept of its connection or, on a connection
    /// that was kept alive, from its first byte. Typical clients send at once and give up sooner. The client
    /// must get an error within 3 s (STANDING).
    static constexpr Millis kRequestReadTimeout = 2500;
    /// Time after which an idle connection is closed. An idle connection costs a socket and memory. Typical
    /// clients send their next request much sooner; others send one request and never close.
    static constexpr Millis kIdleTimeout = 2000;
    /// Delay before the next request is read after a rejection. Clients that send invalid requests tend to
    /// repeat them as soon as they are rejected.
    static constexpr Millis kPauseAfterRejection = 250;
    /// Time that a lingering close waits for the client to read its response and to close.
    static constexpr Millis kLingerTimeout = 1000;
    /// Bytes that a lingering close reads and discards. A client that sends no more than the largest allowed
    /// request can read its response. With more input the connection is reset.
    static constexpr std::size_t kMaxDiscardedBytes = kMaxRequestBodyBytes + 2 * kMaxHeadBytes;
    /// Time added to the longest client deadline as the limit for writing a response. A response that has not
    /// been written by then is of no use to its client.
    static constexpr Millis kResponseWriteMargin = 500;
    /// Minimum time since a rejection after which a connection may be evicted when sockets run out. It bounds
    /// how often clients that reconnect at once are accepted only to be rejected again.
    static constexpr Millis kMinAgeAfterRejection = 50;
    /// Minimum age at which a connection without any received byte may be evicted when sockets run out. The
    /// age includes the time in the accept queue, so that silent clients do not delay the clients behind them
    /// there. A connection that has had a response, also one to GET /up, has no such protection.
    static constexpr Millis kMinAgeWithoutBytes = 50;
    /// Time since the last received byte after which an incomplete request may be rejected when sockets run
    /// out. It bounds the time that other clients wait in the accept queue for clients that stop in the
    /// middle of a request: with it a request of any deadline has its response within the 500 ms after its
    /// deadline that STANDING allows.
    static constexpr Millis kMinStallTime = 150;
    /// Time after which an incomplete request may be rejected when sockets run out, even if its bytes keep
    /// arriving.
    static constexpr Millis kMinAgeWithoutRequest = 500;

    ClientConnection(const ClientConnectionContext& context, asio::ip::tcp::socket socket);

    /// Starts to wait for the first request.
    void start();

    /// Writes the response to the request in progress.
    void respond(HttpResponse response);

    /// Closes the connection to free its socket. Must be evictable. Unread bytes after a rejection are read
    /// and discarded first, so that the close does not reset the connection.
    void evict();

    /// Closes the socket at once. Used if the client expects no response or can't read one any more.
    void close();

    /// Begins a lingering close, during a shutdown, if the connection is idle and has no unread data. A
    /// connection without any request so far is closed only if it was accepted before `accepted_before`.
    void close_if_idle(Millis accepted_before);

    /// Stops reading the current request. If it is incomplete, it ends as too slow.
    void stop_reading();

    /// @return whether the connection waits for its next request. True also in the pause after a rejection.
    bool is_idle() const { return state_ == ConnectionState::awaiting_request; }
    /// @return when the connection became idle, or when it was accepted if it has had no response yet.
    Millis idle_since() const { return idle_since_; }
    /// Adds the connection to the count of its state. A closed connection is not counted.
    void count_into(ClientConnectionCounts& counts) const;
    /// @return whether the connection may be closed to free a socket.
    bool is_evictable(Millis now);
    /// @return whether a request has been incomplete for kMinAgeWithoutRequest, or its client has sent
    /// nothing
    ///         for kMinStallTime. Such a connection is not evictable, because its client may only be slow and
    ///         must get a response; stop_reading() gives it one.
    bool is_stalled(Millis now);
    /// @return whether the kernel holds received bytes that were not read. They may contain a request.
    bool has_unread_data() const;
    /// @return whether the client of the request in progress has disconnected. Unread bytes count as a
    ///         disconnect too: a disconnect may follow them, and they cancel the request in any case.
    bool has_client_disconnected();

    /// The list of ClientConnectionPool that contains this connection, and the position in it. Only that
    /// class uses them.
    List* list = nullptr;
    List::iterator list_position;

private:
    using Error = boost::system::error_code;

    void enter(ConnectionState state);
    // Returns whether a connection without any received byte has reached kMinAgeWithoutBytes.
    bool is_old_without_bytes(Millis now);
    // Returns whether the client is known to have sent nothing for `time`. Unread bytes count as sent when
    // they arrived.
    bool has_been_silent_for(Millis time, Millis now);

    // ---- timer and socket events
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
    std::optional<RequestProblem> find_problem(const RequestHead& head) const;
    void read_head();
    void read_body();
    bool can_continue_after(Error error);
    void on_request_complete();
    void respond_to_health_check();
    void start_request(HttpRequest request);
    void hand_over_socket(HttpRequest request, RequestArrivalInfo arrival);

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
    // Runs `work` and responds to the client with an error if `work` throws (std::bad_alloc, for example).
    // Otherwise the client might get no outcome, because the handlers may not have recorded the request.
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
    // These three exist only while a request is being read, because most connections are idle.
    std::optional<RequestMemory> request_memory_;
    std::optional<boost::beast::flat_buffer> buffer_;
    std::optional<RequestParser> parser_;
    std::optional<HttpResponse> response_;              // the response that is being written
    std::optional<ByteBudget::Grant> response_memory_;  // for a body above kMaxBodyBytesWithoutGrant
    std::optional<RequestProblem> problem_;             // why the request that is being read is rejected
    RequestId request_id_ = 0;                          // the request in progress; 0 if there is none
    ConnectionState state_ = ConnectionState::awaiting_request;
    bool has_sent_request_ = false;             // a valid request was received, whatever its outcome
    bool latest_request_was_rejected_ = false;  // GET /up does not count, neither here nor above
    bool has_sent_response_ = false;            // a response was written, and the connection was kept alive
    bool is_waiting_readable_ = false;          // an asynchronous wait on the socket is outstanding
    bool closes_after_response_ = false;
    bool read_timed_out_ = false;  // the time limit of the request that is being read has expired
    bool response_is_rejection_ = false;
    bool reading_is_paused_ = false;   // in awaiting_request, after a rejection: input is left unread
    std::size_t discarded_bytes_ = 0;  // bytes that lingering_close has read and discarded
    Millis idle_since_;
    Millis last_receive_;   // when the client last sent a byte or connected; may have been later
    Millis reading_since_;  // start of the time limit of the request that is being read
    TimerQueue::Key timer_{};
};

}  // namespace elmbay
