/// @file
/// The pool of idle connections to servers.
#pragma once

#include <list>
#include <memory>
#include <unordered_map>

#include "base/timing.hpp"
#include "net/server_connection.hpp"

namespace elmbay {

/// Holds the idle connections to all servers in order of their last use. take() returns the most recently
/// used connection of a server; when sockets run out, the longest idle connection of all servers is closed
/// first.
///
/// A connection that closes itself must be removed by remove(). Not thread-safe. Owned by Upstream. The
/// descriptors of SocketPurpose::servers bound its size.
class ServerConnectionPool {
public:
    /// Adds an idle connection.
    /// @param now the time at which the connection became idle.
    void add(const std::shared_ptr<ServerConnection>& connection, Millis now);
    /// Removes and returns the most recently used connection to this server.
    /// @return null if there is no idle connection to it.
    std::shared_ptr<ServerConnection> take(ServerId server);
    /// Removes a connection. Has no effect if it is not in the pool.
    void remove(ServerConnection& connection);

    /// Closes all idle connections to this server.
    void close_all(ServerId server);
    /// Closes all idle connections to a server that is not used any more and removes its entry.
    void remove_server(ServerId server);
    /// Closes all connections that became idle before this time.
    void close_idle_since_before(Millis time);
    /// Closes the connection that has been idle longest.
    /// @return false if the pool is empty.
    bool close_longest_idle();

    std::size_t size() const { return by_last_use_.size(); }

private:
    std::unordered_map<ServerId, ServerConnection::List> by_server_;  // most recently used last
    std::list<ServerConnection*> by_last_use_;  // of all servers, most recently used last
};

}  // namespace elmbay
