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

nlohmann::json endpoint_list_json(const std::vector<RegistryEntry>& entries, std::uint64_t revision,
                                  bool complete, const LoopbackTestbed& testbed) {
    nlohmann::json targets = nlohmann::json::array();
    for (const RegistryEntry& entry : entries) {
        if (complete && entry.state == EndpointState::removed) continue;
        targets.push_back(
            {{"uid", "s-" + std::to_string(entry.server)},
             {"endpoint", entry.endpoint.address().to_string() + ":" + std::to_string(entry.endpoint.port())},
             {"az", entry.zone},
             {"model", "rehearsed"},
             {"pod_group", 0},
             {"state", entry.state == EndpointState::active     ? "active"
                       : entry.state == EndpointState::draining ? "leaving"
                                                                : "left"},
             {"capacity_hint", 1.0},
             {"boot_ms", entry.online_since > 0 ? std::floor(testbed.unix_time(entry.online_since)) : 0.0}});
    }
    return {{"rev", revision}, {"all", complete}, {"targets", targets}};
}

class DiscoveryEmulator::Connection : public std::enable_shared_from_this<Connection> {
public:
    Connection(DiscoveryEmulator& emulator, tcp::socket socket)
        : emulator_(&emulator), socket_(std::move(socket)) {
        error_code ignored;
        socket_.set_option(tcp::no_delay(true), ignored);
    }
    void read() {
        request_ = {};
        http::async_read(socket_, buffer_, request_,
                         [self = shared_from_this()](error_code error, std::size_t) {
                             if (!self->emulator_) return;
                             if (error) return self->close();
                             self->respond();
                             self->read();  // also detects the end of a watch
                         });
    }
    void send_line(const std::string& text) {
        if (!watching_) return;
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", text.size() + 1);
        send(size + text + "\n\r\n");
    }
    bool is_watching() const { return watching_; }
    void drop() {
        emulator_ = nullptr;
        error_code ignored;
        socket_.close(ignored);
    }

private:
    void respond() {
        const std::string target(request_.target());
        const bool watch = target.find("stream=1") != std::string::npos;
        const std::string list =
            endpoint_list_json(emulator_->entries_, emulator_->revision_, true, emulator_->testbed_).dump();
        if (!target.starts_with("/discovery/hosts"))
            return send("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
        if (!watch) {
            send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                 std::to_string(list.size()) + "\r\n\r\n" + list);
        } else {
            watching_ = true;
            send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
            send_line(list);
        }
        emulator_->record_all_notified();
    }
    // Queues a text and writes texts one after the other. Closes the connection of a sidecar that does not
    // read, so that the queue stays bounded.
    void send(std::string text) {
        constexpr std::size_t kMaxQueuedTexts = 1024;  // the endpoint list changes a few hundred times a day
        if (write_queue_.size() >= kMaxQueuedTexts) return close();
        write_queue_.push_back(std::move(text));
        if (write_queue_.size() == 1) write();
    }
    void write() {
        asio::async_write(socket_, asio::buffer(write_queue_.front()),
                          [self = shared_from_this()](error_code error, std::size_t) {
                              if (!self->emulator_) return;
                              if (error) return self->close();
                              self->write_queue_.pop_front();
                              if (!self->write_queue_.empty()) self->write();
                          });
    }
    void close() {
        if (!emulator_) return;
        emulator_->connections_.remove(shared_from_this());
        drop();
    }

    DiscoveryEmulator* emulator_;
    tcp::socket socket_;
    boost::beast::flat_buffer buffer_{kMaxRequestBytes};
    http::request<http::empty_body> request_;
    std::deque<std::string> write_queue_;
    bool watching_ = false;
};

DiscoveryEmulator::DiscoveryEmulator(LoopbackTestbed& testbed, InvariantChecker& checker,
                                     std::uint32_t sidecar, std::vector<RegistryEntry> entries,
                                     const asio::ip::address& address)
    : testbed_(testbed),
      checker_(checker),
      sidecar_(sidecar),
      entries_(std::move(entries)),
      address_(address),
      acceptor_(std::make_shared<tcp::acceptor>(testbed.io, tcp::endpoint(address, 0))) {
    accept();
    schedule_empty_lines();
}

DiscoveryEmulator::~DiscoveryEmulator() {
    *alive_ = false;
    for (const auto& connection : connections_) connection->drop();
}

void DiscoveryEmulator::accept() {
    acceptor_->async_accept(
        [this, acceptor = acceptor_, alive = alive_](error_code error, tcp::socket socket) {
            if (!*alive || acceptor != acceptor_ || error == asio::error::operation_aborted) return;
            if (!error) {
                connections_.push_back(std::make_shared<Connection>(*this, std::move(socket)));
                connections_.back()->read();
            }
            accept();
        });
}

void DiscoveryEmulator::schedule_empty_lines() {
    testbed_.at(testbed_.now() + kEmptyLineInterval, [this, alive = alive_] {
        if (!*alive) return;
        for (const auto& connection : std::list(connections_)) connection->send_line("");
        schedule_empty_lines();
    });
}

tcp::endpoint DiscoveryEmulator::move() {
    error_code ignored;
    acceptor_->close(ignored);
    acceptor_ = std::make_shared<tcp::acceptor>(testbed_.io, tcp::endpoint(address_, 0));
    accept();
    std::vector<std::weak_ptr<Connection>> old_connections(connections_.begin(), connections_.end());
    testbed_.at(testbed_.now() + kOldAddressLinger,
                [this, alive = alive_, old_connections = std::move(old_connections)] {
                    if (!*alive) return;
                    for (const auto& weak : old_connections)
                        if (const auto connection = weak.lock()) {
                            connections_.remove(connection);
                            connection->drop();
                        }
                });
    return endpoint();
}

void DiscoveryEmulator::record_notified(const RegistryEntry& entry) {
    checker_.on_endpoint_update(testbed_.now(), sidecar_, entry.server, entry.state, entry.online_since);
}

void DiscoveryEmulator::record_all_notified() {
    for (const RegistryEntry& entry : entries_) record_notified(entry);
}

void DiscoveryEmulator::apply(const EndpointNotice& notice) {
    RegistryEntry& entry = entries_[notice.server];
    entry.state = notice.state;
    entry.online_since = std::max(entry.online_since, notice.online_since);
    ++revision_;
    const std::string text = endpoint_list_json({entry}, revision_, false, testbed_).dump();
    bool watched = false;
    for (const auto& connection : std::list(connections_)) {
        watched = watched || connection->is_watching();
        connection->send_line(text);
    }
    if (watched) return record_notified(entry);
    testbed_.at(testbed_.now() + kNoticeGrace, [this, alive = alive_, server = notice.server] {
        if (*alive) record_notified(entries_[server]);
    });
}

}  // namespace elmbay::simulation
