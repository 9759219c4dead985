// One connection of a StreamLink: its two sockets, and its two directions with their faults. Internal to
// StreamLink.
#pragma once

#include <deque>
#include <memory>
#include <string_view>
#include <vector>

#include "base/stream_socket.hpp"
#include "fault_proxy/splice_pipe.hpp"
#include "fault_proxy/stream_filter.hpp"
#include "fault_proxy/stream_link.hpp"

namespace elmbay::fault_proxy {

/// Forwards bytes between a client and the target.
///
/// Sockets are non-blocking: bytes that can be forwarded immediately are, within the handler that read them.
/// Handlers own the connection by shared_ptr; after close() they have no effect.
class StreamLink::Connection : public std::enable_shared_from_this<Connection> {
public:
    /// @param number number of the connection on its link, from 1.
    Connection(StreamLink& link, tcp::socket client, std::uint64_t number);

    /// Connects to the target after this many milliseconds.
    void start(Millis delay);
    /// Called when the rules, or the set of active rules, have changed.
    void on_rules_changed();
    std::size_t queued_bytes() const { return to_target_.queued_bytes() + to_client_.queued_bytes(); }
    /// Closes both sockets.
    /// @param by_reset whether both ends get a reset.
    void close(bool by_reset);

private:
    // The flow of bytes from `source` to the source of the opposite direction.
    struct Direction {
        Direction(const Rules& rules, Link link, std::uint64_t connection,
                  MessageBoundaryReader::MessageKind sender, tcp::socket socket)
            : filter(rules, std::move(link), connection, sender), source(std::move(socket)) {}
        std::size_t queued_bytes() const { return queued_action_bytes + pipe.size(); }

        StreamFilter filter;
        TcpSocket source;
        SplicePipe pipe{};                        // its bytes precede `actions`
        std::deque<StreamAction> actions;         // in order of execution
        std::size_t queued_action_bytes = 0;      // bytes not sent yet
        std::size_t first_action_sent_bytes = 0;  // bytes of the first action already sent
        bool is_reading = false;                  // waits until the source is readable
        bool is_writing = false;                  // waits until the receiver is writable
        bool has_ended = false;                   // whether the source has closed
        bool end_forwarded = false;
        bool last_read_was_bulk = false;     // the next read may use the pipe
        EventLoopContext::TimerKey timer{};  // time at which the first action is due
    };

    Direction& opposite(const Direction& direction) {
        return is_to_target(direction) ? to_client_ : to_target_;
    }
    bool is_to_target(const Direction& direction) const { return &direction == &to_target_; }
    bool is_cut(const Direction& direction) const {
        return is_to_target(direction) ? link_->is_cut_to_target_ : link_->is_cut_to_client_;
    }
    bool is_observed(const Direction& direction) const;
    bool passes_unchanged(const Direction& direction) const;
    void count_received(const Direction& direction, std::size_t bytes);

    void connect();
    void on_connected();
    void read(Direction& direction);
    void on_readable(Direction& direction);
    bool splice(Direction& direction);
    void on_bytes(Direction& direction, Millis now, std::string_view bytes);
    std::size_t forward_immediately(Direction& direction, std::string_view bytes);
    void on_source_ended(Direction& direction, Millis now, bool is_graceful);
    void enqueue(Direction& direction, std::vector<StreamAction> actions);

    // Return whether to continue. If not, either another handler will call deliver() again, or the connection
    // is closed.
    bool flush_pipe(Direction& direction);
    bool perform_first_action(Direction& direction);
    bool send_first_action(Direction& direction);

    void deliver(Direction& direction);
    void wait_until(Direction& direction, Millis time);
    void wait_for_space(Direction& direction);
    void forward_end(Direction& direction);
    void report_client_ended();

    StreamLink* link_;  // null after close()
    const std::uint64_t number_;
    Direction to_target_;
    Direction to_client_;
    bool client_end_reported_ = false;
    bool is_connected_ = false;
    EventLoopContext::TimerKey start_timer_{};
};

}  // namespace elmbay::fault_proxy
