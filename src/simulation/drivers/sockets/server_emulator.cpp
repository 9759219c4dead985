#include "simulation/drivers/sockets/server_emulator.hpp"

#include <sys/socket.h>

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <charconv>

namespace elmbay::simulation {

namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

// Sidecars connect by hundreds after a restart.
constexpr int kBacklog = 1024;
// With a backlog of 0 the kernel queues one connection; one more to be sure.
constexpr int kFillers = 2;

}  // namespace

std::optional<ClientRequestId> ServerEmulator::id_of(const std::string& text) {
    ClientRequestId id = 0;
    const auto [end, wrong] = std::from_chars(text.data(), text.data() + text.size(), id, 16);
    if (wrong != std::errc() || end != text.data() + text.size() || text.size() != 16) return {};
    return id;
}

// Reads all the time: a sidecar that gives up shows it by closing, also while its request is in work.
class ServerEmulator::Connection : public std::enable_shared_from_this<Connection> {
public:
    Connection(ServerEmulator& server, tcp::socket socket) : server_(&server), socket_(std::move(socket)) {
        error_code ignored;
        socket_.set_option(tcp::no_delay(true), ignored);
        fresh_parser();
    }
    void read() {
        socket_.async_read_some(buffer_.prepare(8192),
                                [self = shared_from_this()](error_code error, std::size_t n) {
                                    if (!self->server_) return;
                                    if (error) return self->gone();
                                    self->buffer_.commit(n);
                                    if (!self->take()) return self->gone();
                                    self->read();
                                });
    }
    void respond(const std::string& status, const std::string& headers, const std::string& body) {
        ticket = 0;
        busy_ = false;
        auto text = std::make_shared<std::string>("HTTP/1.1 " + status + "\r\n" + headers +
                                                  "Content-Length: " + std::to_string(body.size()) +
                                                  "\r\n\r\n" + body);
        asio::async_write(socket_, asio::buffer(*text),
                          [self = shared_from_this(), text](error_code, std::size_t) {});
        if (!take()) gone();
    }
    // The process or the machine ends: nothing of it comes back here.
    void drop(bool reset) {
        server_ = nullptr;
        error_code ignored;
        if (reset) socket_.set_option(asio::socket_base::linger(true, 0), ignored);
        socket_.close(ignored);
    }
    void silence() { silent_ = true; }
    bool silent() const { return silent_; }

    Ticket ticket = 0;
    ClientRequestId id = 0;
    std::uint32_t judged = 0;

private:
    void fresh_parser() {
        parser_ = std::make_unique<http::request_parser<http::string_body>>();
        parser_->body_limit(kMaxBody);
        parser_->header_limit(kMaxHead);
        parser_->eager(true);
    }
    // Feeds what has come to the parser; false: it can't be read.
    bool take() {
        while (server_ && !busy_ && !silent_ && buffer_.size() > 0) {
            error_code error;
            buffer_.consume(parser_->put(buffer_.data(), error));
            if (error == http::error::need_more) return true;
            if (error) return false;
            if (!parser_->is_done()) continue;
            const auto request = parser_->release();
            fresh_parser();
            busy_ = true;
            server_->arrived(shared_from_this(), std::string(request["X-Correlation-Id"]));
        }
        return true;
    }
    void gone() {
        ServerEmulator* server = server_;
        if (!server) return;
        server_ = nullptr;
        error_code ignored;
        socket_.close(ignored);
        const Millis now = server->testbed_.now();
        if (ticket != 0) {
            server->checker_.on_attempt_ended(now, id, judged);
            server->tickets_.erase(ticket);
            server->model().abandon(now, ticket, server->out_);
        }
        if (!silent_) server->model().disconnect(now, server->out_);
        server->connections_.erase(shared_from_this());
        server->pump();
    }

    ServerEmulator* server_;
    tcp::socket socket_;
    boost::beast::flat_buffer buffer_{kMaxBody + kMaxHead};
    std::unique_ptr<http::request_parser<http::string_body>> parser_;
    bool busy_ = false, silent_ = false;
};

ServerEmulator::ServerEmulator(LoopbackTestbed& testbed, ServiceModel& service_model,
                               InvariantChecker& checker, ServiceMetrics& metrics, const ClientModel& clients,
                               std::uint32_t number, tcp::endpoint address)
    : testbed_(testbed),
      service_model_(service_model),
      checker_(checker),
      metrics_(metrics),
      clients_(clients),
      number_(number),
      endpoint_(std::move(address)),
      acceptor_(testbed.io) {
    // ResourceUsage once in any case, so that the port is known and known to be free.
    open();
    if (!service_model_.there_at_start(number)) close(true);
}

ServerEmulator::~ServerEmulator() {
    for (const auto& connection : connections_) connection->drop(true);
}

