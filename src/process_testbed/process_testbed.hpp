// A testbed of real sidecar processes with emulated clients, servers and discovery services, and with fault
// rules on all links.
//
//     ProcessTestbed testbed({.sidecars = 3, .servers = 2, .program = ELMBAY_PROGRAM});
//     testbed.start();
//     const auto id = testbed.send_request(0, "deposit");
//     testbed.context().put_rule({.name = "cut", .from = {"s-*"}, .to = {"n-0"}, .type = FaultType::cut});
//     ASSERT_TRUE(testbed.run_until([&] { return testbed.has_ended(id); })) << testbed.describe_failure(id);
//
// Names in rules: sidecars are n-0 ..., servers s-0 ..., the discovery service is "list", and the clients of
// n-I are c-I. Links: c-I -> n-I, n-I -> s-J, n-I -> list, and datagrams between sidecars.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "fault_proxy/datagram_net.hpp"
#include "fault_proxy/stream_link.hpp"
#include "process_testbed/client_emulator.hpp"
#include "process_testbed/discovery_emulator.hpp"
#include "process_testbed/process.hpp"
#include "process_testbed/request_history.hpp"
#include "process_testbed/server_emulator.hpp"
#include "process_testbed/sidecar_controller.hpp"
#include "process_testbed/temporary_folder.hpp"
#include "process_testbed/testbed_options.hpp"

namespace elmbay::process_testbed {

/// @return the name of a sidecar in rules and in the history.
inline std::string sidecar_name(std::size_t sidecar) { return "n-" + std::to_string(sidecar); }
/// @return the name of a server in rules and in the history, which is also its uid in the endpoint list.
inline std::string server_name(std::size_t server) { return "s-" + std::to_string(server); }
/// @return the name of a sidecar's clients in rules.
inline std::string clients_name(std::size_t sidecar) { return "c-" + std::to_string(sidecar); }
/// The name of the discovery service in rules.
constexpr const char* kDiscoveryName = "list";

/// A sidecar did not become ready. The message contains the end of its log.
class SidecarNotReady : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// Starts sidecars as processes and runs all emulators in one event loop and one thread.
///
/// Tests wait with run_until() and never sleep. The history is checked after every step of the event loop,
/// and a violation ends the wait. Not thread-safe. The destructor ends all processes that were started, and
/// the kernel does so if this process ends. Sidecars and servers are numbered from 0; a number out of range
/// is undefined behavior.
class ProcessTestbed {
public:
    /// Maximum duration of a wait in milliseconds, far longer than any event takes on a busy machine.
    static constexpr Millis kMaxWait = 60000;
    /// Milliseconds between two checks for processes that have ended.
    static constexpr Millis kProcessCheckPeriod = 10;
    /// Number of descriptors that a sidecar reserves for itself (src/sidecar).
    static constexpr std::size_t kReservedDescriptors = 24;

    /// Creates links, emulators and files, but starts no process.
    explicit ProcessTestbed(Options options);
    ~ProcessTestbed();
    ProcessTestbed(const ProcessTestbed&) = delete;
    ProcessTestbed& operator=(const ProcessTestbed&) = delete;

    /// Starts all sidecars and waits until each is ready.
    /// @throws SidecarNotReady if a sidecar is not ready within kMaxWait.
    void start();

    fault_proxy::EventLoopContext& context() { return context_; }
    fault_proxy::DatagramNet& datagrams() { return *datagrams_; }
    /// @throws std::out_of_range if the link does not exist.
    fault_proxy::StreamLink& link(const std::string& from, const std::string& to);
    /// @return milliseconds since the testbed was created.
    Millis now() const { return context_.now(); }
    RequestHistory& request_history() { return request_history_; }
    std::size_t sidecar_count() const { return sidecars_.size(); }
    std::size_t server_count() const { return servers_.size(); }

    /// @name Processes
    /// @{

