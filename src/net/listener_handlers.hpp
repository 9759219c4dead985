/// @file
/// What a Listener asks of the sidecar, and tells it about requests.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <optional>

#include "base/timing.hpp"
#include "http/message.hpp"
#include "http/request_validation.hpp"

namespace elmbay {

/// How a request came in.
struct RequestArrivalInfo {
    /// In the kernel since the request's last byte came, in milliseconds; 0 where the kernel does not tell.
    Millis kernel_queue_time = 0;
    /// False: accepted on the reserve of sockets, or too late in a shutdown. It must be answered at once.
    bool has_capacity = true;
};

/// All of them are called on the event loop's thread.
struct ListenerHandlers {
    /// @return why a request with this head can't be used; none if it can.
    std::function<std::optional<RequestProblem>(const RequestHead&)> validate;
    /// A request is complete. Each one gets either one Listener::respond() or one on_client_disconnected.
    std::function<void(RequestId, HttpRequest, RequestArrivalInfo)> on_request;
    /// The client of a request in progress has left. Nothing more is sent to it.
    std::function<void(RequestId)> on_client_disconnected;
    /// @return the answer to GET /up.
    std::function<bool()> is_ready;
    /// @return whether a request without a problem asks for the connection itself. Empty: none does.
    std::function<bool(const RequestHead&)> is_upgrade{};
    /// Called in place of on_request for an upgrade. Takes over the connection and answers on it.
    std::function<void(RequestId, asio::ip::tcp::socket, HttpRequest, RequestArrivalInfo)> on_upgrade{};
};

}  // namespace elmbay
