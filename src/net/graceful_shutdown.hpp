/// @file
/// The stages in which a listener shuts down without losing a request.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <limits>

#include "base/timing.hpp"
#include "net/client_acceptor.hpp"
#include "net/client_connection_pool.hpp"

namespace elmbay {

/// A listener's graceful shutdown. Its stages, by the time since start():
///
/// - 0: connections are still accepted; each response has `Connection: close`;
/// - kAcceptingPeriod: the connections in the kernel's queue are accepted, then the port is closed. From then
///   on idle connections are closed, in a check every kIdleCheckInterval;
/// - kRequestCutoff: reading requests stops, and every further request is rejected;
/// - when no connection is left, `done` is called.
///
/// The platform kills the process no sooner than the longest deadline plus 0.7 s after SIGTERM (PROTOCOL). So
/// a request that is received before kRequestCutoff gets its response before the kill.
///
/// Not thread-safe. Owned by Listener.
class GracefulShutdown {
public:
    static constexpr Millis kAcceptingPeriod = 500;
    static constexpr Millis kRequestCutoff = 650;
    static constexpr Millis kIdleCheckInterval = 20;
    /// Age at which a connection without any request counts as idle: such a client is not expected to send
    /// its first request any more.
    static constexpr Millis kSilentConnectionAge = 100;

    /// The referenced objects must outlive this one and the timers that it sets.
    GracefulShutdown(asio::io_context& io, const Clock& clock, TimerQueue& timers, ClientAcceptor& acceptor,
                     ClientConnectionPool& connections)
        : io_(io), clock_(clock), timers_(timers), acceptor_(acceptor), connections_(connections) {}

    /// Starts the shutdown. Has no effect if it has already started.
    /// @param done posted to the event loop when no connection is left.
    void start(std::function<void()> done);

    bool has_started() const { return has_started_; }
    /// @return whether a request that is complete now can get its response before the process is killed.
    bool has_time_for_request() const { return clock_.now() < request_cutoff_; }

    /// To be called when a connection was removed from the pool.
    void on_connection_closed();

private:
    void stop_accepting();
    void close_idle_connections();
    void stop_reading();
    void post_done();

    asio::io_context& io_;
    const Clock& clock_;
    TimerQueue& timers_;
    ClientAcceptor& acceptor_;
    ClientConnectionPool& connections_;
    bool has_started_ = false;
    bool has_stopped_accepting_ = false;
    Millis request_cutoff_ = std::numeric_limits<Millis>::infinity();
    std::function<void()> done_;
};

}  // namespace elmbay
