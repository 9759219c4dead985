#include "fault_proxy/boundaries.hpp"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <limits>

namespace elmbay::fault_proxy {

namespace http = boost::beast::http;

// One message. The body goes nowhere: a scratch buffer is all that it gets.
class MessageReader {
public:
    virtual ~MessageReader() = default;
    virtual std::size_t put(std::string_view bytes, boost::system::error_code& error) = 0;
    virtual bool head_done() const = 0;
    virtual bool done() const = 0;
};

namespace {

template <bool is_request>
class ReaderOf : public MessageReader {
public:
    ReaderOf() {
        parser_.body_limit(std::numeric_limits<std::uint64_t>::max());
        parser_.header_limit(Boundaries::kMaxPending);
        parser_.eager(false);
    }
    std::size_t put(std::string_view bytes, boost::system::error_code& error) override {
        if (parser_.is_header_done()) {
            auto& body = parser_.get().body();
            body.data = scratch_.data(), body.size = scratch_.size(), body.more = true;
        }
        const std::size_t used = parser_.put(boost::asio::buffer(bytes.data(), bytes.size()), error);
        if (error == http::error::need_buffer) error = {};
        return used;
    }
    bool head_done() const override { return parser_.is_header_done(); }
    bool done() const override { return parser_.is_done(); }

private:
    http::parser<is_request, http::buffer_body> parser_;
    std::array<char, 8192> scratch_{};
};

}  // namespace

Boundaries::Boundaries(bool requests) : requests_(requests), reader_(fresh()) {}
Boundaries::~Boundaries() = default;

std::unique_ptr<MessageReader> Boundaries::fresh() const {
    if (requests_) return std::make_unique<ReaderOf<true>>();
    return std::make_unique<ReaderOf<false>>();
}

std::vector<Boundary> Boundaries::take(std::string_view bytes) {
    std::vector<Boundary> met;
    if (lost_) return met;
    pending_ += bytes;
    std::size_t used = 0;
    const auto tell = [&](Part part) { met.push_back({taken_ + used, message_, part}); };
    while (!lost_) {
        if (!begun_ && used == pending_.size()) break;
        if (!std::exchange(begun_, true)) tell(Part::begins);
        boost::system::error_code error;
        const std::size_t n = reader_->put(std::string_view(pending_).substr(used), error);
        used += n;
        if (error && error != http::error::need_more) lost_ = true;
        if (!lost_ && reader_->head_done() && !std::exchange(head_told_, true)) tell(Part::head);
        if (!lost_ && reader_->done()) {
            tell(Part::ends);
            ++message_;
            begun_ = head_told_ = false;
            reader_ = fresh();
            continue;
        }
        if (n == 0 || error) break;
    }
    pending_.erase(0, used);
    taken_ += used;
    if (pending_.size() > kMaxPending) lost_ = true;
    if (lost_) pending_.clear();
    return met;
}

}  // namespace elmbay::fault_proxy
