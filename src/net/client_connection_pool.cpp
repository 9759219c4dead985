#include "net/client_connection_pool.hpp"

namespace elmbay {

namespace {

// Evicts the connection and returns true. Holds a reference meanwhile, because closing removes the connection
// from the list that owns it.
bool evict(ClientConnection& connection) {
    const auto keep_alive = connection.shared_from_this();
    keep_alive->evict();
    return true;
}

}  // namespace

void ClientConnectionPool::add(const std::shared_ptr<ClientConnection>& connection) {
    connection->list = &without_request_;
    connection->list_position = without_request_.insert(without_request_.end(), connection);
}

void ClientConnectionPool::on_request_accepted(ClientConnection& connection) {
    move_to_end(with_request_, connection);
}

void ClientConnectionPool::on_request_rejected(ClientConnection& connection) {
    move_to_end(rejected_, connection);
}

void ClientConnectionPool::on_idle(ClientConnection& connection) {
    move_to_end(*connection.list, connection);
}

void ClientConnectionPool::remove(ClientConnection& connection) {
    connection.list->erase(connection.list_position);
}

bool ClientConnectionPool::close_evictable_connection(Millis now) {
    std::size_t too_young_count = 0;
    for (const auto& connection : rejected_) {
        if (connection->is_evictable(now)) return evict(*connection);
        if (connection->is_idle()) ++too_young_count;
    }
    for (const auto& connection : without_request_) {
        if (connection->is_evictable(now)) return evict(*connection);
        if (connection->is_idle() && !connection->has_unread_data()) ++too_young_count;
    }
    std::size_t evictable_count = 0;
    std::shared_ptr<ClientConnection> longest_idle;
    for (const auto& connection : with_request_) {
        if (!connection->is_evictable(now)) continue;
        const bool is_unused = now - connection->idle_since() > kMinUnusedIdleTime;
        if (!connection->is_idle() || is_unused) return evict(*connection);
        if (!longest_idle) longest_idle = connection;
        ++evictable_count;
        if (evictable_count > too_young_count) break;
    }
    return longest_idle && evictable_count > too_young_count && evict(*longest_idle);
}

ClientConnectionCounts ClientConnectionPool::counts() const {
    ClientConnectionCounts counts;
    for (const auto& connection : without_request_) connection->count_into(counts);
    for (const auto& connection : with_request_) connection->count_into(counts);
    for (const auto& connection : rejected_) connection->count_into(counts);
    return counts;
}

std::vector<std::shared_ptr<ClientConnection>> ClientConnectionPool::all() const {
    std::vector<std::shared_ptr<ClientConnection>> connections(without_request_.begin(),
                                                               without_request_.end());
    connections.insert(connections.end(), with_request_.begin(), with_request_.end());
    connections.insert(connections.end(), rejected_.begin(), rejected_.end());
    return connections;
}

void ClientConnectionPool::move_to_end(ClientConnection::List& list, ClientConnection& connection) {
    list.splice(list.end(), *connection.list, connection.list_position);
    connection.list = &list;
}

}  // namespace elmbay
