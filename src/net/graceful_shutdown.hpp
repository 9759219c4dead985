/// @file
/// The stages in which a listener ends without losing a request.
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
/// - 0: connections are still accepted; each response says `Connection: close`;
/// - kAcceptingPeriod: what waits in the kernel's queue is accepted, then the port is closed. From here on
/// idle
///   connections are closed, looked for every kIdleCheckInterval;
/// - kRequestCutoff: reading requests is stopped, and none has capacity any more;
/// - once no connection is left: `done` is called.
///
/// The platform kills no sooner than the longest deadline and 0.7 s after it has told us to end (PROTOCOL): a
/// request that was received before kRequestCutoff has its response by then.
///
/// Not thread-safe. Owned by Listener.
class GracefulShutdown {
public:
    static constexpr Millis kAcceptingPeriod = 500;
    static constexpr Millis kRequestCutoff = 650;
    static constexpr Millis kIdleCheckInterval = 20;
    /// A client that has been connected for this long and is silent is not about to send its first request.
    static constexpr Millis kSilentConnectionAge = 100;

    /// The references must outlive this object and the timers that it sets.
    GracefulShutdown(asio::io_context& io, const Clock& clock, TimerQueue& timers, ClientAcceptor& acceptor,
                     ClientConnectionPool& connections)
        : io_(io), clock_(clock), timers_(timers), acceptor_(acceptor), connections_(connections) {}

    /// Begins; without effect if it has begun.
    /// @param done is posted once no connection is left.
    void start(std::function<void()> done);

    bool has_started() const { return has_started_; }
    bool has_stopped_accepting() const { return has_stopped_accepting_; }
    /// @return whether a request that is complete now can have its response before the process is killed.
    bool has_time_for_request() const { return clock_.now() < request_cutoff_; }

    /// A connection has been removed from the pool.
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
