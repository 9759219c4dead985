#include "process_testbed/discovery_emulator.hpp"

#include <fmt/format.h>

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "fault_proxy/endpoint_text.hpp"

namespace elmbay::process_testbed {

namespace http = boost::beast::http;
using Error = boost::system::error_code;

namespace {

constexpr std::size_t kMaxRequestBytes = 16UL * 1024;  // maximum size of the sidecar's GET request
constexpr std::uint32_t kZones = 3;                    // zones a, b and c, assigned in turn

const char* name_of(EndpointState state) {
    switch (state) {
        case EndpointState::active:
            return "active";
        case EndpointState::leaving:
            return "leaving";
        case EndpointState::left:
            return "left";
    }
    return "";
}

}  // namespace

/// A connection from the sidecar. It carries polls of the whole list or a watch.
class DiscoveryEmulator::Connection : public std::enable_shared_from_this<Connection> {
public:
    Connection(DiscoveryEmulator& service, tcp::socket socket)
        : service_(service), socket_(std::move(socket)) {}

    void read() {
        request_ = {};
        http::async_read(
            socket_, buffer_, request_,
            [self = shared_from_this(), is_alive = service_.is_alive_](Error error, std::size_t) {
                if (!*is_alive) return;
                if (error) {
                    self->service_.connections_.remove(self);
                    return;
                }
                self->respond();
                self->read();
            });
    }
    bool is_watch() const { return is_watch_; }
    /// Sends one line of a watch.
    void send_line(const std::string& line) { send(fmt::format("{:x}\r\n{}\n\r\n", line.size() + 1, line)); }

private:
    void respond() {
        const std::string list = service_.whole_list().dump();
        if (std::string(request_.target()).find("stream=1") == std::string::npos) {
            return send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" +
                        list);
        }
        is_watch_ = true;
        send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        send_line(list);
    }
    void send(const std::string& text) {
        unsent_ += text;
        if (!is_writing_) write();
    }
    void write() {
        is_writing_ = true;
        const auto text = std::make_shared<std::string>(std::exchange(unsent_, {}));
        asio::async_write(socket_, asio::buffer(*text),
                          [self = shared_from_this(), text](Error error, std::size_t) {
                              self->is_writing_ = false;
                              if (!error && !self->unsent_.empty()) self->write();
                          });
    }

    DiscoveryEmulator& service_;
    tcp::socket socket_;
    boost::beast::flat_buffer buffer_{kMaxRequestBytes};
    http::request<http::empty_body> request_;
    std::string unsent_;
    bool is_writing_ = false;
    bool is_watch_ = false;
};

DiscoveryEmulator::DiscoveryEmulator(fault_proxy::EventLoopContext& context, EndpointOf endpoint_of,
                                     const tcp::endpoint& listen)
    : context_(context), endpoint_of_(std::move(endpoint_of)), acceptor_(context.io(), listen) {
    accept();
    schedule_keep_alive();
}

DiscoveryEmulator::~DiscoveryEmulator() { *is_alive_ = false; }

void DiscoveryEmulator::set_state(const std::string& uid, EndpointState state) {
    states_[uid] = state;
    ++revision_;
    for (const auto& connection : std::list(connections_)) {
        if (connection->is_watch()) connection->send_line(endpoint_list(uid).dump());
    }
}

json DiscoveryEmulator::whole_list() const { return endpoint_list(""); }

json DiscoveryEmulator::endpoint_list(const std::string& only_uid) const {
    const bool is_whole = only_uid.empty();
    json targets = json::array();
    std::uint32_t number = 0;
    for (const auto& [uid, state] : states_) {
        ++number;
        const bool is_listed = is_whole ? state != EndpointState::left : uid == only_uid;
        if (!is_listed) continue;
        targets.push_back({{"uid", uid},
                           {"endpoint", fault_proxy::text_of(endpoint_of_(uid))},
                           {"az", std::string(1, static_cast<char>('a' + number % kZones))},
                           {"model", "m"},
                           {"pod_group", 0},
                           {"state", name_of(state)},
                           {"boot_ms", 0.0}});
    }
    return {{"rev", revision_}, {"all", is_whole}, {"targets", targets}};
}

void DiscoveryEmulator::accept() {
    acceptor_.async_accept([this, is_alive = is_alive_](Error error, tcp::socket socket) {
        if (!*is_alive || error == asio::error::operation_aborted) return;
        if (!error) {
            const auto connection = std::make_shared<Connection>(*this, std::move(socket));
            connections_.push_back(connection);
            connection->read();
        }
        accept();
    });
}

void DiscoveryEmulator::schedule_keep_alive() {
    context_.schedule(context_.now() + kKeepAlivePeriod, [this, is_alive = is_alive_] {
        if (!*is_alive) return;
        for (const auto& connection : connections_) {
            if (connection->is_watch()) connection->send_line("");
        }
        schedule_keep_alive();
    });
}

}  // namespace elmbay::process_testbed
