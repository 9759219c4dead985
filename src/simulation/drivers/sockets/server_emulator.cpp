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

// After a restart of a server, hundreds of connection attempts arrive at once.
constexpr int kBacklog = 1024;
// Connections that fill the accept queue. With a backlog of 0 the kernel queues one; the second is a reserve.
constexpr int kBacklogFillers = 2;

}  // namespace

std::optional<ClientRequestId> ServerEmulator::parse_id(const std::string& text) {
    ClientRequestId id = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), id, 16);
    if (error != std::errc() || end != text.data() + text.size() || text.size() != 16) return {};
    return id;
}

/// A connection from a sidecar. It reads at all times, because a sidecar abandons an attempt by closing the
/// connection, even while the request executes.
class ServerEmulator::Connection : public std::enable_shared_from_this<Connection> {
public:
    Connection(ServerEmulator& server, tcp::socket socket) : server_(&server), socket_(std::move(socket)) {
        error_code ignored;
        socket_.set_option(tcp::no_delay(true), ignored);
        reset_parser();
    }
    void read() {
        socket_.async_read_some(buffer_.prepare(8192),
                                [self = shared_from_this()](error_code error, std::size_t bytes) {
                                    if (!self->server_) return;
                                    if (error) return self->close();
                                    self->buffer_.commit(bytes);
                                    if (!self->parse()) return self->close();
                                    self->read();
                                });
    }
    void respond(const std::string& status, const std::string& headers, const std::string& body) {
        server_request = 0;
        has_request_ = false;
        auto text = std::make_shared<std::string>("HTTP/1.1 " + status + "\r\n" + headers +
                                                  "Content-Length: " + std::to_string(body.size()) +
                                                  "\r\n\r\n" + body);
        asio::async_write(socket_, asio::buffer(*text),
                          [self = shared_from_this(), text](error_code, std::size_t) {});
        if (!parse()) close();
    }
    // Closes the socket without notifying the server model. Used when the process or the machine ends.
    void drop(bool reset) {
        server_ = nullptr;
        error_code ignored;
        if (reset) socket_.set_option(asio::socket_base::linger(true, 0), ignored);
        socket_.close(ignored);
    }
    void set_cut_off() { cut_off_ = true; }
    bool is_cut_off() const { return cut_off_; }

    ServerRequestId server_request = 0;
    ClientRequestId request_id = 0;
    std::uint32_t checker_index = 0;  // number of the attempt at the invariant checker

private:
    void reset_parser() {
        parser_ = std::make_unique<http::request_parser<http::string_body>>();
        parser_->body_limit(kMaxBodyBytes);
        parser_->header_limit(kMaxHeadBytes);
        parser_->eager(true);
    }
    // Passes the received bytes to the parser. Returns false if they are no valid request.
    bool parse() {
        while (server_ && !has_request_ && !cut_off_ && buffer_.size() > 0) {
            error_code error;
            buffer_.consume(parser_->put(buffer_.data(), error));
            if (error == http::error::need_more) return true;
            if (error) return false;
            if (!parser_->is_done()) continue;
            const auto request = parser_->release();
            reset_parser();
            has_request_ = true;
            server_->on_request(shared_from_this(), std::string(request["X-Correlation-Id"]));
        }
        return true;
    }
    void close() {
        ServerEmulator* server = server_;
        if (!server) return;
        server_ = nullptr;
        error_code ignored;
        socket_.close(ignored);
        const Millis now = server->testbed_.now();
        if (server_request != 0) {
            server->checker_.on_attempt_ended(now, request_id, checker_index);
            server->connection_of_request_.erase(server_request);
            server->model().abandon(now, server_request, server->departures_);
        }
        if (!cut_off_) server->model().disconnect(now, server->departures_);
        server->connections_.erase(shared_from_this());
        server->process_departures();
    }

    ServerEmulator* server_;
    tcp::socket socket_;
    boost::beast::flat_buffer buffer_{kMaxBodyBytes + kMaxHeadBytes};
    std::unique_ptr<http::request_parser<http::string_body>> parser_;
    bool has_request_ = false, cut_off_ = false;
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
    // Opens the port even if the server starts later, which determines the port number and shows that it is
    // free.
    open();
    if (!service_model_.is_listed_at_start(number)) close(true);
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
            if (model().connect(testbed_.now(), departures_)) {
                ++accepted_connections_;
                auto connection = std::make_shared<Connection>(*this, std::move(socket));
                connections_.insert(connection);
                connection->read();
            } else {
                error_code ignored;
                socket.set_option(asio::socket_base::linger(true, 0), ignored);
            }
            process_departures();
        }
        accept();
    });
}

void ServerEmulator::close(bool reset) {
    error_code ignored;
    acceptor_.close(ignored);
    backlog_fillers_.clear();
    const auto connections = std::exchange(connections_, {});
    for (const auto& connection : connections) {
        if (connection->server_request != 0)
            checker_.on_attempt_ended(testbed_.now(), connection->request_id, connection->checker_index);
        connection->drop(reset);
    }
    connection_of_request_.clear();
}

