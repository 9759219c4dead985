#include "websocket/handshake.hpp"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <cctype>

namespace elmbay::websocket {

namespace {

using boost::beast::iequals;

constexpr const char* kProtocol = "Sec-WebSocket-Protocol";
constexpr const char* kKey = "Sec-WebSocket-Key";

// Nothing but tokens and commas (RFC 7230, section 7). Beast's list leaves out from the first fault on.
bool is_list(boost::beast::string_view value) { return http::validate_list(http::opt_token_list(value)); }

// Whether one of the header's values, a list of tokens, has this one.
bool has_token(const http::fields& fields, http::field name, std::string_view token) {
    const auto [from, to] = fields.equal_range(name);
    return std::any_of(from, to, [&](const auto& f) {
        return is_list(f.value()) && http::token_list(f.value()).exists({token.data(), token.size()});
    });
}

// 16 bytes in base64 (RFC 4648, section 4): 22 digits and the padding.
bool is_key(std::string_view text) {
    const auto digit = [](unsigned char c) { return std::isalnum(c) != 0 || c == '+' || c == '/'; };
    return text.size() == 24 && text.substr(22) == "==" &&
           std::all_of(text.begin(), text.begin() + 22, digit);
}

// A list of tokens, each named once, over however many header lines.
std::optional<std::vector<std::string>> tokens_of(const http::fields& fields, const char* name) {
    std::vector<std::string> all;
    const auto [from, to] = fields.equal_range(name);
    for (auto f = from; f != to; ++f) {
        const http::token_list list(f->value());
        if (!is_list(f->value()) || list.begin() == list.end()) return {};
        for (const auto token : list) {
            const std::string text(token);
            if (all.size() == kMaxSubprotocols || text.size() > kMaxSubprotocolName) return {};
            if (std::find(all.begin(), all.end(), text) != all.end()) return {};
            all.push_back(text);
        }
    }
    return all;
}

}  // namespace

bool asks_upgrade(const RequestHead& head) {
    const auto [from, to] = head.equal_range(http::field::upgrade);
    return std::any_of(from, to,
                       [](const auto& f) { return http::token_list(f.value()).exists("websocket"); });
}

std::optional<RequestProblem> validate_upgrade(const RequestHead& head,
                                               const balancer::DeploymentSettings& deployment,
                                               const std::vector<std::string>& origins) {
    const auto bad = [](const char* words) { return RequestProblem{http::status::bad_request, words}; };
    if (head.method() != http::verb::get) return bad("an upgrade is a GET\n");
    if (head.version() != 11) return bad("an upgrade is HTTP/1.1\n");
    for (const char* name : {"Host", kKey, "Sec-WebSocket-Version", "Origin"})
        if (head.count(name) > 1) return bad("a header that may stand once is repeated\n");
    if (head[http::field::host].empty()) return bad("Host is missing\n");
    if (head.count(http::field::content_length) > 0 || head.count(http::field::transfer_encoding) > 0)
        return bad("an upgrade has no body\n");
    if (!has_token(head, http::field::upgrade, "websocket")) return bad("Upgrade is not websocket\n");
    if (!has_token(head, http::field::connection, "upgrade")) return bad("Connection is not upgrade\n");
    if (field(head, "Sec-WebSocket-Version") != kVersion)
        return RequestProblem{http::status::upgrade_required, "Sec-WebSocket-Version 13\n"};
    if (!is_key(field(head, kKey))) return bad("Sec-WebSocket-Key is not 16 bytes in base64\n");
    if (!tokens_of(head, kProtocol)) return bad("Sec-WebSocket-Protocol is no list of different tokens\n");
    const auto origin = head[http::field::origin];
    if (!origins.empty() && !origin.empty() &&
        std::none_of(origins.begin(), origins.end(), [&](const auto& o) { return iequals(o, origin); }))
        return RequestProblem{http::status::forbidden, "this origin is not allowed\n"};
    return validate_headers(head, deployment);
}

std::vector<std::string> offered_by(const RequestHead& head) {
    return tokens_of(head, kProtocol).value_or(std::vector<std::string>());
}

void ask_server(http::fields& into, const HttpRequest& client, Millis left) {
    for (const auto& f : forwarded_request(client))
        if (f.name() != http::field::host) into.set(f.name_string(), f.value());
    into.set("X-Time-Left", time_left_text(left));
    std::string all;
    for (const std::string& name : offered_by(client)) all += (all.empty() ? "" : ", ") + name;
    if (!all.empty()) into.set(kProtocol, all);
}

ServerAnswer read_answer(const http::response_header<>& head, const std::vector<std::string>& offered) {
    using balancer::Outcome;
    const auto status = head.result();
    if (status != http::status::switching_protocols)
        return {says_unprocessed(head) ? Outcome::rejected : Outcome::error_response, {}};
    if (!has_token(head, http::field::upgrade, "websocket") ||
        !has_token(head, http::field::connection, "upgrade"))
        return {};
    // What was not offered can't be agreed on: the client would read frames of another kind than it asked
    // for.
    if (head.count(http::field::sec_websocket_extensions) > 0) return {};
    const auto chosen = field(head, kProtocol);
    if (head.count(kProtocol) > 1) return {};
    if (head.count(kProtocol) == 1 && std::find(offered.begin(), offered.end(), chosen) == offered.end())
        return {};
    return {Outcome::success, std::string(chosen)};
}

}  // namespace elmbay::websocket
