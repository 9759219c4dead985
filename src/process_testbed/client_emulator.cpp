#include "process_testbed/client_emulator.hpp"

#include <fmt/format.h>

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "process_testbed/request_reader.hpp"

namespace elmbay::process_testbed {

namespace http = boost::beast::http;
using Error = boost::system::error_code;
using Outcome = RequestHistory::Outcome;

namespace {

Idempotency idempotency_of(const std::string& request_class) {
    if (request_class == "listen") return Idempotency::idempotent;
    if (request_class == "annotate") return Idempotency::idempotency_key;
    return Idempotency::non_idempotent;
}

std::string request_text(const ClientRequest& request, const std::string& id) {
    const Idempotency idempotency = idempotency_of(request.request_class);
    const bool has_body = idempotency != Idempotency::idempotent;
    const std::string time_left = fmt::format("{:.0f}m", request.deadline);
    std::string text = std::string(has_body ? "POST" : "GET") +
                       " /api HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: " + id +
                       "\r\nX-Service-Class: " + request.request_class + "\r\nX-Time-Left: " + time_left +
                       "\r\n";
    if (idempotency == Idempotency::idempotency_key) {
        const std::string key = request.idempotency_key.empty() ? "k-" + id : request.idempotency_key;
        text += "Idempotency-Key: " + key + "\r\n";
    }
    text += has_body ? "Content-Length: 4\r\n\r\nbody" : "\r\n";
    return text;
}

Outcome outcome_of(unsigned status) {
    switch (status) {
        case 200:
            return Outcome::served;
        case 429:
        case 503:
            return Outcome::rejected;
        default:
            return Outcome::failed;
    }
}

}  // namespace

/// One request and its response, from opening the connection to the outcome.
class ClientEmulator::Exchange : public std::enable_shared_from_this<Exchange> {
public:
    Exchange(ClientEmulator& clients, std::string sidecar, std::string id, const ClientRequest& request)
        : clients_(&clients),
          sidecar_(std::move(sidecar)),
          id_(std::move(id)),
          message_(request_text(request, id_)),
          deadline_(request.deadline),
          disconnect_after_(request.disconnect_after),
          socket_(clients.context_.io()) {}

    void start(const tcp::endpoint& address) {
        set_timers();
        if (auto idle = clients_->take_idle_connection(sidecar_)) {
            socket_ = std::move(*idle);
            return write();
        }
        socket_.async_connect(address, [self = shared_from_this()](Error error) {
            if (!self->clients_) return;
            // A sidecar must give an outcome only to clients whose connection it accepted.
            if (error) return self->disconnect();
            Error ignored;
            self->socket_.set_option(tcp::no_delay(true), ignored);
            self->write();
        });
    }

    /// Closes the connection. Afterwards no further events are reported.
    void close() {
        Error ignored;
        socket_.close(ignored);
        if (!clients_) return;
        clients_->context_.cancel(timeout_);
        clients_->context_.cancel(disconnect_timer_);
        clients_ = nullptr;
    }

private:
    void set_timers() {
        fault_proxy::EventLoopContext& context = clients_->context_;
        timeout_ =
            context.schedule(context.now() + deadline_ + kResponseGracePeriod, [self = shared_from_this()] {
                self->timeout_ = {};
                if (!self->clients_) return;
                self->clients_->history_.on_client_timeout(self->now(), self->id_);
                self->finish({});
            });
        if (disconnect_after_ <= 0) return;
        disconnect_timer_ = context.schedule(context.now() + disconnect_after_, [self = shared_from_this()] {
            self->disconnect_timer_ = {};
            if (self->clients_) self->disconnect();
        });
    }
    void write() {
        const auto self = shared_from_this();
        asio::async_write(socket_, asio::buffer(message_), [self](Error, std::size_t) {});
        parser_.body_limit(kMaxBodyBytes);
        http::async_read(socket_, buffer_, parser_, [self](Error error, std::size_t bytes) {
            if (self->clients_) self->on_read(error, bytes);
        });
    }
    void on_read(Error error, std::size_t bytes) {
        RequestHistory& history = clients_->history_;
        if (!error) return on_response();
        const bool received_nothing = bytes == 0 && buffer_.size() == 0;
        if (received_nothing) {
            history.on_closed_without_response(now(), id_);
            return finish({});
        }
        history.on_response(now(), id_, Outcome::truncated, true);
        finish(Outcome::truncated);
    }
    void on_response() {
        const Millis received = now();
        const auto& response = parser_.get();
        const Outcome outcome = outcome_of(response.result_int());
        // Servers put the id of the request first in the body of the response.
        const bool is_body_valid = outcome != Outcome::served || response.body().starts_with(id_ + " ");
        if (response.keep_alive()) clients_->idle_connections_[sidecar_].push_back(std::move(socket_));
        clients_->history_.on_response(received, id_, outcome, is_body_valid);
        finish(outcome);
    }
    void disconnect() {
        clients_->history_.on_client_disconnected(now(), id_);
        finish({});
    }
    /// Records the result and ends the exchange. `outcome` is empty if the exchange ends without a response.
    void finish(std::optional<Outcome> outcome) {
        // Keeps this object alive: close() cancels timers whose handlers may own the only other reference.
        const auto self = shared_from_this();
        clients_->results_[id_] = {true, outcome};
        close();
    }
    Millis now() const { return clients_->context_.now(); }

    ClientEmulator* clients_;  // null once the exchange has ended
    const std::string sidecar_;
    const std::string id_;
    const std::string message_;
    const Millis deadline_;
    const Millis disconnect_after_;
    tcp::socket socket_;
    boost::beast::flat_buffer buffer_{kMaxBodyBytes};
    http::response_parser<http::string_body> parser_;
    fault_proxy::EventLoopContext::TimerKey timeout_{};
    fault_proxy::EventLoopContext::TimerKey disconnect_timer_{};
};

ClientEmulator::ClientEmulator(fault_proxy::EventLoopContext& context, RequestHistory& history)
    : context_(context), history_(history) {}

ClientEmulator::~ClientEmulator() { close_all(); }

void ClientEmulator::close_all() {
    for (const auto& weak : exchanges_) {
        if (const auto exchange = weak.lock()) exchange->close();
    }
    exchanges_.clear();
}

std::string ClientEmulator::send(const std::string& sidecar, const tcp::endpoint& address,
                                 const ClientRequest& request) {
    ++last_id_;
    std::string id = "r" + std::to_string(last_id_);
    history_.on_request(context_.now(), id, idempotency_of(request.request_class), sidecar, request.deadline);
    results_[id] = {};
    const auto exchange = std::make_shared<Exchange>(*this, sidecar, id, request);
    std::erase_if(exchanges_, [](const auto& weak) { return weak.expired(); });
    exchanges_.push_back(exchange);
    exchange->start(address);
    return id;
}

// Returns an idle connection that the sidecar has not closed in the meantime, if any.
std::optional<tcp::socket> ClientEmulator::take_idle_connection(const std::string& sidecar) {
    auto& idle = idle_connections_[sidecar];
    while (!idle.empty()) {
        tcp::socket socket = std::move(idle.back());
        idle.pop_back();
        char byte = 0;
        Error error;
        socket.non_blocking(true, error);
        socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
        if (error == asio::error::would_block) return socket;
    }
    return {};
}

bool ClientEmulator::has_ended(const std::string& id) const { return results_.at(id).has_ended; }

std::optional<Outcome> ClientEmulator::outcome(const std::string& id) const {
    return results_.at(id).outcome;
}

}  // namespace elmbay::process_testbed
