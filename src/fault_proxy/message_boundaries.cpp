#include "fault_proxy/message_boundaries.hpp"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <limits>
#include <utility>

namespace elmbay::fault_proxy {

namespace http = boost::beast::http;
using Error = boost::system::error_code;

/// Parses one request or response and discards its body.
class MessageParser {
public:
    virtual ~MessageParser() = default;
    /// @return the number of bytes consumed.
    virtual std::size_t put(std::string_view bytes, Error& error) = 0;
    virtual bool has_head() const = 0;
    virtual bool is_done() const = 0;
};

namespace {

constexpr std::size_t kScratchBytes = 8192;

template <bool is_request>
class BeastMessageParser : public MessageParser {
public:
    BeastMessageParser() {
        parser_.body_limit(std::numeric_limits<std::uint64_t>::max());
        parser_.header_limit(MessageBoundaryReader::kMaxPendingBytes);
        parser_.eager(false);
    }
    std::size_t put(std::string_view bytes, Error& error) override {
        if (parser_.is_header_done()) {
            auto& body = parser_.get().body();
            body.data = scratch_.data();
            body.size = scratch_.size();
            body.more = true;
        }
        const std::size_t used = parser_.put(boost::asio::buffer(bytes.data(), bytes.size()), error);
        if (error == http::error::need_buffer) error = {};
        return used;
    }
    bool has_head() const override { return parser_.is_header_done(); }
    bool is_done() const override { return parser_.is_done(); }

private:
    http::parser<is_request, http::buffer_body> parser_;
    std::array<char, kScratchBytes> scratch_{};  // receives the body, which is discarded
};

}  // namespace

MessageBoundaryReader::MessageBoundaryReader(MessageKind kind) : kind_(kind), parser_(new_parser()) {}
MessageBoundaryReader::~MessageBoundaryReader() = default;

std::unique_ptr<MessageParser> MessageBoundaryReader::new_parser() const {
    if (kind_ == MessageKind::request) return std::make_unique<BeastMessageParser<true>>();
    return std::make_unique<BeastMessageParser<false>>();
}

std::vector<MessageBoundary> MessageBoundaryReader::read(std::string_view bytes) {
    std::vector<MessageBoundary> found;
    if (is_malformed_) return found;
    pending_ += bytes;
    std::size_t used = 0;
    const auto add = [&](MessagePoint point) {
        found.push_back({pending_offset_ + used, message_number_, point});
    };
    while (!is_malformed_) {
        if (!has_begun_ && used == pending_.size()) break;
        if (!std::exchange(has_begun_, true)) add(MessagePoint::begin);
        Error error;
        const std::size_t newly_used = parser_->put(std::string_view(pending_).substr(used), error);
        used += newly_used;
        is_malformed_ = error && error != http::error::need_more;
        if (is_malformed_) break;
        if (parser_->has_head() && !std::exchange(has_head_, true)) add(MessagePoint::head_end);
        if (parser_->is_done()) {
            add(MessagePoint::end);
            ++message_number_;
            has_begun_ = false;
            has_head_ = false;
            parser_ = new_parser();
            continue;
        }
        if (newly_used == 0 || error) break;
    }
    pending_.erase(0, used);
    pending_offset_ += used;
    if (pending_.size() > kMaxPendingBytes) is_malformed_ = true;
    if (is_malformed_) pending_.clear();
    return found;
}

}  // namespace elmbay::fault_proxy
