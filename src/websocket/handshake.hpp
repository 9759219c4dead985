/// @file
/// The opening handshake of RFC 6455, section 4, on both sides of the sidecar: validates request and response
/// heads and selects the headers to forward. All functions are pure: they use no socket and no clock.
///
/// Beast parses the heads, and computes and checks Sec-WebSocket-Accept. This file adds the checks that Beast
/// leaves to its user, and stricter checks where Beast accepts heads that a proxy must reject: a head that
/// two parsers can interpret differently is never forwarded.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "engine/engine.hpp"
#include "http/request_validation.hpp"

namespace elmbay::websocket {

/// The maximum number of subprotocols that one client may offer. Applications use only a few.
constexpr std::size_t kMaxSubprotocols = 16;
/// The maximum length of a subprotocol's name, in bytes.
constexpr std::size_t kMaxSubprotocolBytes = 128;
/// The only WebSocket version in use. A 426 response contains it (RFC 6455, 4.4).
constexpr const char* kWebSocketVersion = "13";

/// @return whether the `Upgrade` header contains "websocket", even if the request is otherwise invalid. Any
/// other request is plain HTTP.
bool is_upgrade_request(const RequestHead& head);

/// Checks an upgrade request against RFC 6455 (4.2.1 and 10.2), and checks the headers that the deployment
/// requires of every request.
/// @param allowed_origins the origins as a browser sends them ("https://archive.example"), compared without
/// regard to case. An empty list allows every origin. A request without an Origin header is always allowed,
/// because its client is not a browser and could send any origin.
/// @return the reason to reject the request: 426 if the client must use another version (4.4), 403 if the
/// origin is not allowed, otherwise 400. Nothing if the request is valid.
std::optional<RequestProblem> validate_upgrade(const RequestHead& head,
                                               const balancer::DeploymentSettings& deployment,
                                               const std::vector<std::string>& allowed_origins);

/// @param head the head of a request that validate_upgrade() has accepted.
/// @return the subprotocols that the client offers, in the client's order of preference.
std::vector<std::string> offered_subprotocols(const RequestHead& head);

/// Adds the client's headers to the sidecar's upgrade request: the headers that are forwarded for every
/// request, and the offered subprotocols. Key, version and Host are not copied, because they belong to the
/// sidecar's own connection. No extension is offered.
/// @param time_left the milliseconds until the attempt's deadline.
void add_forwarded_headers(http::fields& upgrade_request, const HttpRequest& client_request,
                           Millis time_left);

/// The evaluation of a server's response to an upgrade request.
struct ServerResponse {
    balancer::Outcome outcome = balancer::Outcome::error_response;  ///< success if the session can begin
    std::string subprotocol;                                        ///< the server's choice; empty if none
};

/// Applies the checks of RFC 6455, 4.1, that a client makes, except the check of Sec-WebSocket-Accept, which
/// Beast makes.
/// @param offered the subprotocols that the client offered.
/// @return the outcome of the attempt and, on success, the chosen subprotocol.
ServerResponse evaluate_server_response(const http::response_header<>& head,
                                        const std::vector<std::string>& offered);

}  // namespace elmbay::websocket
