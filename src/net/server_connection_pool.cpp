#include "net/server_connection_pool.hpp"

#include <utility>

namespace elmbay {

void ServerConnectionPool::add(const std::shared_ptr<ServerConnection>& connection, Millis now) {
    ServerConnection::List& of_server = by_server_[connection->server()];
    const auto in_server = of_server.insert(of_server.end(), connection);
    const auto in_all = by_last_use_.insert(by_last_use_.end(), connection.get());
    connection->pool_position = {in_server, in_all, now};
}

std::shared_ptr<ServerConnection> ServerConnectionPool::take(ServerId server) {
    const auto found = by_server_.find(server);
    if (found == by_server_.end() || found->second.empty()) return nullptr;
    std::shared_ptr<ServerConnection> connection = found->second.back();
    remove(*connection);
    return connection;
}

void ServerConnectionPool::remove(ServerConnection& connection) {
    const auto position = std::exchange(connection.pool_position, std::nullopt);
    if (!position) return;
    by_last_use_.erase(position->in_all);
    by_server_.at(connection.server()).erase(position->in_server);  // may drop the last reference
}

void ServerConnectionPool::close_all(ServerId server) {
    const auto found = by_server_.find(server);
    if (found == by_server_.end()) return;
    while (!found->second.empty()) {
        const auto connection = found->second.front();
        remove(*connection);
        connection->close();
    }
}

void ServerConnectionPool::remove_server(ServerId server) {
    close_all(server);
    by_server_.erase(server);
}

void ServerConnectionPool::close_idle_since_before(Millis time) {
    while (!by_last_use_.empty() && by_last_use_.front()->pool_position->idle_since < time)
        close_longest_idle();
}

bool ServerConnectionPool::close_longest_idle() {
    if (by_last_use_.empty()) return false;
    const auto connection = by_last_use_.front()->shared_from_this();
    remove(*connection);
    connection->close();
    return true;
}

}  // namespace elmbay
