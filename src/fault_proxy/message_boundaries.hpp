// Finds the start, the end of the head and the end of each HTTP/1.1 message in a stream of bytes.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "fault_proxy/rules.hpp"

namespace elmbay::fault_proxy {

/// One message boundary in a stream.
struct MessageBoundary {
    std::uint64_t offset = 0;          ///< in bytes from the start of the stream
    std::uint64_t message_number = 1;  ///< counts from 1
    MessagePoint point = MessagePoint::begin;
};

class MessageParser;

/// Reads one direction of a connection in chunks of any size, with Beast's parser.
///
/// Reports no boundaries after the first bytes that are not HTTP. It treats a response to a HEAD request like
/// any other response. Not thread-safe; buffers at most kMaxPendingBytes bytes.
class MessageBoundaryReader {
public:
    /// Maximum length of an unfinished head or chunk line. The messages of this system are shorter, so longer
    /// input counts as not HTTP.
    static constexpr std::size_t kMaxPendingBytes = 64UL * 1024;

    enum class MessageKind { request, response };

    explicit MessageBoundaryReader(MessageKind kind);
    ~MessageBoundaryReader();
    MessageBoundaryReader(const MessageBoundaryReader&) = delete;
    MessageBoundaryReader& operator=(const MessageBoundaryReader&) = delete;

    /// Consumes the next bytes.
    /// @return the boundaries found in them, in order of offset. The start of a message is reported with its
    /// first byte.
    std::vector<MessageBoundary> read(std::string_view bytes);

private:
    std::unique_ptr<MessageParser> new_parser() const;

    const MessageKind kind_;
    bool is_malformed_ = false;
    bool has_begun_ = false;  // whether the message that parser_ reads has begun
    bool has_head_ = false;
    std::unique_ptr<MessageParser> parser_;
    std::string pending_;
    std::uint64_t pending_offset_ = 0;  // offset of the first byte of pending_
    std::uint64_t message_number_ = 1;
};

}  // namespace elmbay::fault_proxy
