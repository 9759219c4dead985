// One answer of a server, from the bytes that come after its request.
#pragma once

#include <optional>
#include <string>

#include "base/byte_budget.hpp"
#include "http/message.hpp"

namespace elmbay {

// Tells at the first byte that shows it whether an answer is spoilt. What servers send that is whole says in
// one Content-Length, or in chunks, where it ends, and nothing but a repetition of itself follows it; or it
// says neither and ends with its connection (RFC 9112, 6.3), in good order: a reset is no end.
class ResponseReader {
public:
    enum class State { more, whole, spoilt };

    // budget: for what is longer than usual. It must outlive the reader.
    explicit ResponseReader(ByteBudget& budget) : budget_(budget) {}

    State feed(std::string_view bytes);
    // The server has ended its sending, in good order. What is not whole then never is.
    State end();
    State state() const { return state_; }

    // Of an answer that is whole.
    const HttpResponse& get() const { return parser_->get(); }
    HttpResponse release() { return parser_->release(); }
    // Whether its connection can carry another request: nothing came behind, and the server keeps it.
    bool reusable() const { return parsed_ == raw_.size() && parser_->keep_alive(); }

private:
    State parse();
    bool head_is_sound();
    bool repeats_itself() const;

    using Parser = http::response_parser<http::string_body>;
    std::optional<Parser> parser_;
    ByteBudget& budget_;
    std::optional<ByteBudget::Grant> long_;  // where its head leaves room for a long one
    std::string raw_;                        // all that came
    std::size_t start_ = 0;                  // of the final answer; 1xx may stand before it
    std::size_t parsed_ = 0;
    std::size_t interim_ = 0;
    State state_ = State::more;
};

}  // namespace elmbay
