/// @file
/// The HTTP/1.1 front: what the application's clients speak with the sidecar.
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

namespace elmbay {

/// Accepts connections, reads requests, writes responses and answers GET /up. Decides nothing about requests:
/// each complete and valid one goes to its handlers, which answer it by respond().
///
/// Parts: ClientAcceptor accepts, ClientConnection is one connection, ClientConnectionPool holds them and
/// closes idle ones when sockets run out, CorrelationIdRegistry rejects ids that are in use, GracefulShutdown
/// ends all of it.
///
/// Not thread-safe: everything runs on the event loop's thread.
class Listener final : private ClientConnectionOwner {
public:
    using Handlers = ListenerHandlers;

    /// Listens and accepts from now on. Blocks while the port is taken, see ClientAcceptor::kBindTimeout. The
    /// references must outlive the listener.
    /// @param bytes             for messages beyond the usual size.
    /// @param max_response_time how long any client waits for its response, by the settings.
    /// @throws boost::system::system_error if the address can't be listened on.
    Listener(asio::io_context& io, const Endpoint& listen, SocketBudget& budget, ByteBudget& bytes,
             TimerQueue& timers, const Clock& clock, Millis max_response_time, Handlers handlers);
    ~Listener() override;
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;
    Listener(Listener&&) = delete;
    Listener& operator=(Listener&&) = delete;

    /// Writes the final response of a request. Without effect where the client has gone.
    void respond(RequestId id, HttpResponse response);

    /// Ends gracefully, see GracefulShutdown.
    /// @param done is posted once no connection is left.
    void drain(std::function<void()> done);

    /// @return whether the client of a request in progress has closed; ended its sending, which is the same;
    ///         or sent more, which ends its request. Looks at the socket itself, ahead of the event that
    ///         tells.
    bool is_client_disconnected(RequestId id) const;

    Endpoint local_endpoint() const { return acceptor_.local_endpoint(); }
    /// @return how many are open, idle ones included.
    std::size_t connection_count() const { return connections_.size(); }

private:
    /// Bytes that are read at a time from a connection whose data is not wanted any more.
    static constexpr std::size_t kDiscardBufferBytes = std::size_t{64} * 1024;

    void add_connection(asio::ip::tcp::socket socket);

    // What connections ask and tell.
    bool is_draining() const override { return shutdown_.has_started(); }
    bool has_stopped_accepting() const override { return shutdown_.has_stopped_accepting(); }
    bool has_capacity_for_request() const override;
    bool register_correlation_id(std::string_view id) override;
    RequestId next_request_id() override { return next_request_id_++; }
    void on_first_request(ClientConnection& connection) override;
    void on_request_started(RequestId id, ClientConnection& connection) override;
    void on_client_disconnected(RequestId id) override;
    void on_idle(ClientConnection& connection) override;
    void on_closed(ClientConnection& connection) override;

    SocketBudget& budget_;
    const Clock& clock_;
    const Handlers handlers_;
    ClientAcceptor acceptor_;
    ClientConnectionPool connections_;
    CorrelationIdRegistry correlation_ids_;
    GracefulShutdown shutdown_;
    std::array<char, kDiscardBufferBytes> discard_buffer_{};  // written to and never read
    const ClientConnectionContext connection_context_;
    std::unordered_map<RequestId, ClientConnection*> requests_in_progress_;
    RequestId next_request_id_ = 1;
};

}  // namespace elmbay
