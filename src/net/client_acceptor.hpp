/// @file
/// The listening socket: accepts connections of clients within the budget of sockets, whatever accept() fails
/// with.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>

#include "base/sockets.hpp"
#include "base/timing.hpp"
#include "config/config.hpp"

namespace elmbay {

/// Accepts one connection after the other and hands each to its owner.
///
/// No error ends the accepting. A connection that was aborted before it could be accepted is passed over.
/// While sockets are lacking, the kernel's queue keeps the clients, and accepting is tried again after a
/// pause or as soon as on_socket_released() is called.
///
/// Each accepted connection holds one descriptor of SocketPurpose::clients; its owner gives it back. Not
/// thread-safe. Owned by Listener.
class ClientAcceptor {
public:
    /// How long a port that is taken is waited for, in milliseconds: a planned restart may begin before the
    /// process before has ended (PROTOCOL: 3.7 s after SIGTERM at the latest).
    static constexpr int kBindTimeout = 5000;
    /// Between two tries to bind, in milliseconds.
    static constexpr int kBindRetryInterval = 20;
    /// Between two tries to accept while no socket is to be had.
    static constexpr Millis kRetryInterval = 20;
    /// Aborted connections that are passed over in a row. After so many the event loop goes on with others.
    static constexpr int kMaxConsecutiveFailures = 64;

    /// Called on the event loop's thread, never from the constructor.
    struct Handlers {
        /// Takes over the connection and its descriptor.
        std::function<void(asio::ip::tcp::socket)> on_accepted;
        /// This process may open no more descriptors: closing one of its own helps.
        std::function<void()> on_out_of_descriptors;
    };

    /// Listens; accepts nothing before start(). Blocks for up to kBindTimeout while the port is taken.
    /// @throws boost::system::system_error if the address can't be listened on.
    ClientAcceptor(asio::io_context& io, const Endpoint& listen, SocketBudget& budget, TimerQueue& timers,
                   const Clock& clock, Handlers handlers);

    /// Accepts from now on, until close().
    void start() { accept(); }

    /// A socket has become free, or a connection that may be closed for a new one has.
    void on_socket_released();

    /// Accepts all that waits in the kernel's queue.
    /// @return false if some may be left there: a descriptor or the machine's memory is lacking. True also
    ///         where the budget of sockets is used up.
    bool accept_pending();

    /// Stops listening. The kernel resets what is left in its queue.
    void close();

    /// Valid until close(). With port 0 asked for, the port that the kernel chose.
    Endpoint local_endpoint() const { return acceptor_.local_endpoint(); }

private:
    void bind(const Endpoint& listen);
    void accept();
    void on_accept_failed(const boost::system::error_code& error);
    void retry_later();

    asio::io_context& io_;
    asio::ip::tcp::acceptor acceptor_;
    SocketBudget& budget_;
    TimerQueue& timers_;
    const Clock& clock_;
    const Handlers handlers_;
    bool is_accepting_ = false;  // an accept is outstanding
    bool is_waiting_for_socket_ =
        false;                      // clients may wait in the kernel's queue, and no socket is to be had
    int consecutive_failures_ = 0;  // of connections that were aborted before they were accepted
    TimerQueue::Key retry_timer_{};
};

}  // namespace elmbay
