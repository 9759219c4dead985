// Applies the rules to one direction of one connection: converts bytes into timed actions, without I/O and
// without a clock.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fault_proxy/message_boundaries.hpp"
#include "fault_proxy/rules.hpp"

namespace elmbay::fault_proxy {

/// An action on the receiver of a stream.
struct StreamAction {
    enum class Kind {
        send_bytes,
        half_close,  ///< closes the sending direction
        reset        ///< resets the connection at both ends
    };
    Kind kind = Kind::send_bytes;
    Millis not_before = 0;
    std::string bytes{};  ///< for send_bytes
};

/// Applies all faults of one direction of one connection except cuts: the driver delays all actions while the
/// link is cut.
///
/// The caller must perform the actions in order, none before its time. Not thread-safe. The rules must
/// outlive this object; a change of them affects later bytes.
class StreamFilter {
public:
    /// @param link       the link of this direction.
    /// @param connection number of the connection on the link of the client, from 1.
    /// @param sender     kind of messages in this direction: the client sends requests.
    StreamFilter(const Rules& rules, Link link, std::uint64_t connection,
                 MessageBoundaryReader::MessageKind sender);

    /// Consumes the next bytes of the sender and appends the resulting actions.
    void on_bytes(Millis now, std::string_view bytes, std::vector<StreamAction>& actions);
    /// Reports the end of the sender's direction: `kind` is half_close or reset.
    void on_end(Millis now, StreamAction::Kind kind, std::vector<StreamAction>& actions);
    /// @return whether bytes that arrive now pass unchanged and without delay. If so, the driver may forward
    /// them itself and call only skip(). A rule on messages applies only to connections whose first byte
    /// arrived while the rule existed.
    bool passes_unchanged() const;
    /// Counts bytes that the driver has forwarded itself.
    void skip(std::size_t bytes) { offset_ += bytes; }
    /// @return the number of bytes received so far.
    std::uint64_t offset() const { return offset_; }
    /// @return whether a fault or the sender has ended this direction, so that no further bytes pass.
    bool has_ended() const { return has_ended_; }

private:
    // A triggered rule and the offset in the stream at which it is triggered.
    struct TriggeredRule {
        std::uint64_t offset;
        std::size_t rule;  // index into Rules::all()
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
    // Set before the first byte if a rule on messages applies to the connection.
    std::optional<MessageBoundaryReader> message_reader_;
    std::uint64_t offset_ = 0;
    std::uint64_t sent_chunks_ = 0;  // keys of the random delays
    std::uint64_t bytes_to_corrupt_ = 0;
    Millis earliest_next_ = 0;  // time before which no later action may be performed
    bool has_ended_ = false;
    std::vector<std::string> applied_rules_;  // names of applied rules; each applies once to a connection
};

}  // namespace elmbay::fault_proxy
