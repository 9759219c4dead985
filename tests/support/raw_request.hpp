// Requests written header by header, for tests of what the listener accepts.
#pragma once

#include <string>

namespace elmbay::test {

/// A request for /api with just these headers, each ended by CRLF.
inline std::string raw_request(const std::string& method, const std::string& headers,
                               const std::string& body = "") {
    return method + " /api HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n" + body;
}

// Class and remaining time, for each request class of SidecarFixture's settings.
inline const std::string kIdempotentHeaders = "X-Service-Class: safe\r\nX-Time-Left: 50000m\r\n";
inline const std::string kNonIdempotentHeaders = "X-Service-Class: unsafe\r\nX-Time-Left: 50000m\r\n";
inline const std::string kKeyedHeaders = "X-Service-Class: keyed\r\nX-Time-Left: 50000m\r\n";

}  // namespace elmbay::test
