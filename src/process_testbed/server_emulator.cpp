#include "process_testbed/server_emulator.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <optional>

#include "process_testbed/request_reader.hpp"

namespace elmbay::process_testbed {

namespace http = boost::beast::http;
using Error = boost::system::error_code;

/// One connection of a sidecar. Handles one request at a time.
class ServerEmulator::Connection : public std::enable_shared_from_this<Connection> {
public:
    Connection(ServerEmulator& server, tcp::socket socket) : server_(&server), socket_(std::move(socket)) {
        Error ignored;
        socket_.set_option(tcp::no_delay(true), ignored);
    }

    void read() {
        parser_.emplace();
        parser_->body_limit(kMaxBodyBytes);
        http::async_read(socket_, buffer_, *parser_, [self = shared_from_this()](Error error, std::size_t) {
            if (!self->server_) return;
            if (error) return self->close();
            self->server_->on_request(self, std::string(self->parser_->get()["X-Correlation-Id"]));
        });
    }

    /// @param headers complete header lines.
    void respond(const std::string& status, const std::string& headers, const std::string& body) {
        if (!server_) return;
        const auto text = std::make_shared<std::string>("HTTP/1.1 " + status + "\r\n" + headers +
                                                        "Content-Length: " + std::to_string(body.size()) +
                                                        "\r\n\r\n" + body);
        asio::async_write(socket_, asio::buffer(*text),
                          [self = shared_from_this(), text](Error error, std::size_t) {
                              if (self->server_ && !error) self->read();
                          });
    }

    void respond_ok(const std::string& body) { respond("200 OK", "Content-Type: text/plain\r\n", body); }

    void close() {
        if (!server_) return;
        Error ignored;
        socket_.close(ignored);
        std::exchange(server_, nullptr)->connections_.erase(shared_from_this());
    }

private:
    ServerEmulator* server_;  // null after close()
    tcp::socket socket_;
    boost::beast::flat_buffer buffer_{kMaxBodyBytes};
    std::optional<http::request_parser<http::string_body>> parser_;
};

ServerEmulator::ServerEmulator(fault_proxy::EventLoopContext& context, RequestHistory& history,
                               std::string name, const tcp::endpoint& listen)
    : context_(context), history_(history), name_(std::move(name)), acceptor_(context.io(), listen) {
    accept();
}

ServerEmulator::~ServerEmulator() {
    for (const auto& connection : std::set(connections_)) connection->close();
}

void ServerEmulator::accept() {
    acceptor_.async_accept([this](Error error, tcp::socket socket) {
        if (error == asio::error::operation_aborted) return;
        if (!error) {
            const auto connection = std::make_shared<Connection>(*this, std::move(socket));
            connections_.insert(connection);
            connection->read();
        }
        accept();
    });
}

void ServerEmulator::on_request(const std::shared_ptr<Connection>& connection, const std::string& id) {
    ++received_requests_;
    switch (behavior) {
        case ServerBehavior::reject:
            history_.on_rejected_by_server(context_.now(), id, name_);
            connection->respond("503 Service Unavailable", "X-Unprocessed: 1\r\n", "");
            break;
        case ServerBehavior::fail:
            connection->respond("500 Internal Server Error", "", "failed\n");
            break;
        case ServerBehavior::no_response:
        case ServerBehavior::hold:
        case ServerBehavior::serve:
            process(connection, id);
            break;
    }
}

void ServerEmulator::process(const std::shared_ptr<Connection>& connection, const std::string& id) {
    const Millis now = context_.now();
    history_.on_processed(now, id, name_);
    if (behavior == ServerBehavior::no_response) return;
    // The body begins with the request's id, so that the client can check that the response belongs to its
    // request.
    const std::string body = id + " " + name_ + "\n" + std::string(body_bytes, 'x');
    if (behavior == ServerBehavior::hold) {
        held_responses_.push_back({connection, body});
    } else if (delay <= 0) {
        connection->respond_ok(body);
    } else {
        context_.schedule(now + delay, [connection, body] { connection->respond_ok(body); });
    }
}

void ServerEmulator::release_held() {
    for (const HeldResponse& held : std::exchange(held_responses_, {}))
        held.connection->respond_ok(held.body);
}

}  // namespace elmbay::process_testbed
