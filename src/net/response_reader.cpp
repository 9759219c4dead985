#include "net/response_reader.hpp"

#include <algorithm>

namespace elmbay {

namespace {

// 1xx answers ahead of one: a server has a few to say; more is no answer.
constexpr std::size_t kMaxInterim = 8;
// What may come for one request beside its body: head, 1xx ahead, chunks' sizes. An endless head, chunk line
// or trailer ends here.
constexpr std::size_t kMaxBeside = kMaxHeader + kUsualBody + kMaxHeader;
// All that came and the body taken from it are held at the same time.
constexpr std::size_t kLongCost = 2 * kMaxResponseBody;
// Fewer bytes behind an answer don't show whether they repeat it or are the rest of a body cut short.
constexpr std::size_t kLeastRepeat = 12;

}  // namespace

ResponseReader::State ResponseReader::feed(std::string_view bytes) {
    if (state_ == State::whole) {
        // As much again is enough to see whether it repeats itself.
        if (raw_.size() < 2 * parsed_) raw_.append(bytes);
        return state_ = repeats_itself() ? State::whole : State::spoilt;
    }
    if (state_ == State::spoilt) return state_;
    raw_.append(bytes);
    state_ = parse();
    const std::size_t body = parser_ ? parser_->get().body().size() : 0;
    if (state_ == State::more && raw_.size() - body > kMaxBeside) state_ = State::spoilt;
    return state_;
}

ResponseReader::State ResponseReader::end() {
    if (state_ != State::more || !parser_ || !parser_->is_header_done() || !parser_->need_eof())
        return state_;
    boost::system::error_code error;
    parser_->put_eof(error);
    if (!error && parser_->is_done()) state_ = State::whole;
    return state_;
}

ResponseReader::State ResponseReader::parse() {
    for (;;) {
        if (!parser_) {
            parser_.emplace();
            parser_->header_limit(kMaxHeader);
            parser_->body_limit(kMaxResponseBody);
        }
        while (parsed_ < raw_.size() && !parser_->is_done()) {
            const bool had_head = parser_->is_header_done();
            // The head is judged before its body is looked at: a length that can't be must not make room for
            // itself.
            parser_->eager(had_head);
            boost::system::error_code error;
            parsed_ += parser_->put(boost::asio::buffer(raw_.data() + parsed_, raw_.size() - parsed_), error);
            if (error == http::error::need_more) return State::more;
            if (error) return State::spoilt;
            if (!had_head && parser_->is_header_done() && !head_is_sound()) return State::spoilt;
        }
        if (!parser_->is_done()) return State::more;
        const unsigned status = parser_->get().result_int();
        if (status >= 200) return repeats_itself() ? State::whole : State::spoilt;
        if (status == 101 || ++interim_ > kMaxInterim) return State::spoilt;
        start_ = parsed_;
        parser_.reset();
        if (parsed_ == raw_.size()) return State::more;
    }
}

// What is long, or does not say how long it is, may be so only with a grant.
bool ResponseReader::head_is_sound() {
    if (!framing_is_clear(parser_->get())) return false;
    const auto length = parser_->content_length();
    if (length && *length <= kUsualBody) return true;
    long_.reset();
    long_ = budget_.take(kLongCost);
    if (length) return long_ && *length <= kMaxResponseBody;
    if (!long_) parser_->body_limit(kUsualBody);
    return true;
}

// Bytes behind an answer: where its length was too short, they are the rest of its body, and what was parsed
// is no whole answer. Only where they are this message once more (or its beginning) is it sure that it ended
// there.
bool ResponseReader::repeats_itself() const {
    const std::string_view all(raw_);
    const std::string_view message = all.substr(start_, parsed_ - start_), behind = all.substr(parsed_);
    if (behind.empty()) return true;
    if (behind.size() < std::min(kLeastRepeat, message.size())) return false;
    return behind.size() < message.size() ? message.substr(0, behind.size()) == behind
                                          : behind.substr(0, message.size()) == message;
}

}  // namespace elmbay
