// Requests with explicitly written headers, for tests of the listener's validation.
#pragma once

#include <string>

namespace elmbay::test {

/// A request for /api with a Host header and the given headers, each of which ends with CRLF.
inline std::string raw_request(const std::string& method, const std::string& headers,
                               const std::string& body = "") {
    return method + " /api HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n" + body;
}

// The headers for class and remaining time, for each request class of SidecarFixture's settings.
inline const std::string kIdempotentHeaders = "X-Service-Class: safe\r\nX-Time-Left: 50000m\r\n";
inline const std::string kNonIdempotentHeaders = "X-Service-Class: unsafe\r\nX-Time-Left: 50000m\r\n";
inline const std::string kKeyedHeaders = "X-Service-Class: keyed\r\nX-Time-Left: 50000m\r\n";

}  // namespace elmbay::test
