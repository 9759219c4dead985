/// @file
/// Reads one response of a server from the bytes that come after its request.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "base/byte_budget.hpp"
#include "http/message.hpp"

namespace elmbay {

/// Collects the bytes of one response and judges it, at the first byte that decides.
///
/// A complete response says in one Content-Length, or in chunks, where it ends, and nothing but a repetition
/// of itself follows it. Or it says neither and ends with its connection (RFC 9112, 6.3), in good order: a
/// reset is no end.
///
/// No I/O. Holds all bytes of the response until it is destroyed; what is longer than usual only with a grant
/// of the budget. Not thread-safe.
class ResponseReader {
public:
    /// What is known of the response so far.
    enum class State {
        incomplete,
        complete,   ///< get() and release() have it
        malformed,  ///< no sound response, and none will follow
    };

    /// @param budget for what is longer than usual. It must outlive the reader.
    explicit ResponseReader(ByteBudget& budget) : budget_(budget) {}

    /// More bytes have come. A complete response may still turn out malformed by what follows it.
    State feed(std::string_view bytes);
    /// The server has ended its sending, in good order. A response that is incomplete after this stays so.
    State on_end_of_stream();
    State state() const { return state_; }

    /// Only of a complete response.
    const HttpResponse& get() const { return parser_->get(); }
    /// Moves the response out; get() has nothing after that.
    HttpResponse release() { return parser_->release(); }
    /// @return whether the connection of a complete response can carry another request: nothing came behind
    /// it,
    ///         and the server keeps the connection.
    bool is_connection_reusable() const { return parsed_size_ == bytes_.size() && parser_->keep_alive(); }

private:
    using Parser = http::response_parser<http::string_body>;

    void begin_message();
    State parse();
    State parse_message();
    bool has_sound_head();
    bool is_end_certain() const;

    ByteBudget& budget_;
    std::optional<Parser> parser_;
    std::optional<ByteBudget::Grant> large_response_grant_;
    std::string bytes_;               // all that came
    std::size_t response_begin_ = 0;  // in bytes_: of the final response, behind interim ones (1xx)
    std::size_t parsed_size_ = 0;     // of bytes_
    std::size_t interim_count_ = 0;
    State state_ = State::incomplete;
};

}  // namespace elmbay