// Existing connections stay open without any response. New ones are not established: the emulator stops
// accepting and sets a backlog of 0, the fillers occupy the accept queue, and the kernel drops further
// connection attempts while the queue is full.
void ServerEmulator::cut_off() {
    for (const auto& connection : connections_) connection->set_cut_off();
    error_code ignored;
    acceptor_.cancel(ignored);
    ::listen(acceptor_.native_handle(), 0);
    for (int i = 0; i < kBacklogFillers; ++i) {
        backlog_fillers_.emplace_back(testbed_.io);
        backlog_fillers_.back().open(endpoint_.protocol(), ignored);
        backlog_fillers_.back().native_non_blocking(true, ignored);
        // Uses the system call, because the connect() of Asio would wait until the connection is established,
        // which never happens.
        ::connect(backlog_fillers_.back().native_handle(), endpoint_.data(),
                  static_cast<socklen_t>(endpoint_.size()));
    }
}

void ServerEmulator::apply(const TimelineStep& step) {
    const bool was_up = model().is_running(), was_cut_off = !model().is_reachable();
    service_model_.apply(step, departures_);
    if (step.kind == StepKind::stop && was_up) {
        departures_.clear();  // the sidecars detect the end of these requests by their closed connections
        close(true);
    }
    if (step.kind == StepKind::cut_off && was_up) cut_off();
    if (step.kind == StepKind::start && !was_up && model().is_running()) {
        if (was_cut_off) close(true);
        open();
    }
    process_departures();
}

void ServerEmulator::on_request(const std::shared_ptr<Connection>& connection, const std::string& text) {
    const Millis now = testbed_.now();
    const auto id = parse_id(text);
    if (!id || operation_of(*id) >= clients_.arrivals().size()) {
        checker_.on_unknown_request(now, "s-" + std::to_string(number_) +
                                             " received a request that no client sent: '" +
                                             text.substr(0, 40) + "'");
        return connection->respond("400 Bad Request", "", "");
    }
    const std::uint32_t sidecar = clients_.arrival_of(operation_of(*id)).sidecar;
    connection->request_id = *id;
    connection->checker_index =
        checker_.on_attempt_started(sent_at ? sent_at(*id) : now, *id, number_, sidecar);
    const ServerLoad load{clients_.attempt_work(operation_of(*id), number_), model().capacity(now),
                          model().started_at(), model().is_cold(now)};
    connection->server_request = service_model_.deliver_attempt(now, number_, *id, departures_);
    const ServerRequestId server_request = connection->server_request;
    connection_of_request_[server_request] = connection;
    metrics_.on_attempt(now, number_, load.work);
    bool rejected = false;
    for (const Departure& departure : departures_)
        rejected = rejected || (departure.id == server_request && departure.kind == DepartureKind::rejected);
    const bool overloaded = checker_.on_attempt_delivered(
        now, *id, connection->checker_index,
        rejected ? InvariantChecker::Delivery::rejected : InvariantChecker::Delivery::accepted, load);
    if (overloaded) {
        service_model_.stop_permanently(now, number_, departures_);
        departures_.clear();
        close(true);
    }
    process_departures();
}

void ServerEmulator::process_departures() {
    const ServerModel::Departures departures = std::exchange(departures_, {});
    for (const Departure& departure : departures) {
        const auto found = connection_of_request_.find(departure.id);
        if (found == connection_of_request_.end()) continue;
        const auto connection = found->second.lock();
        connection_of_request_.erase(found);
        if (!connection) continue;
        checker_.on_attempt_ended(testbed_.now(), connection->request_id, connection->checker_index);
        if (departure.kind == DepartureKind::completed) {
            char body[64];
            std::snprintf(body, sizeof body, "%016llx s-%u\n",
                          static_cast<unsigned long long>(connection->request_id), number_);
            connection->respond("200 OK", "Content-Type: text/plain\r\n", body);
        } else if (departure.kind == DepartureKind::failed) {
            connection->respond("500 Internal Server Error", "", "failed\n");
        } else if (departure.kind == DepartureKind::rejected) {
            // A frozen server rejects requests when the freeze ends. Such a request is unprocessed, as is one
            // that a server rejects at once.
            checker_.on_attempt_delivered(testbed_.now(), connection->request_id, connection->checker_index,
                                          InvariantChecker::Delivery::rejected);
            connection->respond("503 Service Unavailable", "X-Unprocessed: 1\r\n", "");
        }
    }
    const Millis next = model().next_event_at();
    if (next > 1e300 || (model_timer_at_ >= 0 && next >= model_timer_at_)) return;
    testbed_.cancel(model_timer_);
    model_timer_at_ = next;
    model_timer_ = testbed_.at(next, [this] {
        model_timer_at_ = -1;
        model_timer_ = {};
        model().advance(testbed_.now(), departures_);
        process_departures();
    });
}

}  // namespace elmbay::simulation
