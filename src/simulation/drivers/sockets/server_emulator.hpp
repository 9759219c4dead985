// The stand-in for one service_model server on a loopback socket: PROTOCOL's "Sidecars to servers" round a
// ServerModel. What the model says is done; nothing is decided here.
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
    // A request has this many bytes at most, head and body (PROTOCOL: bodies hold at most 64 KiB).
    static constexpr std::uint64_t kMaxBody = 64 * 1024;
    static constexpr std::uint32_t kMaxHead = 16 * 1024;

    // Listens at once if the service_model says that it is there at the start. Throws
    // boost::system::system_error if the address can't be had.
    ServerEmulator(LoopbackTestbed& testbed, ServiceModel& service_model, InvariantChecker& checker,
                   ServiceMetrics& metrics, const ClientModel& clients, std::uint32_t number,
                   tcp::endpoint address);
    ~ServerEmulator();
    ServerEmulator(const ServerEmulator&) = delete;
    ServerEmulator& operator=(const ServerEmulator&) = delete;

    // Where a link stands between: when the sidecar wrote the first byte, which is what drains count.
    std::function<Millis(ClientRequestId)> sent_at{};

    // As PROTOCOL's ids are written; none: not one of ours.
    static std::optional<ClientRequestId> id_of(const std::string& text);

    void apply(const TimelineStep& step);
    tcp::endpoint endpoint() const { return endpoint_; }
    std::uint64_t connections() const { return accepted_; }

private:
    class Connection;
    friend class Connection;

    ServerModel& model() { return service_model_.server(number_); }
    void open();
    void accept();
    void close(bool reset);
    void cut_off();
    // Carries out what the model brought to an end, and comes back when it has more.
    void pump();
    void arrived(const std::shared_ptr<Connection>& connection, const std::string& id);

    LoopbackTestbed& testbed_;
    ServiceModel& service_model_;
    InvariantChecker& checker_;
    ServiceMetrics& metrics_;
    const ClientModel& clients_;
    const std::uint32_t number_;
    tcp::endpoint endpoint_;
    tcp::acceptor acceptor_;
    std::set<std::shared_ptr<Connection>> connections_;
    std::unordered_map<Ticket, std::weak_ptr<Connection>> tickets_;
    std::vector<tcp::socket> fillers_;  // keep the queue of a machine that is cut off full
    ServerModel::Out out_;
    LoopbackTestbed::Key poll_{};
    Millis poll_at_ = -1;
    std::uint64_t accepted_ = 0;
};

}  // namespace elmbay::simulation
