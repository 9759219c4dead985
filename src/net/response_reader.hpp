/// @file
/// Reads one response of a server from the bytes that it sends after a request.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "base/byte_budget.hpp"
#include "http/message.hpp"

namespace elmbay {

/// Collects the bytes of one response and classifies it as early as possible.
///
/// A complete response is framed by one Content-Length or by chunks, and no bytes follow it except a
/// repetition of the response itself. A response without framing is complete when its connection ends (RFC
/// 9112, section 6.3), but only by an orderly close, not by a reset.
///
/// Does no I/O. Holds all bytes of the response until it is destroyed. Bodies above kMaxBodyBytesWithoutGrant
/// need a grant of the budget. Not thread-safe.
class ResponseReader {
public:
    /// The classification of the bytes received so far.
    enum class State {
        incomplete,
        complete,   ///< the response is available by get() and release()
        malformed,  ///< the bytes are no valid response; this state is final
    };

    /// @param byte_budget memory budget for long bodies. It must outlive the reader.
    explicit ResponseReader(ByteBudget& byte_budget) : byte_budget_(byte_budget) {}

    /// Processes received bytes. A complete response becomes malformed if bytes other than a repetition
    /// follow.
    State feed(std::string_view bytes);
    /// Processes an orderly end of the server's sending. A response that is incomplete after this stays so.
    State on_end_of_stream();
    State state() const { return state_; }

    /// @return the response. Must be called only if it is complete.
    const HttpResponse& get() const { return parser_->get(); }
    /// Moves the response out. Must be called only if it is complete; get() must not be called afterwards.
    HttpResponse release() { return parser_->release(); }
    /// @return whether the connection of a complete response can carry another request: no bytes followed the
    ///         response, and the server keeps the connection alive.
    bool is_connection_reusable() const { return parsed_size_ == bytes_.size() && parser_->keep_alive(); }

private:
    using Parser = http::response_parser<http::string_body>;

    void begin_message();
    State parse();
    State parse_message();
    bool has_valid_head();
    bool is_end_certain() const;

    ByteBudget& byte_budget_;
    std::optional<Parser> parser_;
    std::optional<ByteBudget::Grant> large_response_grant_;
    std::string bytes_;               // all received bytes
    std::size_t response_begin_ = 0;  // offset in bytes_ of the message after the interim responses (1xx)
    std::size_t parsed_size_ = 0;     // number of parsed bytes at the start of bytes_
    std::size_t interim_count_ = 0;
    State state_ = State::incomplete;
};

}  // namespace elmbay
