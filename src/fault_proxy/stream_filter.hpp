// Applies the rules to one direction of one connection: bytes in, timed actions out. No I/O and no clock.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fault_proxy/message_boundaries.hpp"
#include "fault_proxy/rules.hpp"

namespace elmbay::fault_proxy {

/// Something that is to be done to the receiver of a stream.
struct StreamAction {
    enum class Kind {
        send_bytes,
        half_close,  ///< ends sending
        reset        ///< resets both ends
    };
    Kind kind = Kind::send_bytes;
    Millis not_before = 0;
    std::string bytes{};  ///< of send_bytes
};

/// The faults of one direction of one connection, but for cuts: the driver holds all actions back while the
/// link is cut.
///
/// Actions come in order and are to be done in order, each at its time or later. Not thread-safe. The rules
/// must outlive it; a change of them counts for what comes after.
class StreamFilter {
public:
    /// @param link       the direction.
    /// @param connection its number on the link of its opener, from 1.
    /// @param sender     what the sender of this direction sends: the opener sends requests.
    StreamFilter(const Rules& rules, Link link, std::uint64_t connection,
                 MessageBoundaryReader::MessageKind sender);

    /// Takes the next bytes of the sender and appends what is to be done.
    void on_bytes(Millis now, std::string_view bytes, std::vector<StreamAction>& actions);
    /// The sender has ended: `kind` is half_close or reset.
    void on_end(Millis now, StreamAction::Kind kind, std::vector<StreamAction>& actions);
    /// @return whether bytes of now pass unchanged and at once. Then the driver may pass them on by itself
    /// and only call skip(). A rule on messages counts on connections whose first byte came while it was
    /// there.
    bool passes_unchanged() const;
    /// Counts bytes that the driver has passed on by itself.
    void skip(std::size_t bytes) { offset_ += bytes; }
    /// @return how many bytes have come.
    std::uint64_t offset() const { return offset_; }
    /// @return whether nothing passes any more, whatever comes.
    bool has_ended() const { return has_ended_; }

private:
    // A fault at an offset.
    struct TriggeredRule {
        std::uint64_t offset;
        std::size_t rule;  // index
    };

    std::optional<std::uint64_t> trigger_offset(const Rule& rule, std::size_t size,
                                                const std::vector<MessageBoundary>& boundaries) const;
    std::vector<TriggeredRule> find_triggered(Millis now, std::string_view bytes);
    void apply(Millis now, const Rule& rule, std::vector<StreamAction>& actions);
    void send(Millis now, std::string_view bytes, std::vector<StreamAction>& actions);
    void corrupt(std::string& bytes);
    bool mark_applied(const std::string& rule);

    const Rules& rules_;
    const Link link_;
    const std::uint64_t connection_;
    const MessageBoundaryReader::MessageKind sender_;
    // Reads from the first byte on, if a rule on messages applies then.
    std::optional<MessageBoundaryReader> message_reader_;
    std::uint64_t offset_ = 0;
    std::uint64_t sent_chunks_ = 0;  // sent so far: keys of random delays
    std::uint64_t bytes_to_corrupt_ = 0;
    Millis earliest_next_ = 0;  // no later action may be done before it
    bool has_ended_ = false;
    std::vector<std::string> applied_rules_;  // by name: each happens once on a connection
};

}  // namespace elmbay::fault_proxy
