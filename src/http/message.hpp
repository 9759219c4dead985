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

// PROTOCOL names 64 KiB for a body; the operators' acceptance has longer ones on some days (requests of 112,
// answers of 223 KB were seen) and no figure. What is beyond the usual is held only with a grant of
// ByteBudget.
constexpr std::size_t kUsualBody = 64 * 1024;
constexpr std::size_t kMaxRequestBody = 256 * 1024;
constexpr std::size_t kMaxResponseBody = 512 * 1024;
constexpr std::size_t kMaxHeader = 16 * 1024;  // many times what the protocol's headers need

// Whether a server says that it turned a request away unseen: it never ran (PROTOCOL, Sidecars to servers).
bool says_unprocessed(const http::response_header<>& head);

std::string_view field(const http::fields& fields, const char* name);

// Whether the head says once and without contradiction where its message ends. The parser takes what is left
// of a mixture (a Transfer-Encoding other than chunked is passed over, for one), and a peer may take
// something else: that is how one request hides in another's body.
bool framing_is_clear(const http::fields& fields);

}  // namespace elmbay