    /// Stops the process of a sidecar (SIGSTOP). Its state and its open sockets are kept.
    void freeze(std::size_t sidecar) { sidecars_[sidecar]->freeze(); }
    /// Resumes a frozen sidecar.
    void thaw(std::size_t sidecar) { sidecars_[sidecar]->thaw(); }
    /// Limits a sidecar to this share of every SidecarController::kCpuPeriod; 1 removes the limit.
    void limit_cpu(std::size_t sidecar, double share) { sidecars_[sidecar]->limit_cpu(share); }
    /// Ends a sidecar immediately, without graceful shutdown.
    void kill(std::size_t sidecar) { sidecars_[sidecar]->kill(); }
    /// Sends SIGTERM, which starts a graceful shutdown.
    void terminate(std::size_t sidecar) { sidecars_[sidecar]->terminate(); }
    /// Starts a sidecar again after it has ended.
    /// @param command       command for this and later starts; empty: unchanged.
    /// @param operator_file text added to the operator's file for this and later starts; empty: unchanged.
    void restart(std::size_t sidecar, const std::string& command = "", const std::string& operator_file = "");
    bool is_running(std::size_t sidecar) const { return process(sidecar).is_running(); }
    /// @return whether the sidecar has responded to GET /up with 200 since its start.
    bool is_ready(std::size_t sidecar) const { return sidecars_[sidecar]->is_ready(); }
    Process& process(std::size_t sidecar) { return sidecars_[sidecar]->process(); }
    const Process& process(std::size_t sidecar) const { return std::as_const(*sidecars_[sidecar]).process(); }
    /// @return the address on which the sidecar listens for datagrams of the other sidecars.
    udp::endpoint cluster_endpoint(std::size_t sidecar) const;
    /// @return the address on which the sidecar listens for clients.
    tcp::endpoint listen_endpoint(std::size_t sidecar) const;
    /// @return the content of the sidecar's status socket; discarded JSON if it does not respond within
    /// kMaxWait.
    json status(std::size_t sidecar);
    /// Waits for up to a second until the sidecar has closed unneeded descriptors.
    /// @return whether it holds no more descriptors than its status counts plus kReservedDescriptors.
    bool descriptors_are_accounted_for(std::size_t sidecar);
    /// @}

    /// @name Clients
    /// @{

    /// Sends a request of this class with the deadline of the options.
    /// @return the correlation id of the request.
    std::string send_request(std::size_t sidecar, const std::string& request_class) {
        return send_request(sidecar, ClientRequest{request_class});
    }
    std::string send_request(std::size_t sidecar, ClientRequest request);
    /// @return whether the request has its outcome, or its client has disconnected.
    bool has_ended(const std::string& id) const { return clients_.has_ended(id); }
    /// @return the outcome of the request; none while the request is open, or if it ended without a response.
    std::optional<RequestHistory::Outcome> outcome(const std::string& id) const {
        return clients_.outcome(id);
    }
    /// @}

    /// @name Servers and discovery
    /// @{

    ServerEmulator& server(std::size_t server) { return *servers_.at(server); }
    /// Adds a server and lists it as active.
    /// @return the number of the server.
    std::size_t add_server();
    /// Sets the state of a server in the endpoint lists of all sidecars.
    void set_endpoint_state(std::size_t server, EndpointState state);
    /// @}

    /// @name Waiting
    /// @{

    /// Runs the event loop until the condition is true.
    /// @return whether it is; false at the first violation or crash, or after kMaxWait.
    bool run_until(const std::function<bool()>& condition);
    /// Runs the event loop for a fixed time. Only for checking that an event does not happen.
    /// @return whether no violation and no crash occurred.
    bool run_for(Millis duration);
    /// Waits until every request has ended and every check that is delayed by the tolerance is done.
    /// @return whether no violation was found.
    bool run_until_idle();
    /// @return the violations, one per line.
    std::string violations() const;
    /// Describes a failure: the violations, and the events of the given request. Without an id, uses the
    /// request of the first violation, or all events if there is no violation.
    std::string describe_failure(const std::string& id = "");
    /// @}

private:
    asio::ip::address_v4 address(std::uint32_t host) const;
    void add_sidecar(std::size_t sidecar);
    // Listens on `listen_address`, or on the address of the target if none is given.
    void add_link(const std::string& from, const std::string& to, const tcp::endpoint& target,
                  const std::optional<asio::ip::address>& listen_address = {});
    void write_files(std::size_t sidecar, const std::string& operator_file);
    std::string status_path(std::size_t sidecar) const;
    std::size_t open_descriptors(std::size_t sidecar) const;
    void schedule_process_check();
    void record_crashes();
    bool run_step(Millis limit);

    const Options options_;
    const std::uint32_t loopback_block_;  // block of 127.0.0.0/8, distinct for concurrent testbeds
    const TemporaryFolder folder_{"fleet"};
    asio::io_context io_{1};
    fault_proxy::EventLoopContext context_;
    RequestHistory request_history_;
    std::map<fault_proxy::Link, std::unique_ptr<fault_proxy::StreamLink>> links_;
    std::unique_ptr<fault_proxy::DatagramNet> datagrams_;
    std::vector<std::unique_ptr<ServerEmulator>> servers_;
    std::vector<std::unique_ptr<DiscoveryEmulator>> discoveries_;  // by sidecar
    ClientEmulator clients_;
    std::vector<std::unique_ptr<SidecarController>> sidecars_;
    std::vector<std::string> operator_files_;  // by sidecar: text passed to restart()
    bool has_crash_ = false;
};

}  // namespace elmbay::process_testbed
