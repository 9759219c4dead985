#include "net/answer.hpp"

#include <algorithm>

namespace elmbay {

namespace {

// 1xx answers ahead of one: a server has a few to say; more is no answer.
constexpr std::size_t kMostInterim = 8;
// All that may come for one request: head, body, and as much again as a head for chunks' sizes and 1xx ahead.
// An endless head, chunk line or trailer ends here.
constexpr std::size_t kMostAnswer = kMostHeader + kMostBody + kMostHeader;
// Fewer bytes behind an answer don't show whether they repeat it or are the rest of a body cut short.
constexpr std::size_t kLeastRepeat = 12;

}  // namespace

AnswerReader::State AnswerReader::feed(std::string_view bytes) {
    if (state_ == State::spoilt) return state_;
    const bool was_whole = state_ == State::whole;
    if (raw_.size() + bytes.size() > kMostAnswer) {
        // What repeats a whole answer may be cut off where we stop looking; what is not whole by now never
        // ends.
        if (!was_whole && raw_.size() < kMostAnswer) {
            raw_.append(bytes.substr(0, kMostAnswer - raw_.size()));
            state_ = parse();
        }
        if (state_ == State::more) state_ = State::spoilt;
        return state_;
    }
    raw_.append(bytes);
    if (was_whole)
        state_ = repeats_itself() ? State::whole : State::spoilt;
    else
        state_ = parse();
    return state_;
}

AnswerReader::State AnswerReader::parse() {
    for (;;) {
        if (!parser_) {
            parser_.emplace();
            parser_->header_limit(kMostHeader);
            parser_->body_limit(kMostBody);
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
        if (status == 101 || ++interim_ > kMostInterim) return State::spoilt;
        start_ = parsed_;
        parser_.reset();
        if (parsed_ == raw_.size()) return State::more;
    }
}

// An answer that ends with its connection may have been cut short, and nobody could tell.
bool AnswerReader::head_is_sound() const {
    const auto length = parser_->content_length();
    return framing_is_clear(parser_->get()) && !parser_->need_eof() && (!length || *length <= kMostBody);
}

// Bytes behind an answer: where its length was too short, they are the rest of its body, and what was parsed
// is no whole answer. Only where they are this message once more (or its beginning) is it sure that it ended
// there.
bool AnswerReader::repeats_itself() const {
    const std::string_view all(raw_);
    const std::string_view message = all.substr(start_, parsed_ - start_), behind = all.substr(parsed_);
    if (behind.empty()) return true;
    if (behind.size() < std::min(kLeastRepeat, message.size())) return false;
    return behind.size() < message.size() ? message.substr(0, behind.size()) == behind
                                          : behind.substr(0, message.size()) == message;
}

}  // namespace elmbay
