/// @file
/// A client connection between its upgrade request and the session or the final HTTP response.
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

/// A server that has accepted the upgrade, for a session to begin with.
struct UpgradedServer {
    balancer::ServerId id = 0;
    std::shared_ptr<Stream> stream;
    std::string subprotocol;  ///< chosen by the server; empty: none
};

/// Holds the client's socket, and one descriptor of the budget's session part if there was one to have. The
/// budget must outlive it.
///
/// Before its response a client has nothing to say: whatever comes from it, or its end, counts as a
/// disconnect.
class UpgradingClient : public std::enable_shared_from_this<UpgradingClient> {
public:
    /// After the final response the client has this long, in milliseconds, to read it and to close.
    static constexpr Millis kLingerTimeout = 1000;

    UpgradingClient(SocketBudget& budget, asio::ip::tcp::socket socket, HttpRequest request);

    /// @param on_disconnected called once, from the loop, if the client leaves before release_socket() or
    /// respond().
    void watch(std::function<void()> on_disconnected);
    /// Gives the socket away, to a session.
    asio::ip::tcp::socket release_socket();
    /// The budget's descriptor goes with the socket: whoever has it gives it back.
    void release_descriptor() { holds_descriptor_ = false; }
    /// Sends the final response and closes once the client has closed, or after kLingerTimeout.
    void respond(HttpResponse response);

    const HttpRequest& request() const { return request_; }
    /// @return the subprotocols that the client offers, in its order.
    const std::vector<std::string>& offered_subprotocols() const { return offered_subprotocols_; }
    /// @return the client's IP address; empty if it is not known any more.
    const std::string& address() const { return address_; }
    /// @return whether the budget had a descriptor for it.
    bool holds_descriptor() const { return holds_descriptor_; }

    std::optional<UpgradedServer> server;  ///< set while the end of its successful attempt is reported

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
    std::function<void()> on_disconnected_;  // empty once the outcome is known
    std::unique_ptr<HttpResponse> response_;
    std::optional<asio::steady_timer> linger_timer_;
    std::array<char, 512> discarded_input_{};
};

}  // namespace elmbay::websocket
