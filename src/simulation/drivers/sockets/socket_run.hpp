/// @file
/// Runs a scenario in real time: emulated servers, discovery and clients on loopback sockets, with real
/// sidecar processes between them. The run has one thread and one event loop, and measures the lateness of
/// its timers.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "simulation/reports/report.hpp"

namespace elmbay::simulation {

struct SocketRunOptions {
    std::string sidecar_command;  ///< The command that starts a sidecar.
    /// The commands that start a sidecar of another build. Faults of kind other-build refer to the builds'
    /// names.
    std::map<std::string, std::string> command_by_build_name;
    std::string folder;    ///< For configurations and logs; empty: a temporary folder, removed at the end.
    std::string log_path;  ///< Receives one line per timeline step and operation; empty: no log.
    std::function<void(double)> progress{};  ///< Called about 100 times with the share of the time passed.
};

/// Throws std::invalid_argument if a fault's build has no command, and std::runtime_error, with the end of a
/// sidecar's log, if the sidecars do not become ready.
Report run_socket_simulation(const Scenario& scenario, const SocketRunOptions& options);

}  // namespace elmbay::simulation
