/// @file
/// The callbacks through which a Listener queries the sidecar and reports requests.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <optional>

#include "base/timing.hpp"
#include "http/message.hpp"
#include "http/request_validation.hpp"
#include "net/request_memory.hpp"

namespace elmbay {

/// Circumstances of a request's arrival.
struct RequestArrivalInfo {
    /// Time since the kernel received the request's last byte, in milliseconds; 0 if the kernel does not
    /// report it.
    Millis kernel_queue_time = 0;
    /// False if the connection uses a reserved socket or if a shutdown leaves no time for the request. Then
    /// the request must be rejected at once.
    bool has_capacity = true;
    /// The memory of the request's body. To be kept for as long as the body.
    std::optional<RequestMemory> memory{};
};

/// Callbacks of a Listener. All are called on the event loop's thread.
struct ListenerHandlers {
    /// @return why a request with this head is rejected; none if it is valid.
    std::function<std::optional<RequestProblem>(const RequestHead&)> validate;
    /// Called with each complete and valid request. It ends by one Listener::respond() or by one call of
    /// on_client_disconnected.
    std::function<void(RequestId, HttpRequest, RequestArrivalInfo)> on_request;
    /// Called when the client of a request in progress has disconnected. No response is written to it.
    std::function<void(RequestId)> on_client_disconnected;
    /// @return whether the sidecar is ready. GET /up reports it.
    std::function<bool()> is_ready;
    /// @return whether a valid request is an upgrade request. If the function is empty, no request is.
    std::function<bool(const RequestHead&)> is_upgrade{};
    /// Called for an upgrade request instead of on_request. The callee takes over the socket and responds on
    /// it.
    std::function<void(RequestId, asio::ip::tcp::socket, HttpRequest, RequestArrivalInfo)> on_upgrade{};
};

}  // namespace elmbay
