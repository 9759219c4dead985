/// @file
/// The open client connections, and the choice of the one that is closed when sockets run out.
#pragma once

#include <cstddef>
#include <memory>
#include <vector>

#include "base/timing.hpp"
#include "net/client_connection.hpp"

namespace elmbay {

/// All open connections of a listener, in three lists: connections that have sent no request yet, in accept
/// order; connections whose latest request was valid; and connections whose latest request was rejected. The
/// last two have the longest idle connection first.
///
/// Not thread-safe. Owned by Listener. The limit of SocketPurpose::clients bounds its size.
class ClientConnectionPool {
public:
    /// Idle time after which a connection that has sent a request may be evicted like one that has sent none.
    static constexpr Millis kMinUnusedIdleTime = 2000;

    /// Adds a new connection, which has sent no request yet.
    void add(const std::shared_ptr<ClientConnection>& connection);
    /// Moves a connection that has sent a valid request to the list of those.
    void on_request_accepted(ClientConnection& connection);
    /// Moves a connection whose request was rejected to the list of those.
    void on_request_rejected(ClientConnection& connection);
    /// Moves a connection that has just become idle to the end of its list.
    void on_idle(ClientConnection& connection);
    /// Removes a connection. The caller must hold a reference to it.
    void remove(ClientConnection& connection);

    /// Closes one evictable connection: the longest idle one whose latest request was rejected, or else the
    /// oldest one without a request, or else the longest idle one whose latest request was valid.
    ///
    /// New connections can't be distinguished from clients that are about to send a request until they reach
    /// ClientConnection::kMinAgeWithoutBytes, and rejected ones are kept for kMinAgeAfterRejection. While
    /// there are at least as many of both as evictable idle connections, a connection that has sent a valid
    /// request is evicted only after kMinUnusedIdleTime. So a flood of new connections or of invalid requests
    /// does not evict the active clients.
    ///
    /// If there is none of the first two, but a connection is stalled in the middle of a request, that
    /// request is rejected with 408 instead, and its connection becomes evictable soon.
    /// @return whether a connection was closed.
    bool close_evictable_connection(Millis now);

    std::size_t size() const { return without_request_.size() + with_request_.size() + rejected_.size(); }
    /// @return how many connections are in each state. Costs up to one system call per connection.
    ClientConnectionCounts counts() const;
    /// @return a copy of the current connections, so that the caller may close some while iterating.
    std::vector<std::shared_ptr<ClientConnection>> all() const;

private:
    // The next three return whether they found a connection.
    // Closes one that lingers, or that has been idle for kMinUnusedIdleTime, after a valid request.
    bool close_unused(Millis now);
    // Rejects a request that is stalled, on any connection.
    bool reject_stalled_request(Millis now);
    // Closes the longest idle one of those whose latest request was valid, if more of them are evictable than
    // `too_young_count`, the number of other connections that become evictable soon.
    bool close_longest_idle(Millis now, std::size_t too_young_count);
    static void move_to_end(ClientConnection::List& list, ClientConnection& connection);

    ClientConnection::List without_request_;
    ClientConnection::List with_request_;
    ClientConnection::List rejected_;
};

}  // namespace elmbay
