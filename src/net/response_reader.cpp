#include "net/response_reader.hpp"

#include <algorithm>

namespace elmbay {

namespace {

// Limit on interim responses (1xx) before the final one. Servers send only a few; more count as malformed.
constexpr std::size_t kMaxInterimResponses = 8;
// Limit on the bytes of one response outside of its body: head, interim responses, chunk sizes. It bounds
// endless heads, chunk size lines and trailers.
constexpr std::size_t kMaxBytesOutsideBody = kMaxHeadBytes + kMaxBodyBytesWithoutGrant + kMaxHeadBytes;
// Memory for a large response. The received bytes and the body parsed from them are held at the same time.
constexpr std::size_t kLargeResponseBytes = 2 * kMaxResponseBodyBytes;
// Minimum number of bytes after a response that identify them as a repetition of it. Fewer bytes could also
// be the rest of a body whose stated length is too short.
constexpr std::size_t kMinRepetitionBytes = 12;
constexpr unsigned kFirstFinalStatus = 200;
constexpr unsigned kSwitchingProtocols = 101;

}  // namespace

ResponseReader::State ResponseReader::feed(std::string_view bytes) {
    if (state_ == State::malformed) return state_;
    if (state_ == State::complete) {
        // Bytes up to the response's own size are enough to detect whether it is repeated.
        if (bytes_.size() < 2 * parsed_size_) bytes_.append(bytes);
        state_ = is_end_certain() ? State::complete : State::malformed;
        return state_;
    }
    bytes_.append(bytes);
    state_ = parse();
    const std::size_t body_size = parser_ ? parser_->get().body().size() : 0;
    const bool exceeds_overhead_limit = bytes_.size() - body_size > kMaxBytesOutsideBody;
    if (state_ == State::incomplete && exceeds_overhead_limit) state_ = State::malformed;
    return state_;
}

ResponseReader::State ResponseReader::on_end_of_stream() {
    const bool ends_with_connection =
        state_ == State::incomplete && parser_ && parser_->is_header_done() && parser_->need_eof();
    if (!ends_with_connection) return state_;
    boost::system::error_code error;
    parser_->put_eof(error);
    if (!error && parser_->is_done()) state_ = State::complete;
    return state_;
}

// Parses interim responses and the final one.
ResponseReader::State ResponseReader::parse() {
    for (;;) {
        if (!parser_) begin_message();
        const State state = parse_message();
        if (state != State::complete) return state;
        const unsigned status = parser_->get().result_int();
        if (status >= kFirstFinalStatus) return is_end_certain() ? State::complete : State::malformed;
        ++interim_count_;
        if (status == kSwitchingProtocols || interim_count_ > kMaxInterimResponses) return State::malformed;
        response_begin_ = parsed_size_;
        parser_.reset();
        if (parsed_size_ == bytes_.size()) return State::incomplete;
    }
}

void ResponseReader::begin_message() {
    parser_.emplace();
    parser_->header_limit(kMaxHeadBytes);
    parser_->body_limit(kMaxResponseBodyBytes);
}

// Parses one message as far as its bytes have been received.
ResponseReader::State ResponseReader::parse_message() {
    while (parsed_size_ < bytes_.size() && !parser_->is_done()) {
        const bool was_head_parsed = parser_->is_header_done();
        // The head is checked before the body is parsed, so that the parser allocates no memory for a length
        // that is not allowed.
        parser_->eager(was_head_parsed);
        boost::system::error_code error;
        const char* const unparsed = bytes_.data() + parsed_size_;
        parsed_size_ += parser_->put(boost::asio::buffer(unparsed, bytes_.size() - parsed_size_), error);
        if (error == http::error::need_more) return State::incomplete;
        if (error) return State::malformed;
        const bool is_head_complete_now = !was_head_parsed && parser_->is_header_done();
        if (is_head_complete_now && !has_valid_head()) return State::malformed;
    }
    return parser_->is_done() ? State::complete : State::incomplete;
}

// Returns whether the head has unambiguous framing and an allowed length. Takes memory from the budget for a
// response that is long or of unknown length; without a grant its body is limited to
// kMaxBodyBytesWithoutGrant.
bool ResponseReader::has_valid_head() {
    if (!has_unambiguous_framing(parser_->get())) return false;
    const auto length = parser_->content_length();
    if (length && *length <= kMaxBodyBytesWithoutGrant) return true;
    large_response_grant_.reset();
    large_response_grant_ = byte_budget_.acquire_large(kLargeResponseBytes);
    if (length) return large_response_grant_ && *length <= kMaxResponseBodyBytes;
    if (!large_response_grant_) parser_->body_limit(kMaxBodyBytesWithoutGrant);
    return true;
}

// Returns whether the parsed response is known to be complete. Bytes after it may be the rest of a body whose
// stated length is too short. The end is certain only if no bytes follow, or if they repeat the message or
// its beginning.
bool ResponseReader::is_end_certain() const {
    const std::string_view received(bytes_);
    const std::string_view message = received.substr(response_begin_, parsed_size_ - response_begin_);
    const std::string_view trailing = received.substr(parsed_size_);
    if (trailing.empty()) return true;
    if (trailing.size() < std::min(kMinRepetitionBytes, message.size())) return false;
    return message.starts_with(trailing) || trailing.starts_with(message);
}

}  // namespace elmbay
