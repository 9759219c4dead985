// A TCP link on loopback: listens in place of its target and passes connections on, as the rules allow.
//
// What sockets cannot show exactly:
//
//  - While the link is cut in either direction a connection does not come up: the listening queue is kept
//    full, so the kernel drops what comes and the client's connect() hangs, as it would for lost segments.
//  - A rule that refuses every connection, and a target that is down, close the listening socket, so that the
//    kernel refuses. Where a rule refuses only some connections (by probability or number), those come up and
//    are reset before a byte is read.
//  - The target's own refusal of a connection that has come up here becomes a reset, and from then on the
//    link refuses until the target listens again.
//  - Bytes that are on their way while the link is cut wait, as they would for retransmission.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string_view>
#include <vector>

#include "fault_proxy/event_loop_context.hpp"

namespace elmbay::fault_proxy {

using tcp = asio::ip::tcp;

/// A link from a client to a target. The client opens connections; bytes go both ways.
///
/// Runs in the context's event loop; not thread-safe. The destructor resets all connections.
class StreamLink {
public:
    /// Bytes of one direction of a connection that wait here; at so many no more is read from the sender.
    static constexpr std::size_t kMaxQueuedBytes = 256UL * 1024;
    /// Bytes: a read of so much is followed by splice(2), where neither a rule nor an observer needs the
    /// bytes.
    static constexpr std::size_t kBulkReadBytes = 16UL * 1024;
    /// Milliseconds between two attempts to reach a target that refused.
    static constexpr Millis kTargetProbePeriod = 10;
    /// Connections that the kernel queues while the link listens.
    static constexpr int kBacklogLength = 1024;

    /// @param link   names of client and target in the rules.
    /// @param listen where the client connects to; port 0 takes any.
    /// @throws boost::system::system_error if the address cannot be had.
    StreamLink(EventLoopContext& context, Link link, tcp::endpoint listen, tcp::endpoint target);
    ~StreamLink();
    StreamLink(const StreamLink&) = delete;
    StreamLink& operator=(const StreamLink&) = delete;

    /// @return where it listens.
    tcp::endpoint endpoint() const { return endpoint_; }
    const Link& link() const { return link_; }

    /// What the target is for new connections. Open ones stay as they are.
    enum class TargetState {
        up,
        down,        ///< its machine refuses connections
        unreachable  ///< its machine is cut off: connects hang
    };
    void set_target_state(TargetState state);
    /// Resets every open connection.
    void reset_all();

    /// What happens at the client's end of each connection, by its number from 1.
    struct Observer {
        std::function<void(std::uint64_t connection, std::string_view bytes)> on_client_sent;
        std::function<void(std::uint64_t connection, std::string_view bytes)> on_client_received;
        /// The client has closed its end, or the link has closed the connection.
        std::function<void(std::uint64_t connection)> on_client_ended;
    };
    void observe(Observer observer) { observer_ = std::move(observer); }

    /// @return how many connections the client has opened, those that were refused after they came up
    /// included.
    std::uint64_t opened_connections() const { return opened_connections_; }
    std::size_t open_connections() const { return connections_.size(); }
    /// @return how many bytes have come from the client.
    std::uint64_t bytes_to_target() const { return bytes_to_target_; }
    /// @return how many bytes have come from the target.
    std::uint64_t bytes_to_client() const { return bytes_to_client_; }
    /// @return bytes of both directions that have come and not been passed on.
    std::size_t queued_bytes() const;

private:
    class Connection;
    enum class ListenerState {
        listening,
        unresponsive,  // connects hang
        closed         // connects are refused
    };

    void apply_rules();
    ListenerState required_listener_state(Millis now) const;
    void set_listener_state(ListenerState state);
    void open_listener();
    void fill_backlog();
    void accept();
    void on_accepted(tcp::socket client);
    bool is_backlog_filler(const tcp::endpoint& client) const;
    void on_target_refused();
    void probe_target();

    EventLoopContext& context_;
    const Link link_;
    tcp::endpoint endpoint_;
    const tcp::endpoint target_;
    tcp::acceptor acceptor_;
    ListenerState listener_state_ = ListenerState::closed;
    TargetState target_state_ = TargetState::up;
    bool target_refused_ = false;  // by itself; probe_target() is at work
    bool is_accepting_ = false;
    bool is_cut_to_target_ = false;
    bool is_cut_to_client_ = false;
    std::vector<tcp::socket> backlog_fillers_;
    std::set<std::shared_ptr<Connection>> connections_;
    std::uint64_t opened_connections_ = 0;
    std::uint64_t bytes_to_target_ = 0;
    std::uint64_t bytes_to_client_ = 0;
    Observer observer_;
    EventLoopContext::Subscription subscription_;
    EventLoopContext::TimerKey target_probe_{};
    std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);  // for handlers that outlive this object
};

}  // namespace elmbay::fault_proxy
