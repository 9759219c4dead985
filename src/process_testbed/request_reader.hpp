// Whose request passes on a connection, from the bytes as they go by.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "elmbay/balancer.hpp"

namespace elmbay::process_testbed {

using balancer::Millis;

// Ids of the requests that pass on one connection, each told once its last byte has.
class RequestReader {
public:
    static constexpr std::uint64_t kMaxBody = 4 << 20;

    // whole(id, when its first byte came); what can't be read is no request any more.
    template <class Whole>
    void take(std::string_view bytes, Millis now, Whole whole) {
        pending_ += bytes;
        while (!pending_.empty()) {
            if (!parser_) {
                parser_.emplace();
                parser_->body_limit(kMaxBody);
                parser_->eager(true);
                first_byte_ = now;
            }
            boost::system::error_code error;
            const std::size_t used = parser_->put(boost::asio::buffer(pending_), error);
            pending_.erase(0, used);
            if (parser_->is_done()) {
                whole(std::string(parser_->get()["X-Correlation-Id"]), first_byte_);
                parser_.reset();
                continue;
            }
            if (used == 0 || error) return;
        }
    }

private:
    std::string pending_;
    Millis first_byte_ = 0;
    std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> parser_;
};

}  // namespace elmbay::process_testbed
