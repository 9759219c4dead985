// Finds where HTTP/1.1 messages begin, where their heads end and where they end, in bytes that pass by.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "fault_proxy/rules.hpp"

namespace elmbay::fault_proxy {

/// One boundary of a message in a stream.
struct MessageBoundary {
    std::uint64_t offset = 0;          ///< from the first byte of the stream
    std::uint64_t message_number = 1;  ///< from 1
    MessagePoint point = MessagePoint::begin;
};

class MessageParser;

/// Reads one direction of a connection, in pieces of any size, by Beast's parser.
///
/// From bytes on that are no HTTP there are no more boundaries. A response to a HEAD request is not told from
/// others. Not thread-safe; holds kMaxPendingBytes bytes at most.
class MessageBoundaryReader {
public:
    /// Bytes of an unfinished head or chunk line; more than that is no HTTP of this system.
    static constexpr std::size_t kMaxPendingBytes = 64UL * 1024;

    enum class MessageKind { request, response };

    explicit MessageBoundaryReader(MessageKind kind);
    ~MessageBoundaryReader();
    MessageBoundaryReader(const MessageBoundaryReader&) = delete;
    MessageBoundaryReader& operator=(const MessageBoundaryReader&) = delete;

    /// Takes the next bytes.
    /// @return the boundaries that they show, in order of offset. A message's begin comes with its first
    /// byte.
    std::vector<MessageBoundary> read(std::string_view bytes);

private:
    std::unique_ptr<MessageParser> new_parser() const;

    const MessageKind kind_;
    bool is_malformed_ = false;
    bool has_begun_ = false;  // the message that parser_ reads
    bool has_head_ = false;
    std::unique_ptr<MessageParser> parser_;
    std::string pending_;
    std::uint64_t pending_offset_ = 0;  // of the first byte of pending_
    std::uint64_t message_number_ = 1;
};

}  // namespace elmbay::fault_proxy
