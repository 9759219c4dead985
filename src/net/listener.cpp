#include "net/listener.hpp"

#include <memory>
#include <utility>

#include "base/failpoints.hpp"
#include "base/log_line.hpp"

namespace elmbay {

Listener::Listener(asio::io_context& io, const Endpoint& listen, SocketBudget& socket_budget,
                   ByteBudget& byte_budget, TimerQueue& timers, const Clock& clock, Millis max_response_time,
                   Handlers handlers)
    : socket_budget_(socket_budget),
      clock_(clock),
      handlers_(std::move(handlers)),
      acceptor_(io, listen, socket_budget, timers, clock,
                {[this](asio::ip::tcp::socket socket) { add_connection(std::move(socket)); },
                 [this] { connections_.close_evictable_connection(clock_.now()); },
                 [this] { log_accepting_paused(); }}),
      correlation_ids_(max_response_time),
      shutdown_(io, clock, timers, acceptor_, connections_),
      connection_context_{
          *this, clock, timers, byte_budget, handlers_, max_response_time, asio::buffer(discard_buffer_)} {
    socket_budget_.set_idle_closer(SocketPurpose::clients,
                                   [this] { return connections_.close_evictable_connection(clock_.now()); });
    acceptor_.start();
}

Listener::~Listener() = default;

void Listener::respond(RequestId id, HttpResponse response) {
    const auto found = requests_in_progress_.find(id);
    if (found == requests_in_progress_.end()) return;
    ClientConnection& connection = *found->second;
    requests_in_progress_.erase(found);
    connection.respond(std::move(response));
}

void Listener::drain(std::function<void()> done) { shutdown_.start(std::move(done)); }

bool Listener::is_client_disconnected(RequestId id) const {
    if (failpoint_enabled("thaw")) return false;
    const auto found = requests_in_progress_.find(id);
    return found == requests_in_progress_.end() || found->second->has_client_disconnected();
}

void Listener::add_connection(asio::ip::tcp::socket socket) {
    const auto connection = std::make_shared<ClientConnection>(connection_context_, std::move(socket));
    connections_.add(connection);
    connection->start();
}

void Listener::log_accepting_paused() {
    const Millis now = clock_.now();
    if (accepting_paused_log_.is_due(now))
        write_log_line(accepting_paused_log_.line(now, connections_.counts()));
}

bool Listener::has_capacity_for_request() const {
    return shutdown_.has_time_for_request() && requests_in_progress_.size() < socket_budget_.max_requests();
}

bool Listener::register_correlation_id(std::string_view id) {
    return correlation_ids_.insert(id, clock_.now());
}

void Listener::on_request_accepted(ClientConnection& connection) {
    connections_.on_request_accepted(connection);
}

void Listener::on_request_rejected(ClientConnection& connection) {
    connections_.on_request_rejected(connection);
}

void Listener::on_request_started(RequestId id, ClientConnection& connection) {
    requests_in_progress_[id] = &connection;
}

void Listener::on_client_disconnected(RequestId id) {
    requests_in_progress_.erase(id);
    handlers_.on_client_disconnected(id);
}

void Listener::on_idle(ClientConnection& connection) {
    connections_.on_idle(connection);
    acceptor_.on_socket_released();
}

void Listener::on_closed(ClientConnection& connection) {
    connections_.remove(connection);
    socket_budget_.release(SocketPurpose::clients);
    acceptor_.on_socket_released();
    shutdown_.on_connection_closed();
}

}  // namespace elmbay
