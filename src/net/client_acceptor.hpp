/// @file
/// The listening socket: accepts client connections within the socket budget and keeps accepting after any
/// error of accept().
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>

#include "base/sockets.hpp"
#include "base/timing.hpp"
#include "config/config.hpp"

namespace elmbay {

/// Accepts client connections one at a time and passes each to Handlers::on_accepted.
///
/// Accepting continues after every error. A connection that was aborted before it was accepted is skipped.
/// While no socket is available, new connections stay in the kernel's accept queue, and accepting is retried
/// after kAcceptRetryInterval or when on_socket_released() is called.
///
/// Each accepted connection holds one descriptor of SocketPurpose::clients, which the owner of the connection
/// returns to the budget. Not thread-safe. Owned by Listener.
class ClientAcceptor {
public:
    /// How long the constructor retries bind() while the port is in use, in milliseconds. A planned restart
    /// may start this process before the previous one has exited (PROTOCOL: at most 3.7 s after SIGTERM).
    static constexpr int kBindTimeoutMs = 5000;
    /// Interval between two calls of bind() while the port is in use, in milliseconds.
    static constexpr int kBindRetryIntervalMs = 20;
    /// Interval between two attempts to accept while no socket is available.
    static constexpr Millis kAcceptRetryInterval = 20;
    /// Consecutive aborted connections that are skipped at once. After that accepting pauses for
    /// kAcceptRetryInterval, so that the event loop can run other handlers.
    static constexpr int kMaxConsecutiveFailures = 64;

    /// Callbacks to the owner. They run on the event loop's thread, never inside the constructor.
    struct Handlers {
        /// Called with each accepted connection. The callee takes over the socket and its descriptor.
        std::function<void(asio::ip::tcp::socket)> on_accepted;
        /// Called when the process has reached its descriptor limit. The callee should close a connection.
        std::function<void()> on_out_of_descriptors;
        /// Called each time that accepting pauses because the socket budget has no socket for a client and no
        /// connection can be closed.
        std::function<void()> on_paused;
    };

    /// Starts to listen, but accepts no connection before start(). Blocks for up to kBindTimeoutMs while the
    /// port is in use.
    /// @throws boost::system::system_error if the process can't listen on the address.
    ClientAcceptor(asio::io_context& io, const Endpoint& listen, SocketBudget& socket_budget,
                   TimerQueue& timers, const Clock& clock, Handlers handlers);

    /// Accepts connections from now on, until close().
    void start() { accept(); }

    /// To be called when a socket has become free, or when a connection has become idle and may be closed in
    /// favour of a new one. Retries accepting if it was waiting for a socket.
    void on_socket_released();

    /// Accepts all connections in the kernel's accept queue, as far as the socket budget allows.
    /// @return false if connections may remain in the queue because a descriptor or memory of the machine is
    ///         lacking. True if the queue is empty or the socket budget is used up.
    bool accept_pending();

    /// Stops listening. The kernel resets the connections that remain in its accept queue.
    void close();

    /// @return the address that the socket is bound to. If the configured port is 0, this has the port that
    ///         the kernel chose. Valid until close().
    Endpoint local_endpoint() const { return acceptor_.local_endpoint(); }

private:
    void bind(const Endpoint& listen);
    void accept();
    void on_accept_failed(const boost::system::error_code& error);
    void schedule_retry();

    asio::io_context& io_;
    asio::ip::tcp::acceptor acceptor_;
    SocketBudget& socket_budget_;
    TimerQueue& timers_;
    const Clock& clock_;
    const Handlers handlers_;
    bool is_accepting_ = false;  // an asynchronous accept is outstanding
    // The socket budget is used up, and connections may be waiting in the kernel's accept queue.
    bool is_waiting_for_socket_ = false;
    int consecutive_failures_ = 0;  // accept() errors in a row caused by aborted connections
    TimerQueue::Key retry_timer_{};
};

}  // namespace elmbay
