// An scenario in real time: emulated servers, discovery and clients on loopback sockets round real sidecar
// processes. One thread and one loop; it measures its own lateness.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "simulation/reports/report.hpp"

namespace elmbay::simulation {

struct SocketRunOptions {
    std::string sidecar_command;                        // the command that starts one
    std::map<std::string, std::string> build_commands;  // of faults other-build: the command of each name
    std::string folder;    // for configurations and logs; empty: a temporary one, removed at the end
    std::string log_path;  // every step and ask, a line each; empty: none
    std::function<void(double)> progress{};
};

// Throws std::invalid_argument for a fault's build that builds does not name, std::runtime_error if the
// sidecars don't come up, with the end of what one of them said.
Report run_socket_simulation(const Scenario& scenario, const SocketRunOptions& options);

}  // namespace elmbay::simulation
