// Where HTTP/1.1 messages begin, where their heads end and where they end, in bytes that go by in any pieces.
// Reading them is Beast's; from what it can't read on there are no boundaries any more.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "fault_proxy/rules.hpp"

namespace elmbay::fault_proxy {

struct Boundary {
    std::uint64_t at = 0;       // offset from the first byte of the stream
    std::uint64_t message = 1;  // from 1
    Part part = Part::begins;
};

class MessageReader;  // Beast's parser, of either direction

class Boundaries {
public:
    // What is kept of an unfinished head or chunk line; more than that is no HTTP of ours.
    static constexpr std::size_t kMaxPending = 64 * 1024;

    // requests: the direction that asks. An answer to a HEAD request is not told from others.
    explicit Boundaries(bool requests);
    ~Boundaries();
    // In order of offset. The beginning of the first message is told with its first byte.
    std::vector<Boundary> take(std::string_view bytes);

private:
    std::unique_ptr<MessageReader> fresh() const;

    bool requests_, lost_ = false, begun_ = false, head_told_ = false;
    std::unique_ptr<MessageReader> reader_;
    std::string pending_;
    std::uint64_t taken_ = 0, message_ = 1;  // taken_: offset of pending_'s first byte
};

}  // namespace elmbay::fault_proxy
