// A TCP link on loopback: listens in place of its target and forwards connections according to the rules.
//
// Sockets emulate some faults only approximately:
//
//  - While the link is cut in either direction, no connection is established: the accept queue is kept full,
//    so the kernel drops connection attempts and the client's connect() hangs, as after segment loss.
//  - A rule that refuses every connection, and a target that is down, close the listening socket, so that the
//    kernel refuses connections. Where a rule refuses only some connections (by probability or number), these
//    are established and reset before a byte is read.
//  - When the target refuses a connection that the link has already accepted, the link resets it, and then
//    refuses connections until the target listens again.
//  - Bytes in transit while the link is cut wait, as they would for retransmission.
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

/// A link from a client to a target. The client opens the connections; bytes flow in both directions.
///
/// Runs in the context's event loop; not thread-safe. The destructor resets all connections.
class StreamLink {
public:
    /// Maximum number of buffered bytes per direction of a connection. At this limit the link stops reading
    /// from the sender.
    static constexpr std::size_t kMaxQueuedBytes = 256UL * 1024;
    /// A read of at least this many bytes makes the next read use splice(2), unless a rule or an observer
    /// needs the bytes.
    static constexpr std::size_t kBulkReadBytes = 16UL * 1024;
    /// Milliseconds between two attempts to connect to a target that refused a connection.
    static constexpr Millis kTargetProbePeriod = 10;
    /// Length of the accept queue while the link listens.
    static constexpr int kBacklogLength = 1024;

    /// @param link   names of client and target in the rules.
    /// @param listen address to which the client connects; port 0 selects a free port.
    /// @throws boost::system::system_error if the address cannot be bound.
    StreamLink(EventLoopContext& context, Link link, tcp::endpoint listen, tcp::endpoint target);
    ~StreamLink();
    StreamLink(const StreamLink&) = delete;
    StreamLink& operator=(const StreamLink&) = delete;

    /// @return the address on which the link listens.
    tcp::endpoint endpoint() const { return endpoint_; }
    const Link& link() const { return link_; }

    /// State of the target for new connections. Open connections are not affected.
    enum class TargetState {
        up,
        down,        ///< its host refuses connections
        unreachable  ///< its host cannot be reached: connects hang
    };
    void set_target_state(TargetState state);
    /// Resets every open connection.
    void reset_all();

    /// Events at the client's end of each connection. Connections are numbered from 1.
    struct Observer {
        std::function<void(std::uint64_t connection, std::string_view bytes)> on_client_sent;
        std::function<void(std::uint64_t connection, std::string_view bytes)> on_client_received;
        /// The client has closed its end, or the link has closed the connection.
        std::function<void(std::uint64_t connection)> on_client_ended;
    };
    void observe(Observer observer) { observer_ = std::move(observer); }

    /// @return the number of connections that the client has opened, including those that were refused after
    /// they were established.
    std::uint64_t opened_connections() const { return opened_connections_; }
    std::size_t open_connections() const { return connections_.size(); }
    /// @return the number of bytes received from the client.
    std::uint64_t bytes_to_target() const { return bytes_to_target_; }
    /// @return the number of bytes received from the target.
    std::uint64_t bytes_to_client() const { return bytes_to_client_; }
    /// @return the number of bytes of both directions that were received and not forwarded yet.
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
    bool target_refused_ = false;  // by its own host; probe_target() is active
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
