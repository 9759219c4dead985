#include "net/client_acceptor.hpp"

#include <boost/asio/post.hpp>
#include <chrono>
#include <string>
#include <thread>
#include <utility>

#include "base/socket_failures.hpp"

namespace elmbay {

namespace {

using tcp = asio::ip::tcp;
using Error = boost::system::error_code;

constexpr int kListenBacklog = 4096;

}  // namespace

ClientAcceptor::ClientAcceptor(asio::io_context& io, const Endpoint& listen, SocketBudget& socket_budget,
                               TimerQueue& timers, const Clock& clock, Handlers handlers)
    : io_(io),
      acceptor_(io),
      socket_budget_(socket_budget),
      timers_(timers),
      clock_(clock),
      handlers_(std::move(handlers)) {
    acceptor_.open(listen.protocol());
    // After a restart, connections of the previous process may still be in TIME_WAIT on this port. Without
    // this option they would make bind() fail.
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    bind(listen);
    acceptor_.listen(kListenBacklog);
    acceptor_.non_blocking(true);
    // By default Asio hides ECONNABORTED and EPROTO and waits for the next readiness edge. Clients that are
    // queued behind the aborted connection would then wait until another client connects.
    acceptor_.set_option(asio::socket_base::enable_connection_aborted(true));
}

// Retries while the address is in use: the previous process may still be exiting, or the kernel may still be
// releasing its port. Blocks the thread, because the process has nothing else to do before it listens.
void ClientAcceptor::bind(const Endpoint& listen) {
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(kBindTimeoutMs);
    for (;;) {
        Error error;
        acceptor_.bind(listen, error);
        if (!error) return;
        const bool may_retry =
            error == asio::error::address_in_use && std::chrono::steady_clock::now() < deadline;
        if (!may_retry) {
            throw boost::system::system_error(
                error, "listening on " + listen.address().to_string() + ":" + std::to_string(listen.port()));
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(kBindRetryIntervalMs));
    }
}

void ClientAcceptor::accept() {
    if (is_accepting_ || !acceptor_.is_open()) return;
    if (!socket_budget_.acquire(SocketPurpose::clients)) {
        is_waiting_for_socket_ = true;
        handlers_.on_paused();
        schedule_retry();
        return;
    }
    is_waiting_for_socket_ = false;
    is_accepting_ = true;
    acceptor_.async_accept([this](Error error, tcp::socket socket) {
        is_accepting_ = false;
        if (error) {
            socket_budget_.release(SocketPurpose::clients);
            if (acceptor_.is_open()) on_accept_failed(error);
            return;
        }
        consecutive_failures_ = 0;
        handlers_.on_accepted(std::move(socket));
        accept();
    });
}

// Calls on_out_of_descriptors() only if this process has reached its descriptor limit. Closing a connection
// does not help if the whole machine lacks a resource, or if the client aborted the queued connection.
void ClientAcceptor::on_accept_failed(const Error& error) {
    const SocketFailure failure = classify_accept_error(error);
    if (failure == SocketFailure::connection) {
        ++consecutive_failures_;
        if (consecutive_failures_ < kMaxConsecutiveFailures) {
            accept();
            return;
        }
    }
    consecutive_failures_ = 0;
    if (failure == SocketFailure::process_limit) handlers_.on_out_of_descriptors();
    schedule_retry();
}

void ClientAcceptor::schedule_retry() {
    timers_.cancel(retry_timer_);
    retry_timer_ = timers_.set(clock_.now() + kAcceptRetryInterval, [this] {
        retry_timer_ = {};
        accept();
    });
}

// Posts accept() instead of calling it, because the caller may be a ClientConnection in one of its handlers.
void ClientAcceptor::on_socket_released() {
    if (std::exchange(is_waiting_for_socket_, false)) asio::post(io_, [this] { accept(); });
}

bool ClientAcceptor::accept_pending() {
    int failures = 0;
    while (failures < kMaxConsecutiveFailures && socket_budget_.acquire(SocketPurpose::clients)) {
        Error error;
        tcp::socket socket = acceptor_.accept(error);
        if (!error) {
            handlers_.on_accepted(std::move(socket));
            continue;
        }
        socket_budget_.release(SocketPurpose::clients);
        if (error == asio::error::would_block) return true;
        if (classify_accept_error(error) != SocketFailure::connection) return false;
        ++failures;
    }
    return true;
}

void ClientAcceptor::close() {
    Error ignored;
    acceptor_.close(ignored);
}

}  // namespace elmbay
