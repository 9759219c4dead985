// The opening handshake of RFC 6455, section 4, on both sides of the sidecar: what a head must say to be
// passed on, and what is passed on. Functions of one head: no socket, no clock, nothing kept.
//
// Heads are parsed, and keys answered (Sec-WebSocket-Accept), by Beast. Here is what it leaves to its user,
// or takes more generously than a relay may: a head that two parsers can read in two ways is never passed on.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "engine/engine.hpp"
#include "http/request_validation.hpp"

namespace elmbay::websocket {

constexpr std::size_t kMaxSubprotocols = 16;      // offered by one client; an application has a few
constexpr std::size_t kMaxSubprotocolName = 128;  // bytes of each

// Whether a request asks for an upgrade to WebSocket, well or badly: `Upgrade` names it. Anything else is a
// request like all others.
bool asks_upgrade(const RequestHead& head);

// Why an upgrade can't be passed on: RFC 6455 4.2.1 and 10.2, and what the protocol wants of any request.
// 426 where another version would do (4.4), 403 for an origin that the operator does not list, else 400.
// origins: as a browser writes them ("https://archive.example"), compared without case; empty: any. A client
// that names no origin is no browser, and not what such a list protects from: it may come.
std::optional<RequestProblem> validate_upgrade(const RequestHead& head,
                                               const balancer::DeploymentSettings& deployment,
                                               const std::vector<std::string>& origins);

// The subprotocols that a client without problem offers, in its order of preference.
std::vector<std::string> offered_by(const RequestHead& head);

// What the sidecar adds to its own upgrade request to a server: the headers that any request passes on, and
// the subprotocols. Key, version and tokens are the connection's; extensions are not offered.
void ask_server(http::fields& into, const HttpRequest& client, Millis left);

// What a server has made of it (4.1, client requirements on the answer). Its accept is checked by Beast.
struct ServerAnswer {
    balancer::Outcome outcome = balancer::Outcome::error_response;  // completed: the session stands
    std::string subprotocol;                                        // chosen; empty: none
};
ServerAnswer read_answer(const http::response_header<>& head, const std::vector<std::string>& offered);

// Of a 426: the version that would do (RFC 6455 4.4).
constexpr const char* kVersion = "13";

}  // namespace elmbay::websocket
