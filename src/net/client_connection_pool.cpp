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
    if (close_unused(now)) return true;
    // The rejected request's connection is evictable once its response is written, so an idle one is kept.
    if (reject_stalled_request(now)) return false;
    return close_longest_idle(now, too_young_count);
}

bool ClientConnectionPool::close_unused(Millis now) {
    for (const auto& connection : with_request_) {
        const bool is_in_use = connection->is_idle() && now - connection->idle_since() <= kMinUnusedIdleTime;
        if (!is_in_use && connection->is_evictable(now)) return evict(*connection);
    }
    return false;
}

bool ClientConnectionPool::reject_stalled_request(Millis now) {
    for (ClientConnection::List* connections : {&rejected_, &without_request_, &with_request_}) {
        for (const auto& connection : *connections) {
            if (!connection->is_stalled(now)) continue;
            connection->stop_reading();
            return true;
        }
    }
    return false;
}

bool ClientConnectionPool::close_longest_idle(Millis now, std::size_t too_young_count) {
    std::size_t evictable_count = 0;
    std::shared_ptr<ClientConnection> longest_idle;
    for (const auto& connection : with_request_) {
        if (!connection->is_evictable(now)) continue;
        if (!longest_idle) longest_idle = connection;
        ++evictable_count;
        if (evictable_count > too_young_count) return evict(*longest_idle);
    }
    return false;
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
