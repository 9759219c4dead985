/// @file
/// HTTP message types, size limits and framing checks, which the frontend and the backend share.
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

/// Beast's version number for HTTP/1.1.
constexpr unsigned kHttp11 = 11;

/// Largest body, in bytes, that needs no grant of ByteBudget. PROTOCOL names 64 KiB as the maximum, but the
/// operators' acceptance test sends longer bodies on some days without stating a limit (requests of 112 KB
/// and responses of 223 KB occurred).
constexpr std::size_t kMaxBodyBytesWithoutGrant = std::size_t{64} * 1024;
/// Largest request body, in bytes, with a grant.
constexpr std::size_t kMaxRequestBodyBytes = std::size_t{256} * 1024;
/// Largest response body, in bytes, with a grant.
constexpr std::size_t kMaxResponseBodyBytes = std::size_t{512} * 1024;
/// Largest message head, in bytes: many times the size of the protocol's headers.
constexpr std::size_t kMaxHeadBytes = std::size_t{16} * 1024;

/// @return whether a response states that the server rejected the request without processing it, so that it
///         has not run (PROTOCOL, Sidecars to servers).
bool is_marked_unprocessed(const http::response_header<>& head);

/// @return the value of the first header with this name, compared without regard to case; empty if there is
///         none. It refers to `fields` and is valid as long as that.
std::string_view header_value(const http::fields& fields, const char* name);

/// @return whether the head defines the end of its message once and without contradiction. Beast's parser
///         accepts contradictory framing (it ignores a Transfer-Encoding other than chunked, for example). A
///         peer may interpret it differently, which allows request smuggling.
bool has_unambiguous_framing(const http::fields& fields);

}  // namespace elmbay
