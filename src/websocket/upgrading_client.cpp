#include "websocket/upgrading_client.hpp"

#include <boost/asio/write.hpp>
#include <chrono>
#include <utility>

#include "websocket/handshake.hpp"

namespace elmbay::websocket {

namespace {

using tcp = asio::ip::tcp;
using Error = boost::system::error_code;

std::string remote_address(const TcpSocket& socket) {
    Error error;
    const auto peer = socket.remote_endpoint(error);
    return error ? std::string() : peer.address().to_string();
}

}  // namespace

UpgradingClient::UpgradingClient(SocketBudget& budget, tcp::socket socket, HttpRequest request)
    : request_(std::move(request)),
      offered_subprotocols_(websocket::offered_subprotocols(request_)),
      budget_(budget),
      holds_descriptor_(budget.acquire(elmbay::SocketPurpose::sessions)),
      socket_(std::move(socket)),
      address_(remote_address(socket_)) {}

void UpgradingClient::watch(std::function<void()> on_disconnected) {
    on_disconnected_ = std::move(on_disconnected);
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](Error) {
        if (!self->on_disconnected_) return;
        const auto disconnected = std::exchange(self->on_disconnected_, nullptr);
        self->close();
        disconnected();
    });
}

tcp::socket UpgradingClient::release_socket() {
    stop_watching();
    return std::move(socket_);
}

void UpgradingClient::respond(HttpResponse response) {
    stop_watching();
    response.version(kHttp11);
    response.keep_alive(false);
    response.prepare_payload();
    response_ = std::make_unique<HttpResponse>(std::move(response));
    linger_timer_.emplace(socket_.get_executor(),
                          std::chrono::milliseconds(static_cast<int>(kLingerTimeout)));
    linger_timer_->async_wait([self = shared_from_this()](Error error) {
        if (!error) self->close();
    });
    http::async_write(socket_, *response_, [self = shared_from_this()](Error error, std::size_t) {
        Error ignored;
        if (!error) self->socket_.shutdown(tcp::socket::shutdown_send, ignored);
        self->discard_input();
    });
}

void UpgradingClient::stop_watching() {
    on_disconnected_ = nullptr;
    Error ignored;
    socket_.cancel(ignored);
}

// Reads and discards bytes until the client has closed the connection. Closing a socket with unread bytes
// resets the connection, and the client may lose the response.
void UpgradingClient::discard_input() {
    socket_.async_read_some(asio::buffer(discarded_input_),
                            [self = shared_from_this()](Error error, std::size_t) {
                                if (!error) {
                                    self->discard_input();
                                    return;
                                }
                                self->linger_timer_.reset();
                                self->close();
                            });
}

// Only this function returns the descriptor to the budget. The destructor must not, because at process exit a
// connection that was never closed outlives the budget.
void UpgradingClient::close() {
    Error ignored;
    socket_.close(ignored);
    const bool held_descriptor = std::exchange(holds_descriptor_, false);
    if (held_descriptor) budget_.release(elmbay::SocketPurpose::sessions);
}

}  // namespace elmbay::websocket
