// A testbed of real sidecar processes, emulated clients, servers and discovery, with fault rules on all
// links.
//
//     ProcessTestbed testbed({.sidecars = 3, .servers = 2, .program = ELMBAY_PROGRAM});
//     testbed.start();
//     const auto id = testbed.send_request(0, "deposit");
//     testbed.context().put_rule({.name = "cut", .from = {"s-*"}, .to = {"n-0"}, .act = FaultType::cut});
//     ASSERT_TRUE(testbed.run_until([&] { return testbed.has_ended(id); })) << testbed.describe_failure(id);
//
// Names in rules: sidecars n-0 ..., servers s-0 ..., the discovery service "list", the clients of n-I c-I.
// Links: c-I -> n-I, n-I -> s-J, n-I -> list; datagrams between sidecars.
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
/// @return the name of a server in rules and in the history; its uid in the endpoint list.
inline std::string server_name(std::size_t server) { return "s-" + std::to_string(server); }
/// @return the name of a sidecar's clients in rules.
inline std::string clients_name(std::size_t sidecar) { return "c-" + std::to_string(sidecar); }
/// The name of the discovery service in rules.
constexpr const char* kDiscoveryName = "list";

/// A sidecar did not become ready. The message has the end of its log.
class SidecarNotReady : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// Starts sidecars as processes and runs all that is around them in one event loop and one thread.
///
/// Nothing sleeps: a test waits with run_until(), and after every step of the loop the history is checked; a
/// violation ends the wait. Not thread-safe. The destructor ends every process that was started, and the
/// kernel does if this process ends. Sidecars and servers are numbered from 0; a number that there is not is
/// undefined behavior.
class ProcessTestbed {
public:
    /// Milliseconds that a wait lasts at most: far beyond what a busy machine needs.
    static constexpr Millis kMaxWait = 60000;
    /// Milliseconds between two looks for processes that have ended.
    static constexpr Millis kProcessCheckPeriod = 10;
    /// Descriptors that a sidecar reserves for itself (src/sidecar).
    static constexpr std::size_t kReservedDescriptors = 24;

    /// Makes links, emulators and files; no process runs yet.
    explicit ProcessTestbed(Options options);
    ~ProcessTestbed();
    ProcessTestbed(const ProcessTestbed&) = delete;
    ProcessTestbed& operator=(const ProcessTestbed&) = delete;

    /// Starts all sidecars and waits until each is ready.
    /// @throws SidecarNotReady if one does not become so within kMaxWait.
    void start();

    fault_proxy::EventLoopContext& context() { return context_; }
    fault_proxy::DatagramNet& datagrams() { return *datagrams_; }
    /// @throws std::out_of_range if there is no such link.
    fault_proxy::StreamLink& link(const std::string& from, const std::string& to);
    /// @return milliseconds since the testbed was made.
    Millis now() const { return context_.now(); }
    RequestHistory& request_history() { return request_history_; }
    std::size_t sidecar_count() const { return sidecars_.size(); }
    std::size_t server_count() const { return servers_.size(); }

    /// @name Processes
    /// @{

