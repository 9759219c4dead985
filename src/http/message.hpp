// What both sides of the sidecar hold about HTTP messages: their types, their bounds, and when framing is
// clear.
#pragma once

#include <boost/beast/http.hpp>
#include <string>
#include <string_view>

namespace elmbay {

namespace http = boost::beast::http;
using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

constexpr std::size_t kMostBody = 64 * 1024;    // by the protocol
constexpr std::size_t kMostHeader = 16 * 1024;  // many times what the protocol's headers need

// Whether a server says that it turned a request away unseen: it never ran (PROTOCOL, Sidecars to servers).
bool says_unprocessed(const http::response_header<>& head);

std::string_view field(const http::fields& fields, const char* name);

// Whether the head says once and without contradiction where its message ends. The parser takes what is left
// of a mixture (a Transfer-Encoding other than chunked is passed over, for one), and a peer may take
// something else: that is how one request hides in another's body.
bool framing_is_clear(const http::fields& fields);

}  // namespace elmbay
