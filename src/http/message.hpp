/// @file
/// What both sides of the sidecar share about HTTP messages: their types, their bounds, and when framing is
/// clear.
#pragma once

#include <boost/beast/http.hpp>
#include <cstddef>
#include <string>
#include <string_view>

namespace elmbay {

namespace http = boost::beast::http;

/// A request with its whole body in memory.
using HttpRequest = http::request<http::string_body>;
/// A response with its whole body in memory.
using HttpResponse = http::response<http::string_body>;

/// HTTP/1.1, as Beast numbers versions.
constexpr unsigned kHttp11 = 11;

/// Bytes of a body that any message may have. PROTOCOL names 64 KiB; the operators' acceptance has longer
/// ones on some days (requests of 112 and responses of 223 KB were seen) and no figure. What is longer is
/// held only with a grant of ByteBudget.
constexpr std::size_t kMaxBodyBytesWithoutGrant = std::size_t{64} * 1024;
/// Bytes of a request's body, with a grant.
constexpr std::size_t kMaxRequestBodyBytes = std::size_t{256} * 1024;
/// Bytes of a response's body, with a grant.
constexpr std::size_t kMaxResponseBodyBytes = std::size_t{512} * 1024;
/// Bytes of a head: many times what the protocol's headers need.
constexpr std::size_t kMaxHeadBytes = std::size_t{16} * 1024;

/// @return whether a server says that it rejected a request unprocessed: it never ran (PROTOCOL, Sidecars to
///         servers).
bool is_marked_unprocessed(const http::response_header<>& head);

/// @return the value of the first header with this name, whatever its case; empty if there is none. Valid as
/// long
///         as the fields are.
std::string_view header_value(const http::fields& fields, const char* name);

/// @return whether the head says once and without contradiction where its message ends. The parser takes what
/// is
///         left of a mixture (it passes over a Transfer-Encoding other than chunked, for one), and a peer may
///         take something else: that is how one request hides in another's body.
bool has_unambiguous_framing(const http::fields& fields);

}  // namespace elmbay
