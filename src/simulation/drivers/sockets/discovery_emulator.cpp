#include "simulation/drivers/sockets/discovery_emulator.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cmath>
#include <deque>

namespace elmbay::simulation {

namespace http = boost::beast::http;
using balancer::EndpointState;
using boost::system::error_code;

nlohmann::json listing_of(const std::vector<Entry>& entries, std::uint64_t rev, bool all,
                          const LoopbackTestbed& testbed) {
    nlohmann::json targets = nlohmann::json::array();
    for (const Entry& e : entries) {
        if (all && e.state == EndpointState::removed) continue;
        targets.push_back(
            {{"uid", "s-" + std::to_string(e.server)},
             {"endpoint", e.endpoint.address().to_string() + ":" + std::to_string(e.endpoint.port())},
             {"az", e.hall},
             {"model", "rehearsed"},
             {"pod_group", 0},
             {"state", e.state == EndpointState::active     ? "active"
                       : e.state == EndpointState::draining ? "leaving"
                                                            : "left"},
             {"capacity_hint", 1.0},
             {"boot_ms", e.online_since > 0 ? std::floor(testbed.unix_time(e.online_since)) : 0.0}});
    }
    return {{"rev", rev}, {"all", all}, {"targets", targets}};
}

class DiscoveryEmulator::Connection : public std::enable_shared_from_this<Connection> {
public:
    Connection(DiscoveryEmulator& discovery, tcp::socket socket)
        : discovery_(&discovery), socket_(std::move(socket)) {
        error_code ignored;
        socket_.set_option(tcp::no_delay(true), ignored);
    }
    void read() {
        request_ = {};
        http::async_read(socket_, buffer_, request_,
                         [self = shared_from_this()](error_code error, std::size_t) {
                             if (!self->discovery_) return;
                             if (error) return self->gone();
                             self->answer();
                             self->read();  // also to see a watch end
                         });
    }
    void line(const std::string& text) {
        if (!watching_) return;
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", text.size() + 1);
        send(size + text + "\n\r\n");
    }
    bool watching() const { return watching_; }
    void drop() {
        discovery_ = nullptr;
        error_code ignored;
        socket_.close(ignored);
    }

private:
    void answer() {
        const std::string target(request_.target());
        const bool watch = target.find("stream=1") != std::string::npos;
        const std::string list =
            listing_of(discovery_->entries_, discovery_->rev_, true, discovery_->testbed_).dump();
        if (!target.starts_with("/discovery/hosts"))
            return send("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
        if (!watch) {
            send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                 std::to_string(list.size()) + "\r\n\r\n" + list);
        } else {
            watching_ = true;
            send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
            line(list);
        }
        discovery_->all_told();
    }
    // Writes in turn. A sidecar that reads nothing is cut off, not buffered for.
    void send(std::string text) {
        constexpr std::size_t kMaxWaiting = 1024;  // lines; a day has a few hundred
        if (waiting_.size() >= kMaxWaiting) return gone();
        waiting_.push_back(std::move(text));
        if (waiting_.size() == 1) write();
    }
    void write() {
        asio::async_write(socket_, asio::buffer(waiting_.front()),
                          [self = shared_from_this()](error_code error, std::size_t) {
                              if (!self->discovery_) return;
                              if (error) return self->gone();
                              self->waiting_.pop_front();
                              if (!self->waiting_.empty()) self->write();
                          });
    }
    void gone() {
        if (!discovery_) return;
        discovery_->connections_.remove(shared_from_this());
        drop();
    }

    DiscoveryEmulator* discovery_;
    tcp::socket socket_;
    boost::beast::flat_buffer buffer_{kMaxRequest};
    http::request<http::empty_body> request_;
    std::deque<std::string> waiting_;
    bool watching_ = false;
};

DiscoveryEmulator::DiscoveryEmulator(LoopbackTestbed& testbed, InvariantChecker& checker,
                                     std::uint32_t sidecar, std::vector<Entry> entries,
                                     const asio::ip::address& address)
    : testbed_(testbed),
      checker_(checker),
      sidecar_(sidecar),
      entries_(std::move(entries)),
      address_(address),
      acceptor_(std::make_shared<tcp::acceptor>(testbed.io, tcp::endpoint(address, 0))) {
    accept();
    quiet_lines();
}

DiscoveryEmulator::~DiscoveryEmulator() {
    *here_ = false;
    for (const auto& connection : connections_) connection->drop();
}

void DiscoveryEmulator::accept() {
    acceptor_->async_accept([this, acceptor = acceptor_, here = here_](error_code error, tcp::socket socket) {
        if (!*here || acceptor != acceptor_ || error == asio::error::operation_aborted) return;
        if (!error) {
            connections_.push_back(std::make_shared<Connection>(*this, std::move(socket)));
            connections_.back()->read();
        }
        accept();
    });
}

void DiscoveryEmulator::quiet_lines() {
    testbed_.at(testbed_.now() + kQuietLine, [this, here = here_] {
        if (!*here) return;
        for (const auto& connection : std::list(connections_)) connection->line("");
        quiet_lines();
    });
}

tcp::endpoint DiscoveryEmulator::move() {
    error_code ignored;
    acceptor_->close(ignored);
    acceptor_ = std::make_shared<tcp::acceptor>(testbed_.io, tcp::endpoint(address_, 0));
    accept();
    std::vector<std::weak_ptr<Connection>> old(connections_.begin(), connections_.end());
    testbed_.at(testbed_.now() + kOldCloses, [this, here = here_, old = std::move(old)] {
        if (!*here) return;
        for (const auto& weak : old)
            if (const auto connection = weak.lock()) {
                connections_.remove(connection);
                connection->drop();
            }
    });
    return endpoint();
}

void DiscoveryEmulator::told(const Entry& e) {
    checker_.on_endpoint_update(testbed_.now(), sidecar_, e.server, e.state, e.online_since);
}

void DiscoveryEmulator::all_told() {
    for (const Entry& e : entries_) told(e);
}

void DiscoveryEmulator::change(const EndpointNotice& notice) {
    Entry& e = entries_[notice.server];
    e.state = notice.state;
    e.online_since = std::max(e.online_since, notice.online_since);
    ++rev_;
    const std::string text = listing_of({e}, rev_, false, testbed_).dump();
    bool watched = false;
    for (const auto& connection : std::list(connections_)) {
        watched = watched || connection->watching();
        connection->line(text);
    }
    if (watched) return told(e);
    testbed_.at(testbed_.now() + kToldAfter, [this, here = here_, server = notice.server] {
        if (*here) told(entries_[server]);
    });
}

}  // namespace elmbay::simulation
