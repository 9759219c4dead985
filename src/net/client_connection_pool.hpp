/// @file
/// The open client connections, and the choice of the one that is closed when sockets run out.
#pragma once

#include <cstddef>
#include <memory>
#include <vector>

#include "base/timing.hpp"
#include "net/client_connection.hpp"

namespace elmbay {

/// All open connections of a listener, in two lists: connections that have sent no request yet, in accept
/// order, and connections that have sent a request, the longest idle first.
///
/// Not thread-safe. Owned by Listener. The limit of SocketPurpose::clients bounds its size.
class ClientConnectionPool {
public:
    /// Idle time after which a connection that has sent a request may be evicted like one that has sent none.
    static constexpr Millis kMinUnusedIdleTime = 2000;

    /// Adds a new connection, which has sent no request yet.
    void add(const std::shared_ptr<ClientConnection>& connection);
    /// Moves a connection that has sent its first request to the second list.
    void on_first_request(ClientConnection& connection);
    /// Moves a connection that has just become idle to the end of its list.
    void on_idle(ClientConnection& connection);
    /// Removes a connection. The caller must hold a reference to it.
    void remove(ClientConnection& connection);

    /// Closes one evictable connection: the oldest one without a request or, if there is none, the longest
    /// idle of those that have sent a request.
    ///
    /// New connections can't be distinguished from clients that are about to send a request until they reach
    /// ClientConnection::kMinAgeWithoutBytes. While there are at least as many of them as evictable idle
    /// connections, a connection that has sent a request is evicted only after kMinUnusedIdleTime. So a flood
    /// of new connections does not evict the active clients.
    /// @return whether a connection was closed.
    bool close_evictable_connection(Millis now);

    std::size_t size() const { return without_request_.size() + with_request_.size(); }
    /// @return how many connections are in each state. Costs up to one system call per connection.
    ClientConnectionCounts counts() const;
    /// @return a copy of the current connections, so that the caller may close some while iterating.
    std::vector<std::shared_ptr<ClientConnection>> all() const;

private:
    ClientConnection::List& list_containing(const ClientConnection& connection);

    ClientConnection::List without_request_;
    ClientConnection::List with_request_;
};

}  // namespace elmbay
