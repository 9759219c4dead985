/// @file
/// A client connection from its upgrade request until the session begins or the final HTTP response is sent.
#pragma once

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/sockets.hpp"
#include "base/stream_socket.hpp"
#include "base/timing.hpp"
#include "engine/engine.hpp"
#include "http/message.hpp"
#include "websocket/session.hpp"

namespace elmbay::websocket {

/// A server that has accepted the upgrade, with the connection for the session.
struct UpgradedServer {
    balancer::ServerId id = 0;
    std::shared_ptr<Stream> stream;
    std::string subprotocol;  ///< the server's choice; empty if none
};

/// Holds the client's socket and, if the session part of the socket budget had one free, a descriptor. The
/// budget must outlive this object.
///
/// A client may not send anything before it gets its response. Any byte that it sends, and the end of the
/// connection, count as a disconnect.
class UpgradingClient : public std::enable_shared_from_this<UpgradingClient> {
public:
    /// The time that the client has to read the final response and to close, in milliseconds.
    static constexpr Millis kLingerTimeout = 1000;

    UpgradingClient(SocketBudget& budget, asio::ip::tcp::socket socket, HttpRequest request);

    /// Watches the connection for a disconnect.
    /// @param on_disconnected called once, from the event loop, if the client disconnects before
    /// release_socket() or respond().
    void watch(std::function<void()> on_disconnected);
    /// Stops watching and transfers the socket to the caller, which uses it for a session.
    asio::ip::tcp::socket release_socket();
    /// Transfers the descriptor to the caller, which must return it to the budget.
    void release_descriptor() { holds_descriptor_ = false; }
    /// Sends the final response. The connection is closed when the client closes it, or after kLingerTimeout.
    void respond(HttpResponse response);

    const HttpRequest& request() const { return request_; }
    /// @return the subprotocols that the client offers, in the client's order of preference.
    const std::vector<std::string>& offered_subprotocols() const { return offered_subprotocols_; }
    /// @return the client's IP address; empty if the connection had already failed on construction.
    const std::string& address() const { return address_; }
    /// @return whether this object holds a descriptor of the budget.
    bool holds_descriptor() const { return holds_descriptor_; }

    std::optional<UpgradedServer> server;  ///< set during the report of a successful attempt

private:
    void stop_watching();
    void discard_input();
    void close();

    const HttpRequest request_;
    const std::vector<std::string> offered_subprotocols_;
    SocketBudget& budget_;
    bool holds_descriptor_;
    TcpSocket socket_;
    std::string address_;
    std::function<void()> on_disconnected_;  // empty after a disconnect, a response or release_socket()
    std::unique_ptr<HttpResponse> response_;
    std::optional<asio::steady_timer> linger_timer_;
    std::array<char, 512> discarded_input_{};
};

}  // namespace elmbay::websocket
