// Starts, stops, freezes and throttles the process of one sidecar, and probes its readiness.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <filesystem>
#include <string>

#include "fault_proxy/datagram_net.hpp"
#include "fault_proxy/event_loop_context.hpp"
#include "process_testbed/process.hpp"
#include "process_testbed/request_history.hpp"

namespace elmbay::process_testbed {

using fault_proxy::udp;
using tcp = asio::ip::tcp;

/// One sidecar of a testbed. Reports the state of its process to the history and to the datagram network.
///
/// Owned by ProcessTestbed; runs in its event loop, not thread-safe. The destructor kills the process.
class SidecarController {
public:
    /// Milliseconds between two probes of GET /up while the sidecar starts.
    static constexpr Millis kReadinessProbePeriod = 20;
    /// Period of throttling in milliseconds. A throttled process runs for its share of each period and is
    /// stopped for the rest.
    static constexpr Millis kCpuPeriod = 20;
    /// Maximum number of bytes from the end of the log in the report of a failed start or a crash.
    static constexpr std::size_t kMaxLogExcerptBytes = 600;

    /// Addresses on which the sidecar listens. Both use an IP address of its own, so the ports are free again
    /// at each start.
    struct Endpoints {
        tcp::endpoint listen;   ///< for clients
        udp::endpoint cluster;  ///< for datagrams of the other sidecars
    };

    SidecarController(fault_proxy::EventLoopContext& context, RequestHistory& history,
                      fault_proxy::DatagramNet& datagrams, std::string name, Endpoints endpoints,
                      const std::string& command, std::filesystem::path folder);

    const std::string& name() const { return name_; }
    const Endpoints& endpoints() const { return endpoints_; }
    Process& process() { return process_; }
    const Process& process() const { return process_; }
    /// @return the number of times the sidecar has been started.
    std::uint64_t runs() const { return runs_; }
    /// @return whether the current process has responded to GET /up with 200.
    bool is_ready() const { return is_ready_; }

    /// Starts a process with the files written for it.
    void start();
    /// Stops the process with SIGSTOP and reports this to the history.
    void freeze();
    /// Resumes the process after freeze().
    void thaw();
    /// Limits the process to this share of every kCpuPeriod; 1 removes the limit.
    void limit_cpu(double share);
    /// Sends SIGKILL and returns when the process has ended.
    void kill();
    /// Sends SIGTERM. From then on the end of the process is not a crash.
    void terminate();
    /// Reports the end of the process to the history if it has ended since the last call.
    /// @return whether it ended without a request to terminate.
    bool has_crashed();
    /// @return the end of the process's log, at most kMaxLogExcerptBytes bytes.
    std::string log_excerpt() const;

private:
    void probe_readiness();
    void on_probe_result(std::uint64_t run, bool is_up);
    void run_cpu_slice(bool is_running);

    fault_proxy::EventLoopContext& context_;
    RequestHistory& history_;
    fault_proxy::DatagramNet& datagrams_;
    const std::string name_;
    const Endpoints endpoints_;
    Process process_;
    std::uint64_t runs_ = 0;
    double cpu_share_ = 1;
    fault_proxy::EventLoopContext::TimerKey cpu_slice_end_{};
    bool is_ready_ = false;
    bool is_termination_requested_ = false;  // whether terminate() was called in this run
};

}  // namespace elmbay::process_testbed