    /// Stops a sidecar's process with all its state; its sockets stay open.
    void freeze(std::size_t sidecar) { sidecars_[sidecar]->freeze(); }
    /// Resumes a frozen sidecar.
    void thaw(std::size_t sidecar) { sidecars_[sidecar]->thaw(); }
    /// Lets it run for this share of every SidecarController::kCpuPeriod from now on; 1: without a limit.
    void limit_cpu(std::size_t sidecar, double share) { sidecars_[sidecar]->limit_cpu(share); }
    /// Ends it at once, without a graceful shutdown.
    void kill(std::size_t sidecar) { sidecars_[sidecar]->kill(); }
    /// Asks it to shut down gracefully (SIGTERM).
    void terminate(std::size_t sidecar) { sidecars_[sidecar]->terminate(); }
    /// Starts it again after it has ended.
    /// @param command       another build from now on; empty: the same.
    /// @param operator_file added to its operator's file from now on; empty: as before.
    void restart(std::size_t sidecar, const std::string& command = "", const std::string& operator_file = "");
    bool is_running(std::size_t sidecar) const { return process(sidecar).is_running(); }
    /// @return whether it has answered GET /up with 200 since its start.
    bool is_ready(std::size_t sidecar) const { return sidecars_[sidecar]->is_ready(); }
    Process& process(std::size_t sidecar) { return sidecars_[sidecar]->process(); }
    const Process& process(std::size_t sidecar) const { return std::as_const(*sidecars_[sidecar]).process(); }
    /// @return where it listens for datagrams of the other sidecars.
    udp::endpoint cluster_endpoint(std::size_t sidecar) const;
    /// @return where it listens for clients.
    tcp::endpoint listen_endpoint(std::size_t sidecar) const;
    /// @return what its status socket says; discarded JSON if nothing listens there within kMaxWait.
    json status(std::size_t sidecar);
    /// Waits a while for it to close what it no longer needs.
    /// @return whether it holds no more descriptors than its status counts and kReservedDescriptors.
    bool descriptors_are_accounted_for(std::size_t sidecar);
    /// @}

    /// @name Clients
    /// @{

    /// Sends a request of this class, with the deadline of the options.
    /// @return its correlation id.
    std::string send_request(std::size_t sidecar, const std::string& request_class) {
        return send_request(sidecar, ClientRequest{request_class});
    }
    std::string send_request(std::size_t sidecar, ClientRequest request);
    /// @return whether the request has its outcome, or its client has left.
    bool has_ended(const std::string& id) const { return clients_.has_ended(id); }
    /// @return how it ended; none while it is open, or if it ended without a response.
    std::optional<RequestHistory::Outcome> outcome(const std::string& id) const {
        return clients_.outcome(id);
    }
    /// @}

    /// @name Servers and discovery
    /// @{

    ServerEmulator& server(std::size_t server) { return *servers_.at(server); }
    /// Adds a server and lists it as active.
    /// @return its number.
    std::size_t add_server();
    /// Lists the server with this state, for every sidecar that watches the list.
    void set_endpoint_state(std::size_t server, EndpointState state);
    /// @}

    /// @name Waiting
    /// @{

    /// Runs the event loop until the condition holds.
    /// @return whether it does; false at the first violation or crash, and after kMaxWait.
    bool run_until(const std::function<bool()>& condition);
    /// Runs the event loop for so many milliseconds: only for what must not happen meanwhile.
    /// @return whether there was no violation and no crash.
    bool run_for(Millis duration);
    /// Waits until every request has ended, and for what is checked only after a slack.
    /// @return whether there was no violation.
    bool run_until_idle();
    /// @return the violations, a line each.
    std::string violations() const;
    /// Explains a failure: the violations and the events of the request, of the first violation's request if
    /// none is named, of all if there is no violation.
    std::string describe_failure(const std::string& id = "");
    /// @}

private:
    asio::ip::address_v4 address(std::uint32_t host) const;
    void add_sidecar(std::size_t sidecar);
    // Listens at `listen_address`, or at the target's if there is none.
    void add_link(const std::string& from, const std::string& to, const tcp::endpoint& target,
                  const std::optional<asio::ip::address>& listen_address = {});
    void write_files(std::size_t sidecar, const std::string& operator_file);
    std::string status_path(std::size_t sidecar) const;
    std::size_t open_descriptors(std::size_t sidecar) const;
    void schedule_process_check();
    void record_crashes();
    bool run_step(Millis limit);

    const Options options_;
    const std::uint32_t loopback_block_;  // of 127.0.0.0/8, so that testbeds side by side keep apart
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
    std::vector<std::string> operator_files_;  // by sidecar: what restart() was given
    bool has_crash_ = false;
};

}  // namespace elmbay::process_testbed
