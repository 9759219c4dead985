#include "websocket/handshake.hpp"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <cctype>
#include <string_view>

namespace elmbay::websocket {

namespace {

using boost::beast::iequals;

constexpr const char* kProtocolHeader = "Sec-WebSocket-Protocol";
constexpr const char* kKeyHeader = "Sec-WebSocket-Key";
constexpr const char* kVersionHeader = "Sec-WebSocket-Version";

RequestProblem bad_request(const char* text) { return {http::status::bad_request, text}; }

// Returns whether a header's value consists of tokens and commas only (RFC 7230, section 7). This check is
// needed because Beast's token_list silently stops at the first syntax error.
bool is_token_list(boost::beast::string_view value) {
    return http::validate_list(http::opt_token_list(value));
}

// Returns whether one of the header's lines is a valid token list that contains `token`.
bool has_token(const http::fields& fields, http::field name, std::string_view token) {
    const auto [first, last] = fields.equal_range(name);
    return std::any_of(first, last, [&](const auto& line) {
        return is_token_list(line.value()) &&
               http::token_list(line.value()).exists({token.data(), token.size()});
    });
}

// Returns whether `text` is 16 bytes in base64 (RFC 4648, section 4): 22 digits and two padding characters.
bool is_key(std::string_view text) {
    constexpr std::size_t digits = 22;
    constexpr std::string_view padding = "==";
    const auto is_digit = [](unsigned char character) {
        return std::isalnum(character) != 0 || character == '+' || character == '/';
    };
    return text.size() == digits + padding.size() && text.substr(digits) == padding &&
           std::all_of(text.begin(), text.begin() + digits, is_digit);
}

// Adds one subprotocol. Returns false if the list is full, the name is too long, or the list already contains
// it.
bool add_subprotocol(std::vector<std::string>& subprotocols, const std::string& name) {
    const bool has_capacity = subprotocols.size() < kMaxSubprotocols && name.size() <= kMaxSubprotocolBytes;
    if (!has_capacity) return false;
    const bool is_repeated = std::find(subprotocols.begin(), subprotocols.end(), name) != subprotocols.end();
    if (is_repeated) return false;
    subprotocols.push_back(name);
    return true;
}

// Returns the offered subprotocols of all Sec-WebSocket-Protocol lines, or nothing if a line is not a valid
// token list, a token is repeated, or a limit is exceeded.
std::optional<std::vector<std::string>> parse_subprotocols(const http::fields& fields) {
    std::vector<std::string> subprotocols;
    const auto [first, last] = fields.equal_range(kProtocolHeader);
    for (auto line = first; line != last; ++line) {
        const http::token_list tokens(line->value());
        const bool is_empty = tokens.begin() == tokens.end();
        if (is_empty || !is_token_list(line->value())) return {};
        for (const auto token : tokens) {
            if (!add_subprotocol(subprotocols, std::string(token))) return {};
        }
    }
    return subprotocols;
}

bool repeats_single_header(const RequestHead& head) {
    const auto single_headers = {"Host", kKeyHeader, kVersionHeader, "Origin"};
    return std::any_of(single_headers.begin(), single_headers.end(),
                       [&](const char* name) { return head.count(name) > 1; });
}

std::optional<RequestProblem> validate_as_http(const RequestHead& head) {
    if (head.method() != http::verb::get) return bad_request("an upgrade is a GET\n");
    if (head.version() != kHttp11) return bad_request("an upgrade is HTTP/1.1\n");
    if (repeats_single_header(head)) return bad_request("a header that may stand once is repeated\n");
    if (head[http::field::host].empty()) return bad_request("Host is missing\n");
    const bool has_body =
        head.count(http::field::content_length) > 0 || head.count(http::field::transfer_encoding) > 0;
    if (has_body) return bad_request("an upgrade has no body\n");
    return {};
}

std::optional<RequestProblem> validate_as_websocket(const RequestHead& head) {
    if (!has_token(head, http::field::upgrade, "websocket")) return bad_request("Upgrade is not websocket\n");
    if (!has_token(head, http::field::connection, "upgrade")) {
        return bad_request("Connection is not upgrade\n");
    }
    if (header_value(head, kVersionHeader) != kWebSocketVersion) {
        return RequestProblem{http::status::upgrade_required, "Sec-WebSocket-Version 13\n"};
    }
    if (!is_key(header_value(head, kKeyHeader))) {
        return bad_request("Sec-WebSocket-Key is not 16 bytes in base64\n");
    }
    if (!parse_subprotocols(head)) {
        return bad_request("Sec-WebSocket-Protocol is no list of different tokens\n");
    }
    return {};
}

bool is_origin_allowed(const RequestHead& head, const std::vector<std::string>& allowed_origins) {
    const auto origin = head[http::field::origin];
    if (allowed_origins.empty() || origin.empty()) return true;
    return std::any_of(allowed_origins.begin(), allowed_origins.end(),
                       [&](const std::string& allowed) { return iequals(allowed, origin); });
}

}  // namespace

bool is_upgrade_request(const RequestHead& head) {
    const auto [first, last] = head.equal_range(http::field::upgrade);
    return std::any_of(first, last,
                       [](const auto& line) { return http::token_list(line.value()).exists("websocket"); });
}

std::optional<RequestProblem> validate_upgrade(const RequestHead& head,
                                               const balancer::DeploymentSettings& deployment,
                                               const std::vector<std::string>& allowed_origins) {
    if (const auto problem = validate_as_http(head)) return problem;
    if (const auto problem = validate_as_websocket(head)) return problem;
    if (!is_origin_allowed(head, allowed_origins)) {
        return RequestProblem{http::status::forbidden, "this origin is not allowed\n"};
    }
    return validate_headers(head, deployment);
}

std::vector<std::string> offered_subprotocols(const RequestHead& head) {
    return parse_subprotocols(head).value_or(std::vector<std::string>());
}

void add_forwarded_headers(http::fields& upgrade_request, const HttpRequest& client_request,
                           Millis time_left) {
    for (const auto& line : make_forwarded_request(client_request)) {
        if (line.name() != http::field::host) upgrade_request.set(line.name_string(), line.value());
    }
    upgrade_request.set("X-Time-Left", format_time_left(time_left));
    std::string subprotocols;
    for (const std::string& name : offered_subprotocols(client_request)) {
        if (!subprotocols.empty()) subprotocols += ", ";
        subprotocols += name;
    }
    if (!subprotocols.empty()) upgrade_request.set(kProtocolHeader, subprotocols);
}

ServerResponse evaluate_server_response(const http::response_header<>& head,
                                        const std::vector<std::string>& offered) {
    using balancer::Outcome;
    if (head.result() != http::status::switching_protocols) {
        return {is_marked_unprocessed(head) ? Outcome::rejected : Outcome::error_response, {}};
    }
    const bool is_websocket = has_token(head, http::field::upgrade, "websocket") &&
                              has_token(head, http::field::connection, "upgrade");
    if (!is_websocket) return {};
    // The sidecar offers no extension, so a response that names one is invalid: the client could not decode
    // frames that use the extension.
    if (head.count(http::field::sec_websocket_extensions) > 0) return {};
    const std::size_t chosen_count = head.count(kProtocolHeader);
    if (chosen_count > 1) return {};
    const auto chosen = header_value(head, kProtocolHeader);
    const bool was_offered = std::find(offered.begin(), offered.end(), chosen) != offered.end();
    if (chosen_count == 1 && !was_offered) return {};
    return {Outcome::success, std::string(chosen)};
}

}  // namespace elmbay::websocket