void ServerEmulator::open() {
    acceptor_.open(endpoint_.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(endpoint_);
    acceptor_.listen(kBacklog);
    endpoint_ = acceptor_.local_endpoint();
    accept();
}

void ServerEmulator::accept() {
    acceptor_.async_accept([this](error_code error, tcp::socket socket) {
        if (error == asio::error::operation_aborted || !acceptor_.is_open()) return;
        if (!error) {
            if (model().connect(testbed_.now(), out_)) {
                ++accepted_;
                auto connection = std::make_shared<Connection>(*this, std::move(socket));
                connections_.insert(connection);
                connection->read();
            } else {
                error_code ignored;
                socket.set_option(asio::socket_base::linger(true, 0), ignored);
            }
            pump();
        }
        accept();
    });
}

void ServerEmulator::close(bool reset) {
    error_code ignored;
    acceptor_.close(ignored);
    fillers_.clear();
    const auto connections = std::exchange(connections_, {});
    for (const auto& connection : connections) {
        if (connection->ticket != 0)
            checker_.on_attempt_ended(testbed_.now(), connection->id, connection->judged);
        connection->drop(reset);
    }
    tickets_.clear();
}

// Connections stay open and silent. New ones never come up: the kernel drops them while the queue is full,
// which it is once nothing is accepted any more and its length is none.
void ServerEmulator::cut_off() {
    for (const auto& connection : connections_) connection->silence();
    error_code ignored;
    acceptor_.cancel(ignored);
    ::listen(acceptor_.native_handle(), 0);
    for (int i = 0; i < kFillers; ++i) {
        fillers_.emplace_back(testbed_.io);
        fillers_.back().open(endpoint_.protocol(), ignored);
        fillers_.back().native_non_blocking(true, ignored);
        // The system's own: asio's connect() waits until it is up, which is never.
        ::connect(fillers_.back().native_handle(), endpoint_.data(),
                  static_cast<socklen_t>(endpoint_.size()));
    }
}

void ServerEmulator::apply(const TimelineStep& step) {
    const bool was_up = model().is_running(), was_cut_off = !model().is_reachable();
    service_model_.apply(step, out_);
    if (step.kind == StepKind::stop && was_up) {
        out_.clear();  // each of them is told by its connection's end
        close(true);
    }
    if (step.kind == StepKind::cut_off && was_up) cut_off();
    if (step.kind == StepKind::start && !was_up && model().is_running()) {
        if (was_cut_off) close(true);
        open();
    }
    pump();
}

void ServerEmulator::arrived(const std::shared_ptr<Connection>& connection, const std::string& text) {
    const Millis now = testbed_.now();
    const auto id = id_of(text);
    if (!id || operation_of(*id) >= clients_.arrivals().size()) {
        checker_.on_unknown_request(now, "s-" + std::to_string(number_) +
                                             " got a request that no caller sent: '" + text.substr(0, 40) +
                                             "'");
        return connection->respond("400 Bad Request", "", "");
    }
    const std::uint32_t sidecar = clients_.arrival_of(operation_of(*id)).sidecar;
    connection->id = *id;
    connection->judged = checker_.on_attempt_started(sent_at ? sent_at(*id) : now, *id, number_, sidecar);
    const ServerLoad load{clients_.attempt_work(operation_of(*id), number_), model().capacity(now),
                          model().started_at(), model().is_cold(now)};
    connection->ticket = service_model_.arrive(now, number_, *id, out_);
    const Ticket ticket = connection->ticket;
    tickets_[ticket] = connection;
    metrics_.on_attempt(now, number_, load.work);
    bool away = false;
    for (const Departure& d : out_) away = away || (d.ticket == ticket && d.fate == Fate::turned_away);
    const bool fell = checker_.on_attempt_delivered(
        now, *id, connection->judged,
        away ? InvariantChecker::Delivery::rejected : InvariantChecker::Delivery::accepted, load);
    if (fell) {
        service_model_.fell(now, number_, out_);
        out_.clear();
        close(true);
    }
    pump();
}

void ServerEmulator::pump() {
    const ServerModel::Out departed = std::exchange(out_, {});
    for (const Departure& d : departed) {
        const auto at = tickets_.find(d.ticket);
        if (at == tickets_.end()) continue;
        const auto connection = at->second.lock();
        tickets_.erase(at);
        if (!connection) continue;
        checker_.on_attempt_ended(testbed_.now(), connection->id, connection->judged);
        if (d.fate == Fate::done) {
            char body[64];
            std::snprintf(body, sizeof body, "%016llx s-%u\n",
                          static_cast<unsigned long long>(connection->id), number_);
            connection->respond("200 OK", "Content-Type: text/plain\r\n", body);
        } else if (d.fate == Fate::failed) {
            connection->respond("500 Internal Server Error", "", "failed\n");
        } else if (d.fate == Fate::turned_away) {
            // A machine that stood still turns away once it goes on again: unseen, as those at once.
            checker_.on_attempt_delivered(testbed_.now(), connection->id, connection->judged,
                                          InvariantChecker::Delivery::rejected);
            connection->respond("503 Service Unavailable", "X-Unprocessed: 1\r\n", "");
        }
    }
    const Millis next = model().next();
    if (next > 1e300 || (poll_at_ >= 0 && next >= poll_at_)) return;
    testbed_.cancel(poll_);
    poll_at_ = next;
    poll_ = testbed_.at(next, [this] {
        poll_at_ = -1;
        poll_ = {};
        model().advance(testbed_.now(), out_);
        pump();
    });
}

}  // namespace elmbay::simulation
