#include "net/response_reader.hpp"

#include <algorithm>

namespace elmbay {

namespace {

// Interim responses (1xx) ahead of the final one: a server has a few to send; with more it is no response.
constexpr std::size_t kMaxInterimResponses = 8;
// Bytes that may come for one request beside its body: head, interim responses, chunk sizes. An endless head,
// chunk line or trailer ends here.
constexpr std::size_t kMaxBytesBesideBody = kMaxHeadBytes + kMaxBodyBytesWithoutGrant + kMaxHeadBytes;
// All bytes that came and the body taken from them are held at the same time.
constexpr std::size_t kLargeResponseBytes = 2 * kMaxResponseBodyBytes;
// Fewer bytes behind a response don't show whether they repeat it or are the rest of a body that was cut
// short.
constexpr std::size_t kMinRepetitionBytes = 12;
constexpr unsigned kFirstFinalStatus = 200;
constexpr unsigned kSwitchingProtocols = 101;

}  // namespace

ResponseReader::State ResponseReader::feed(std::string_view bytes) {
    if (state_ == State::malformed) return state_;
    if (state_ == State::complete) {
        // As much again is enough to see whether the response repeats itself.
        if (bytes_.size() < 2 * parsed_size_) bytes_.append(bytes);
        state_ = is_end_certain() ? State::complete : State::malformed;
        return state_;
    }
    bytes_.append(bytes);
    state_ = parse();
    const std::size_t body_size = parser_ ? parser_->get().body().size() : 0;
    const bool is_endless = bytes_.size() - body_size > kMaxBytesBesideBody;
    if (state_ == State::incomplete && is_endless) state_ = State::malformed;
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

// Parses one message, as far as its bytes are here.
ResponseReader::State ResponseReader::parse_message() {
    while (parsed_size_ < bytes_.size() && !parser_->is_done()) {
        const bool had_head = parser_->is_header_done();
        // The head is judged before its body is looked at: a length that can't be must not make room for
        // itself.
        parser_->eager(had_head);
        boost::system::error_code error;
        const char* const unparsed = bytes_.data() + parsed_size_;
        parsed_size_ += parser_->put(boost::asio::buffer(unparsed, bytes_.size() - parsed_size_), error);
        if (error == http::error::need_more) return State::incomplete;
        if (error) return State::malformed;
        const bool is_head_new = !had_head && parser_->is_header_done();
        if (is_head_new && !has_sound_head()) return State::malformed;
    }
    return parser_->is_done() ? State::complete : State::incomplete;
}

// A response that is long, or does not say how long it is, may be so only with a grant.
bool ResponseReader::has_sound_head() {
    if (!has_unambiguous_framing(parser_->get())) return false;
    const auto length = parser_->content_length();
    if (length && *length <= kMaxBodyBytesWithoutGrant) return true;
    large_response_grant_.reset();
    large_response_grant_ = budget_.acquire(kLargeResponseBytes);
    if (length) return large_response_grant_ && *length <= kMaxResponseBodyBytes;
    if (!large_response_grant_) parser_->body_limit(kMaxBodyBytesWithoutGrant);
    return true;
}

// Bytes behind a response: where its length was too short they are the rest of its body, and what was parsed
// is no complete response. Only where they are this message once more, or its beginning, is it sure that it
// ended there.
bool ResponseReader::is_end_certain() const {
    const std::string_view all(bytes_);
    const std::string_view message = all.substr(response_begin_, parsed_size_ - response_begin_);
    const std::string_view behind = all.substr(parsed_size_);
    if (behind.empty()) return true;
    if (behind.size() < std::min(kMinRepetitionBytes, message.size())) return false;
    return message.starts_with(behind) || behind.starts_with(message);
}

}  // namespace elmbay
