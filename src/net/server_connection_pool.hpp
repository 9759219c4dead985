/// @file
/// Idle connections to servers.
#pragma once

#include <list>
#include <memory>
#include <unordered_map>

#include "base/timing.hpp"
#include "net/server_connection.hpp"

namespace elmbay {

/// Holds the idle connections of all servers, in order of their last use. The most recently used one of a
/// server is used next; the one that has been idle longest, of all servers, is closed first.
///
/// A connection that closes itself must be removed by remove(). Not thread-safe. Owned by Upstream; bounded
/// by the descriptors of SocketPurpose::servers.
class ServerConnectionPool {
public:
    /// @param now when it became idle.
    void add(const std::shared_ptr<ServerConnection>& connection, Millis now);
    /// Takes out the most recently used connection to this server.
    /// @return nothing if none is idle.
    std::shared_ptr<ServerConnection> take(ServerId server);
    /// Takes one out; without effect if it is not in the pool.
    void remove(ServerConnection& connection);

    /// Closes all idle connections to this server.
    void close_all(ServerId server);
    /// The same for a server that is not used any more.
    void remove_server(ServerId server);
    /// Closes those that have been idle since before this time.
    void close_idle_since_before(Millis time);
    /// Closes the one that has been idle longest.
    /// @return false if there is none.
    bool close_longest_idle();

    std::size_t size() const { return by_last_use_.size(); }

private:
    std::unordered_map<ServerId, ServerConnection::List> by_server_;  // the most recently used last
    std::list<ServerConnection*> by_last_use_;                        // of all servers, likewise
};

}  // namespace elmbay
