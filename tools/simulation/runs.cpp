#include "runs.hpp"

#include <filesystem>
#include <fstream>

#include "progress_bar.hpp"
#include "simulation/drivers/sockets/socket_run.hpp"
#include "simulation/drivers/virtual/virtual_run.hpp"
#include "usage_error.hpp"

namespace elmbay::simulation {

namespace {

std::string built_sidecar() {
    const auto folder = std::filesystem::read_symlink("/proc/self/exe").parent_path();
    for (const auto& path : {folder / "elmbay", folder / "../../elmbay"}) {
        if (std::filesystem::exists(path)) return std::filesystem::canonical(path).string();
    }
    throw UsageError(
        "the elmbay program was not found in the build folder of this program; name one with --sidecar");
}

}  // namespace

Report run_in_virtual_time(const Scenario& scenario, const std::string& balancer, const std::string& log_path,
                           bool quiet) {
    VirtualRunOptions options;
    options.balancer = balancer;
    options.progress = progress_bar(quiet);
    std::ofstream log;
    if (!log_path.empty()) {
        log.open(log_path);
        if (!log) throw std::runtime_error(log_path + ": can't be written");
        options.log = &log;
    }
    return run_virtual_simulation(scenario, options);
}

Report run_on_sockets(const Scenario& scenario, const std::string& sidecar, const CommandOptions& options) {
    SocketRunOptions run_options;
    run_options.sidecar_command = sidecar.empty() ? built_sidecar() : sidecar;
    run_options.folder = options.sidecar_folder;
    for (const std::string& build : options.builds) {
        const std::size_t equals = build.find('=');
        const bool has_name = equals != std::string::npos && equals > 0;
        if (!has_name) throw UsageError("--build '" + build + "' is not of the form NAME=COMMAND");
        run_options.command_by_build_name[build.substr(0, equals)] = build.substr(equals + 1);
    }
    run_options.log_path = options.log_path;
    run_options.progress = progress_bar(options.quiet);
    return run_socket_simulation(scenario, run_options);
}

}  // namespace elmbay::simulation
