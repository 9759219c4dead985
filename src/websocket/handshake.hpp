/// @file
/// The opening handshake of RFC 6455, section 4, on both sides of the sidecar: what a request or response
/// head must say, and what of it is passed on. Pure functions of one head: no socket, no clock.
///
/// Beast parses the heads and computes and checks Sec-WebSocket-Accept. Here is what Beast leaves to its
/// user, or accepts more generously than a proxy may: a head that two parsers can read in two ways is never
/// passed on.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "engine/engine.hpp"
#include "http/request_validation.hpp"

namespace elmbay::websocket {

/// Subprotocols that one client may offer. An application has a few.
constexpr std::size_t kMaxSubprotocols = 16;
/// Bytes of each subprotocol's name.
constexpr std::size_t kMaxSubprotocolBytes = 128;
/// The only WebSocket version in use. A 426 response names it (RFC 6455, 4.4).
constexpr const char* kWebSocketVersion = "13";

/// @return whether `Upgrade` names websocket, in a valid request or not. Any other request is plain HTTP.
bool is_upgrade_request(const RequestHead& head);

/// Checks an upgrade request against RFC 6455 (4.2.1 and 10.2) and against the headers that the deployment
/// demands of any request.
/// @param allowed_origins as a browser writes them ("https://archive.example"), compared without case; empty:
/// any. A client that sends no Origin is no browser, and such a list does not protect from it: it is allowed.
/// @return why it can't be passed on: 426 where another version would do (4.4), 403 for an origin that is not
/// allowed, else 400. Nothing if it can.
std::optional<RequestProblem> validate_upgrade(const RequestHead& head,
                                               const balancer::DeploymentSettings& deployment,
                                               const std::vector<std::string>& allowed_origins);

/// @param head of a request that validate_upgrade() has accepted.
/// @return the subprotocols that the client offers, in its order of preference.
std::vector<std::string> offered_subprotocols(const RequestHead& head);

/// Adds to the sidecar's own upgrade request what comes from the client: the headers that any request passes
/// on, and the subprotocols. Key, version and Host are the connection's own; no extension is offered.
/// @param time_left milliseconds until the attempt's deadline.
void add_forwarded_headers(http::fields& upgrade_request, const HttpRequest& client_request,
                           Millis time_left);

/// What a server's response to an upgrade means.
struct ServerResponse {
    balancer::Outcome outcome = balancer::Outcome::error_response;  ///< success: the session can begin
    std::string subprotocol;                                        ///< chosen by the server; empty: none
};

/// Applies the client's checks of RFC 6455, 4.1, but for Sec-WebSocket-Accept, which Beast checks.
/// @param offered the subprotocols that the client offered.
ServerResponse evaluate_server_response(const http::response_header<>& head,
                                        const std::vector<std::string>& offered);

}  // namespace elmbay::websocket
