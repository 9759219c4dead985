// Valid heads of client and server opening handshakes as text, and functions that parse them with Beast.
#pragma once

#include <optional>
#include <string>

#include "websocket/handshake.hpp"

namespace elmbay::websocket::test {

// Returns settings with one class of each idempotency: "safe", "unsafe" and "keyed".
inline balancer::DeploymentSettings deployment() {
    using balancer::Idempotency;
    balancer::DeploymentSettings deployment;
    for (const auto& [name, idempotency] : {std::pair{"safe", Idempotency::idempotent},
                                            {"unsafe", Idempotency::non_idempotent},
                                            {"keyed", Idempotency::idempotency_key}}) {
        balancer::RequestClass request_class;
        request_class.idempotency = idempotency;
        deployment.settings.classes.push_back(request_class);
        deployment.classes.emplace_back(name);
        deployment.client_timeouts.push_back(1000);
    }
    return deployment;
}

// Replaces the first occurrence of `from` in `text`, if there is one.
inline std::string replace_first(std::string text, const std::string& from, const std::string& to) {
    if (const auto at = text.find(from); !from.empty() && at != std::string::npos)
        text.replace(at, from.size(), to);
    return text;
}
// Returns a valid upgrade request in which `to` replaces `from`.
inline std::string request_head(const std::string& from, const std::string& to) {
    return replace_first(
        "GET /api/live?t=7 HTTP/1.1\r\nHost: app.svc\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
        "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\nX-Correlation-Id: "
        "id-1\r\n"
        "X-Service-Class: safe\r\nX-Time-Left: 900m\r\n\r\n",
        from, to);
}
// Returns a valid response to an upgrade request in which `to` replaces `from`.
inline std::string response_head(const std::string& from, const std::string& to) {
    return replace_first(
        "HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
        "Sec-WebSocket-Accept: s3pPLMBiTxaQ9kYGzzhZRbK+xOo=\r\n\r\n",
        from, to);
}

// Parses the text. Returns nothing if it is not a complete, valid head.
template <class Parser>
auto parsed(std::string_view text) -> std::optional<typename Parser::value_type> {
    Parser parser;
    parser.header_limit(kMaxHeadBytes);
    boost::system::error_code error;
    parser.put(boost::asio::buffer(text.data(), text.size()), error);
    if (error || !parser.is_header_done()) return {};
    return parser.get();
}
inline auto parsed_request(std::string_view text) {
    return parsed<http::request_parser<http::string_body>>(text);
}
inline auto parsed_response(std::string_view text) {
    return parsed<http::response_parser<http::string_body>>(text);
}

}  // namespace elmbay::websocket::test
