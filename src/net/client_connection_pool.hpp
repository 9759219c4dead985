/// @file
/// The open connections of clients, and which of them is closed when sockets run out.
#pragma once

#include <cstddef>
#include <memory>
#include <vector>

#include "base/timing.hpp"
#include "net/client_connection.hpp"

namespace elmbay {

/// All open connections of a listener, in two lists: those on which no request has come yet, in the order in
/// which they came, and the others, the longest idle first.
///
/// Not thread-safe. Owned by Listener; bounded by the descriptors of SocketPurpose::clients.
class ClientConnectionPool {
public:
    /// A connection that has been idle for longer is closed as readily as one on which no request ever came.
    static constexpr Millis kUnusedAge = 2000;

    /// A new connection, on which no request has come.
    void add(const std::shared_ptr<ClientConnection>& connection);
    /// A first request has come on it.
    void on_first_request(ClientConnection& connection);
    /// It waits for its next request from now on.
    void on_idle(ClientConnection& connection);
    /// The caller holds a reference to it.
    void remove(ClientConnection& connection);

    /// Closes one that can go without harm: first one on which no request ever came, the oldest of them
    /// first, then the one that has been idle longest.
    ///
    /// A flood of new connections, all too young to be told from clients about to send a request, does not
    /// push out the few that have sent one: it waits until it is old enough itself.
    /// @return whether one was closed.
    bool close_one(Millis now);

    std::size_t size() const { return without_request_.size() + with_request_.size(); }
    /// @return all of them as they are now, so that the caller may close some while it goes through them.
    std::vector<std::shared_ptr<ClientConnection>> all() const;

private:
    ClientConnection::List& list_of(const ClientConnection& connection);

    ClientConnection::List without_request_;
    ClientConnection::List with_request_;
};

}  // namespace elmbay
