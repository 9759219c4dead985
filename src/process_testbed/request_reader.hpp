// Finds the requests in the bytes of one connection.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "elmbay/balancer.hpp"

namespace elmbay::process_testbed {

using balancer::Millis;

/// Maximum length in bytes of a body that emulators and observers read, far longer than the bodies in any
/// test.
constexpr std::uint64_t kMaxBodyBytes = 4 << 20;

/// Reads the HTTP/1.1 requests of one connection and reports the correlation id of each.
///
/// Not thread-safe. Holds at most one unfinished request. Bytes that are not HTTP yield no requests.
class RequestReader {
public:
    /// Consumes the next bytes of the connection.
    /// @param on_request called as `on_request(id, first_byte)` for each request whose last byte is among the
    /// bytes;
    /// `first_byte` is the time of the call that contained the first byte of the request.
    template <class OnRequest>
    void feed(std::string_view bytes, Millis now, OnRequest on_request) {
        pending_ += bytes;
        while (!pending_.empty()) {
            if (!parser_) start_request(now);
            boost::system::error_code error;
            const std::size_t used = parser_->put(boost::asio::buffer(pending_), error);
            pending_.erase(0, used);
            if (parser_->is_done()) {
                on_request(std::string(parser_->get()["X-Correlation-Id"]), first_byte_);
                parser_.reset();
                continue;
            }
            if (used == 0 || error) return;
        }
    }

private:
    void start_request(Millis now) {
        parser_.emplace();
        parser_->body_limit(kMaxBodyBytes);
        parser_->eager(true);
        first_byte_ = now;
    }

    std::string pending_;    // not yet accepted by the parser
    Millis first_byte_ = 0;  // for the request that parser_ reads
    std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> parser_;
};

}  // namespace elmbay::process_testbed
