#include "simulation/drivers/sockets/client_emulator.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <charconv>

namespace elmbay::simulation {

namespace http = boost::beast::http;
using boost::system::error_code;

/// A connection to the sidecar, which carries one request at a time.
class ClientEmulator::Connection : public std::enable_shared_from_this<Connection> {
public:
    Connection(ClientEmulator& emulator) : emulator_(&emulator), socket_(emulator.testbed_.io) {}

    /// Sends a request, after connecting if the connection is new.
    void send(const ClientRequest& request) {
        request_ = request;
        active_ = true;
        timeout_timer_ =
            emulator_->testbed_.at(request.at + request.timeout + kSlack, [self = shared_from_this()] {
                self->timeout_timer_ = {};
                self->finish({End::timed_out});
            });
        if (request.disconnect_after > 0)
            disconnect_timer_ =
                emulator_->testbed_.at(request.at + request.disconnect_after, [self = shared_from_this()] {
                    self->disconnect_timer_ = {};
                    self->finish({End::client_left, ResponseKind::none});
                });
        if (connected_) return write();
        socket_.async_connect(emulator_->sidecar_, [self = shared_from_this()](error_code error) {
            if (!self->emulator_ || !self->active_) return;
            if (error) return self->finish({End::connect_failed});
            error_code ignored;
            self->socket_.set_option(tcp::no_delay(true), ignored);
            self->connected_ = true;
            self->write();
        });
    }
    /// Whether an idle connection can carry another request; false if the sidecar has closed it.
    bool is_usable() {
        char byte;
        error_code error;
        socket_.non_blocking(true, error);
        socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
        return error == asio::error::would_block;
    }
    void close() {
        emulator_ = nullptr;
        error_code ignored;
        socket_.close(ignored);
    }

private:
    void write() {
        if (!sent_reported_) emulator_->handlers_.on_sent(request_);
        sent_reported_ = true;
        text_ = emulator_->http_request(request_);
        asio::async_write(socket_, asio::buffer(text_),
                          [self = shared_from_this()](error_code, std::size_t) {});
        parser_ = std::make_unique<http::response_parser<http::string_body>>();
        parser_->body_limit(kMaxResponseBytes);
        http::async_read(socket_, buffer_, *parser_,
                         [self = shared_from_this()](error_code error, std::size_t bytes) {
                             if (self->emulator_ && self->active_) self->read(error, bytes);
                         });
    }
    void read(error_code error, std::size_t bytes) {
        if (error && bytes == 0 && buffer_.size() == 0) {
            if (!reused_) return finish({End::closed});
            return resend();
        }
        if (error) return finish({End::truncated, ResponseKind::failed});
        const auto& response = parser_->get();
        Outcome outcome{End::responded, ResponseKind::failed};
        if (response.result_int() == 200) outcome.response = ResponseKind::served;
        if (response.result_int() == 429 || response.result_int() == 503)
            outcome.response = ResponseKind::rejected;
        if (outcome.response == ResponseKind::served) {
            char expected_start[24];
            std::snprintf(expected_start, sizeof expected_start, "%016llx ",
                          static_cast<unsigned long long>(request_.id));
            outcome.genuine = response.body().starts_with(expected_start);
        }
        const auto retry_after = response[http::field::retry_after];
        double seconds = 0;
        const auto [end, parse_error] =
            std::from_chars(retry_after.data(), retry_after.data() + retry_after.size(), seconds);
        if (parse_error == std::errc() && end == retry_after.data() + retry_after.size() && seconds > 0)
            outcome.retry_after = seconds * 1000;
        keep_alive_ = response.keep_alive();
        finish(outcome);
    }
    // The sidecar closed the idle connection while the request was on its way, so it has not read the
    // request. Sends it again on a new connection.
    void resend() {
        error_code ignored;
        socket_.close(ignored);
        socket_ = tcp::socket(emulator_->testbed_.io);
        connected_ = reused_ = false;
        buffer_.clear();
        emulator_->testbed_.cancel(timeout_timer_);
        emulator_->testbed_.cancel(disconnect_timer_);
        send(request_);
    }
    void finish(const Outcome& outcome) {
        if (!emulator_ || !active_) return;
        active_ = sent_reported_ = false;
        emulator_->testbed_.cancel(timeout_timer_);
        emulator_->testbed_.cancel(disconnect_timer_);
        ClientEmulator* emulator = emulator_;
        const ClientRequest request = request_;
        const auto self = shared_from_this();
        emulator->busy_.erase(self);
        if (outcome.end == End::responded && keep_alive_) {
            reused_ = true;
            emulator->idle_.push_back(self);
        } else {
            close();
        }
        emulator->handlers_.on_ended(request, outcome);
    }

