#include "simulation/drivers/sockets/client_emulator.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <charconv>

namespace elmbay::simulation {

namespace http = boost::beast::http;
using boost::system::error_code;

// One connection, one try at a time.
class ClientEmulator::Connection : public std::enable_shared_from_this<Connection> {
public:
    Connection(ClientEmulator& clients) : clients_(&clients), socket_(clients.testbed_.io) {}

    // On a new connection, or once more on one that is kept.
    void ask(const ClientRequest& t) {
        try_ = t;
        active_ = true;
        patience_ = clients_->testbed_.at(t.at + t.timeout + kSlack, [self = shared_from_this()] {
            self->patience_ = {};
            self->over({End::silence});
        });
        if (t.disconnect_after > 0)
            leaving_ = clients_->testbed_.at(t.at + t.disconnect_after, [self = shared_from_this()] {
                self->leaving_ = {};
                self->over({End::left, ResponseKind::none});
            });
        if (connected_) return write();
        socket_.async_connect(clients_->sidecar_, [self = shared_from_this()](error_code error) {
            if (!self->clients_ || !self->active_) return;
            if (error) return self->over({End::unreached});
            error_code ignored;
            self->socket_.set_option(tcp::no_delay(true), ignored);
            self->connected_ = true;
            self->write();
        });
    }
    // An idle connection that the sidecar closes is not to be used again.
    bool usable() {
        char byte;
        error_code error;
        socket_.non_blocking(true, error);
        socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
        return error == asio::error::would_block;
    }
    void drop() {
        clients_ = nullptr;
        error_code ignored;
        socket_.close(ignored);
    }

private:
    void write() {
        if (!told_) clients_->handlers_.taken(try_);
        told_ = true;
        text_ = clients_->message(try_);
        asio::async_write(socket_, asio::buffer(text_),
                          [self = shared_from_this()](error_code, std::size_t) {});
        parser_ = std::make_unique<http::response_parser<http::string_body>>();
        parser_->body_limit(kMaxAnswer);
        http::async_read(socket_, buffer_, *parser_,
                         [self = shared_from_this()](error_code error, std::size_t bytes) {
                             if (self->clients_ && self->active_) self->read(error, bytes);
                         });
    }
    void read(error_code error, std::size_t bytes) {
        if (error && bytes == 0 && buffer_.size() == 0) {
            if (!reused_) return over({End::closed});
            return again();
        }
        if (error) return over({End::cut, ResponseKind::failed});
        const auto& response = parser_->get();
        Outcome o{End::answered, ResponseKind::failed};
        if (response.result_int() == 200) o.answer = ResponseKind::served;
        if (response.result_int() == 429 || response.result_int() == 503) o.answer = ResponseKind::rejected;
        if (o.answer == ResponseKind::served) {
            char start[24];
            std::snprintf(start, sizeof start, "%016llx ", static_cast<unsigned long long>(try_.id));
            o.genuine = response.body().starts_with(start);
        }
        const auto after = response[http::field::retry_after];
        double seconds = 0;
        const auto [end, wrong] = std::from_chars(after.data(), after.data() + after.size(), seconds);
        if (wrong == std::errc() && end == after.data() + after.size() && seconds > 0)
            o.retry_after = seconds * 1000;
        keep_ = response.keep_alive();
        over(o);
    }
    // It was closed between two requests, and this one crossed that: once more on a new connection.
    void again() {
        error_code ignored;
        socket_.close(ignored);
        socket_ = tcp::socket(clients_->testbed_.io);
        connected_ = reused_ = false;
        buffer_.clear();
        clients_->testbed_.cancel(patience_);
        clients_->testbed_.cancel(leaving_);
        ask(try_);
    }
    void over(const Outcome& outcome) {
        if (!clients_ || !active_) return;
        active_ = told_ = false;
        clients_->testbed_.cancel(patience_);
        clients_->testbed_.cancel(leaving_);
        ClientEmulator* clients = clients_;
        const ClientRequest t = try_;
        const auto self = shared_from_this();
        clients->busy_.erase(self);
        if (outcome.end == End::answered && keep_) {
            reused_ = true;
            clients->idle_.push_back(self);
        } else {
            drop();
        }
        clients->handlers_.ended(t, outcome);
    }

    ClientEmulator* clients_;
    tcp::socket socket_;
    boost::beast::flat_buffer buffer_{kMaxAnswer + 16384};
    std::unique_ptr<http::response_parser<http::string_body>> parser_;
    ClientRequest try_;
    std::string text_;
    LoopbackTestbed::Key patience_{}, leaving_{};
    bool active_ = false, connected_ = false, reused_ = false, told_ = false, keep_ = false;
};

ClientEmulator::ClientEmulator(LoopbackTestbed& testbed, const Scenario& scenario, const ClientModel& clients,
                               tcp::endpoint sidecar, Handlers handlers)
    : testbed_(testbed),
      scenario_(scenario),
      clients_(clients),
      sidecar_(std::move(sidecar)),
      handlers_(std::move(handlers)) {}

ClientEmulator::~ClientEmulator() {
    for (const auto& connection : idle_) connection->drop();
    for (const auto& connection : busy_) connection->drop();
}

std::string ClientEmulator::message(const ClientRequest& t) const {
    const ClassSpec& c = scenario_.classes[clients_.arrival_of(operation_of(t.id)).class_index];
    const bool safe = c.idempotency() == balancer::Idempotency::idempotent;
    char id[24], left[32];
    std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(t.id));
    std::snprintf(left, sizeof left, "%.0fm", t.timeout);
    std::string text = std::string(safe ? "GET" : "POST") + " /api HTTP/1.1\r\nHost: app.svc\r\n" +
                       "X-Correlation-Id: " + id + "\r\nX-Service-Class: " + c.name +
                       "\r\nX-Time-Left: " + left + "\r\n";
    if (t.id % kMaxRequestsPerOperation > 0) text += "X-Repeat: 1\r\n";
    if (c.idempotency() == balancer::Idempotency::idempotency_key)
        text += "Idempotency-Key: k" + std::to_string(operation_of(t.id)) + "\r\n";
    return text + (safe ? "\r\n" : "Content-Length: 4\r\n\r\nbody");
}

void ClientEmulator::ask(const ClientRequest& t) {
    std::shared_ptr<Connection> connection;
    while (!idle_.empty() && !connection) {
        connection = std::move(idle_.back());
        idle_.pop_back();
        if (!connection->usable()) {
            connection->drop();
            connection.reset();
        }
    }
    if (!connection) connection = std::make_shared<Connection>(*this);
    busy_.insert(connection);
    connection->ask(t);
}

void ClientEmulator::up(std::function<void(bool)> told) {
    struct Probe {
        Probe(asio::io_context& io) : socket(io) {}
        tcp::socket socket;
        boost::beast::flat_buffer buffer{16384};
        http::response<http::string_body> response;
    };
    const auto probe = std::make_shared<Probe>(testbed_.io);
    probe->socket.async_connect(sidecar_, [probe, told = std::move(told)](error_code error) {
        if (error) return told(false);
        static const std::string text = "GET /up HTTP/1.1\r\nHost: app.svc\r\n\r\n";
        asio::async_write(probe->socket, asio::buffer(text), [](error_code, std::size_t) {});
        http::async_read(probe->socket, probe->buffer, probe->response,
                         [probe, told](error_code wrong, std::size_t) {
                             told(!wrong && probe->response.result_int() == 200);
                         });
    });
}

}  // namespace elmbay::simulation
