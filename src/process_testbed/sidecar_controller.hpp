// Starts, stops, freezes and throttles the process of one sidecar, and knows whether it is ready.
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

/// One sidecar of a testbed. Tells the history and the datagram net what becomes of its process.
///
/// Owned by ProcessTestbed; runs in its event loop, not thread-safe. The destructor kills the process.
class SidecarController {
public:
    /// Milliseconds between two probes of GET /up while it starts.
    static constexpr Millis kReadinessProbePeriod = 20;
    /// Milliseconds: a throttled process runs for its share of each period and is stopped for the rest.
    static constexpr Millis kCpuPeriod = 20;
    /// Bytes from the end of its log that a report of a failed start or a crash shows.
    static constexpr std::size_t kMaxLogExcerptBytes = 600;

    /// Where it listens. Both ports belong to an address of its own, so they are free again at each start.
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
    /// @return how often it has been started.
    std::uint64_t runs() const { return runs_; }
    /// @return whether its current process has answered GET /up with 200.
    bool is_ready() const { return is_ready_; }

    /// Starts a process with the files that have been written for it.
    void start();
    /// Stops the process with SIGSTOP and tells the history.
    void freeze();
    /// Resumes it after freeze().
    void thaw();
    /// Lets it run for this share of every kCpuPeriod from now on; 1: without a limit.
    void limit_cpu(double share);
    /// SIGKILL; returns when the process has ended.
    void kill();
    /// SIGTERM: the process may end.
    void terminate();
    /// Notes the end of the process in the history, if it has ended since the last call.
    /// @return whether it ended though nobody told it to.
    bool has_crashed();
    /// @return the end of the process's log.
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
    bool is_termination_requested_ = false;  // it was told to
};

}  // namespace elmbay::process_testbed