    ClientEmulator* emulator_;
    tcp::socket socket_;
    boost::beast::flat_buffer buffer_{kMaxResponseBytes + 16384};
    std::unique_ptr<http::response_parser<http::string_body>> parser_;
    ClientRequest request_;
    std::string text_;
    LoopbackTestbed::TimerKey timeout_timer_{}, disconnect_timer_{};
    bool active_ = false, connected_ = false, reused_ = false, sent_reported_ = false, keep_alive_ = false;
};

ClientEmulator::ClientEmulator(LoopbackTestbed& testbed, const Scenario& scenario, const ClientModel& clients,
                               tcp::endpoint sidecar, Handlers handlers)
    : testbed_(testbed),
      scenario_(scenario),
      clients_(clients),
      sidecar_(std::move(sidecar)),
      handlers_(std::move(handlers)) {}

ClientEmulator::~ClientEmulator() {
    for (const auto& connection : idle_) connection->close();
    for (const auto& connection : busy_) connection->close();
}

std::string ClientEmulator::http_request(const ClientRequest& request) const {
    const ClassSpec& spec = scenario_.classes[clients_.arrival_of(operation_of(request.id)).class_index];
    const bool idempotent = spec.idempotency() == balancer::Idempotency::idempotent;
    char id[24], timeout[32];
    std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(request.id));
    std::snprintf(timeout, sizeof timeout, "%.0fm", request.timeout);
    std::string text = std::string(idempotent ? "GET" : "POST") + " /api HTTP/1.1\r\nHost: app.svc\r\n" +
                       "X-Correlation-Id: " + id + "\r\nX-Service-Class: " + spec.name +
                       "\r\nX-Time-Left: " + timeout + "\r\n";
    if (request.id % kMaxRequestsPerOperation > 0) text += "X-Repeat: 1\r\n";
    if (spec.idempotency() == balancer::Idempotency::idempotency_key)
        text += "Idempotency-Key: k" + std::to_string(operation_of(request.id)) + "\r\n";
    return text + (idempotent ? "\r\n" : "Content-Length: 4\r\n\r\nbody");
}

void ClientEmulator::send(const ClientRequest& request) {
    std::shared_ptr<Connection> connection;
    while (!idle_.empty() && !connection) {
        connection = std::move(idle_.back());
        idle_.pop_back();
        if (!connection->is_usable()) {
            connection->close();
            connection.reset();
        }
    }
    if (!connection) connection = std::make_shared<Connection>(*this);
    busy_.insert(connection);
    connection->send(request);
}

void ClientEmulator::check_ready(std::function<void(bool)> callback) {
    struct Probe {
        Probe(asio::io_context& io) : socket(io) {}
        tcp::socket socket;
        boost::beast::flat_buffer buffer{16384};
        http::response<http::string_body> response;
    };
    const auto probe = std::make_shared<Probe>(testbed_.io);
    probe->socket.async_connect(sidecar_, [probe, callback = std::move(callback)](error_code connect_error) {
        if (connect_error) return callback(false);
        static const std::string text = "GET /up HTTP/1.1\r\nHost: app.svc\r\n\r\n";
        asio::async_write(probe->socket, asio::buffer(text), [](error_code, std::size_t) {});
        http::async_read(probe->socket, probe->buffer, probe->response,
                         [probe, callback](error_code read_error, std::size_t) {
                             callback(!read_error && probe->response.result_int() == 200);
                         });
    });
}

}  // namespace elmbay::simulation
