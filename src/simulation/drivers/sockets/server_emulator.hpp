/// @file
/// Emulates one server on a loopback socket: "Sidecars to servers" of PROTOCOL. It only connects a
/// ServerModel to sockets; the model decides what happens to requests.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <set>

#include "simulation/checking/invariant_checker.hpp"
#include "simulation/drivers/sockets/loopback_testbed.hpp"
#include "simulation/models/service_model.hpp"

namespace elmbay::simulation {

class ServerEmulator {
public:
    /// Limits of a request's body and head (PROTOCOL: bodies hold at most 64 KiB).
    static constexpr std::uint64_t kMaxBodyBytes = 64 * 1024;
    static constexpr std::uint32_t kMaxHeadBytes = 16 * 1024;

    /// Listens at once if the server is listed at the start. Throws boost::system::system_error if the
    /// address is not available.
    ServerEmulator(LoopbackTestbed& testbed, ServiceModel& service_model, InvariantChecker& checker,
                   ServiceMetrics& metrics, const ClientModel& clients, std::uint32_t number,
                   tcp::endpoint address);
    ~ServerEmulator();
    ServerEmulator(const ServerEmulator&) = delete;
    ServerEmulator& operator=(const ServerEmulator&) = delete;

    /// Returns when the sidecar wrote the first byte of a request's last attempt. Set only if a link with
    /// faults lies between sidecar and server: the invariant on drains applies to this time and not to the
    /// arrival.
    std::function<Millis(ClientRequestId)> sent_at{};

    /// Parses an id in the form that PROTOCOL defines; nothing: the text is not an id of this simulation.
    static std::optional<ClientRequestId> parse_id(const std::string& text);

    void apply(const TimelineStep& step);
    tcp::endpoint endpoint() const { return endpoint_; }
    std::uint64_t accepted_connections() const { return accepted_connections_; }

private:
    class Connection;
    friend class Connection;

    ServerModel& model() { return service_model_.server(number_); }
    void open();
    void accept();
    void close(bool reset);
    void cut_off();
    // Sends the responses for the model's departures, and sets a timer for the model's next event.
    void process_departures();
    void on_request(const std::shared_ptr<Connection>& connection, const std::string& id);

    LoopbackTestbed& testbed_;
    ServiceModel& service_model_;
    InvariantChecker& checker_;
    ServiceMetrics& metrics_;
    const ClientModel& clients_;
    const std::uint32_t number_;
    tcp::endpoint endpoint_;
    tcp::acceptor acceptor_;
    std::set<std::shared_ptr<Connection>> connections_;
    std::unordered_map<ServerRequestId, std::weak_ptr<Connection>> connection_of_request_;
    std::vector<tcp::socket> backlog_fillers_;  // keep the accept queue of a server that is cut off full
    ServerModel::Departures departures_;
    LoopbackTestbed::TimerKey model_timer_{};
    Millis model_timer_at_ = -1;  // -1: not set
    std::uint64_t accepted_connections_ = 0;
};

}  // namespace elmbay::simulation
