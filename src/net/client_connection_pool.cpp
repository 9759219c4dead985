#include "net/client_connection_pool.hpp"

namespace elmbay {

namespace {

// Closes the connection and returns true. Holds a reference meanwhile, because closing removes the connection
// from the list that owns it.
bool close(ClientConnection& connection) {
    const auto keep_alive = connection.shared_from_this();
    keep_alive->close();
    return true;
}

}  // namespace

void ClientConnectionPool::add(const std::shared_ptr<ClientConnection>& connection) {
    connection->list_position = without_request_.insert(without_request_.end(), connection);
}

void ClientConnectionPool::on_first_request(ClientConnection& connection) {
    with_request_.splice(with_request_.end(), without_request_, connection.list_position);
}

void ClientConnectionPool::on_idle(ClientConnection& connection) {
    ClientConnection::List& list = list_containing(connection);
    list.splice(list.end(), list, connection.list_position);
}

void ClientConnectionPool::remove(ClientConnection& connection) {
    list_containing(connection).erase(connection.list_position);
}

bool ClientConnectionPool::close_evictable_connection(Millis now) {
    std::size_t too_young_count = 0;
    for (const auto& connection : without_request_) {
        if (connection->is_evictable(now)) return close(*connection);
        if (connection->is_idle() && !connection->has_unread_data()) ++too_young_count;
    }
    std::size_t evictable_count = 0;
    std::shared_ptr<ClientConnection> longest_idle;
    for (const auto& connection : with_request_) {
        if (!connection->is_evictable(now)) continue;
        const bool is_unused = now - connection->idle_since() > kMinUnusedIdleTime;
        if (!connection->is_idle() || is_unused) return close(*connection);
        if (!longest_idle) longest_idle = connection;
        ++evictable_count;
        if (evictable_count > too_young_count) break;
    }
    return longest_idle && evictable_count > too_young_count && close(*longest_idle);
}

ClientConnectionCounts ClientConnectionPool::counts() const {
    ClientConnectionCounts counts;
    for (const auto& connection : without_request_) connection->count_into(counts);
    for (const auto& connection : with_request_) connection->count_into(counts);
    return counts;
}

std::vector<std::shared_ptr<ClientConnection>> ClientConnectionPool::all() const {
    std::vector<std::shared_ptr<ClientConnection>> connections(without_request_.begin(),
                                                               without_request_.end());
    connections.insert(connections.end(), with_request_.begin(), with_request_.end());
    return connections;
}

ClientConnection::List& ClientConnectionPool::list_containing(const ClientConnection& connection) {
    return connection.has_sent_request() ? with_request_ : without_request_;
}

}  // namespace elmbay
