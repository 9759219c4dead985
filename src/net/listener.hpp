/// @file
/// The HTTP/1.1 frontend, which serves the application's clients.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <string_view>
#include <unordered_map>

#include "base/byte_budget.hpp"
#include "base/sockets.hpp"
#include "base/timing.hpp"
#include "config/config.hpp"
#include "net/client_acceptor.hpp"
#include "net/client_connection.hpp"
#include "net/client_connection_pool.hpp"
#include "net/correlation_id_registry.hpp"
#include "net/graceful_shutdown.hpp"
#include "net/listener_handlers.hpp"
#include "net/log_events.hpp"

namespace elmbay {

/// Accepts connections, reads requests, writes responses and responds to GET /up. It makes no load-balancing
/// decisions: each complete and valid request is passed to the handlers, whose owner responds by respond().
///
/// Parts: ClientAcceptor accepts connections. ClientConnection handles one connection. ClientConnectionPool
/// holds all of them and closes idle ones when sockets run out. CorrelationIdRegistry detects ids that are in
/// use. GracefulShutdown runs the shutdown.
///
/// Not thread-safe: everything runs on the event loop's thread.
class Listener final : private ClientConnectionOwner {
public:
    using Handlers = ListenerHandlers;

    /// Listens and accepts from now on. Blocks while the port is in use, for up to
    /// ClientAcceptor::kBindTimeoutMs. The referenced objects must outlive the listener.
    /// @param byte_budget       memory budget for bodies larger than kMaxBodyBytesWithoutGrant.
    /// @param max_response_time the longest time that any client waits for its response, by the settings.
    /// @throws boost::system::system_error if the process can't listen on the address.
    Listener(asio::io_context& io, const Endpoint& listen, SocketBudget& socket_budget,
             ByteBudget& byte_budget, TimerQueue& timers, const Clock& clock, Millis max_response_time,
             Handlers handlers);
    ~Listener() override;
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;
    Listener(Listener&&) = delete;
    Listener& operator=(Listener&&) = delete;

    /// Writes the final response to a request. Has no effect if the client has disconnected.
    void respond(RequestId id, HttpResponse response);

    /// Starts a graceful shutdown, see GracefulShutdown.
    /// @param done posted to the event loop when no connection is left.
    void drain(std::function<void()> done);

    /// @return whether the client of a request in progress has closed or half-closed its connection, or has
    ///         sent more bytes, which cancel its request. Queries the socket directly, so the result is
    ///         current even if the event loop has not handled the socket's event yet.
    bool is_client_disconnected(RequestId id) const;

    Endpoint local_endpoint() const { return acceptor_.local_endpoint(); }
    /// @return the number of open connections, including idle ones.
    std::size_t connection_count() const { return connections_.size(); }

private:
    /// Size of the buffer into which a lingering close reads the input that it discards.
    static constexpr std::size_t kDiscardBufferBytes = std::size_t{64} * 1024;

    void add_connection(asio::ip::tcp::socket socket);
    void log_accepting_paused();

    // ClientConnectionOwner
    bool is_draining() const override { return shutdown_.has_started(); }
    bool has_capacity_for_request() const override;
    bool register_correlation_id(std::string_view id) override;
    RequestId next_request_id() override { return next_request_id_++; }
    void on_request_accepted(ClientConnection& connection) override;
    void on_request_rejected(ClientConnection& connection) override;
    void on_request_started(RequestId id, ClientConnection& connection) override;
    void on_client_disconnected(RequestId id) override;
    void on_idle(ClientConnection& connection) override;
    void on_closed(ClientConnection& connection) override;

    SocketBudget& socket_budget_;
    const Clock& clock_;
    const Handlers handlers_;
    ClientAcceptor acceptor_;
    ClientConnectionPool connections_;
    CorrelationIdRegistry correlation_ids_;
    AcceptingPausedLog accepting_paused_log_;
    GracefulShutdown shutdown_;
    std::array<char, kDiscardBufferBytes>
        discard_buffer_{};  // shared by all lingering closes; its content is never used
    const ClientConnectionContext connection_context_;
    std::unordered_map<RequestId, ClientConnection*> requests_in_progress_;
    RequestId next_request_id_ = 1;
};

}  // namespace elmbay
