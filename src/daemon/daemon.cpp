#include "daemon/daemon.hpp"

#include <boost/asio/io_context.hpp>
#include <exception>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "base/log_line.hpp"
#include "config/config.hpp"
#include "daemon/environment.hpp"
#include "daemon/exit_code.hpp"
#include "daemon/operator_settings.hpp"
#include "daemon/signal_handling.hpp"
#include "daemon/snapshot_persistence.hpp"
#include "sidecar/sidecar.hpp"
#include "status/status_socket.hpp"

namespace elmbay {

namespace {

// Runs the event loop until it is stopped. After an exception of a handler the loop continues, so that an
// error in one request does not end the others.
void run_event_loop(boost::asio::io_context& io) {
    while (!io.stopped()) {
        try {
            io.run();
        } catch (const std::exception& error) {
            write_log_line("component=event_loop event=handler_failed error=" +
                           quoted_log_value(error.what()));
        }
    }
}

void run_sidecar(const OperatorFile& settings) {
    boost::asio::io_context io(1);
    SignalHandling signals(io);
    Config config = load_config(environment_variable);
    std::optional<SnapshotPersistence> persistence;
    if (!settings.state.directory.empty()) persistence.emplace(io, settings.state, config.name);
    std::optional<Sidecar::RestoredState> restored_state;
    if (persistence) restored_state = persistence->load();
    Sidecar sidecar(io, std::move(config), std::move(restored_state), settings.websocket,
                    Clock(settings.proof.clock_offset()));
    std::optional<StatusSocket> status_socket;
    if (!settings.status.socket.empty()) {
        status_socket.emplace(io, settings.status.socket, [&sidecar] { return sidecar.status(); });
    }
    if (settings.cluster.on) sidecar.join_cluster(settings.cluster);
    if (persistence) persistence->save_periodically(sidecar);
    signals.attach(sidecar, [&io] { io.stop(); });
    run_event_loop(io);
    if (persistence) persistence->save_finally(sidecar);
}

}  // namespace

int run_daemon(const std::string& operator_file) {
    const std::optional<OperatorFile> settings = load_operator_settings(operator_file);
    if (!settings) return kExitInvalidUse;
    ignore_write_signals();
    try {
        run_sidecar(*settings);
        return kExitOk;
    } catch (const std::exception& error) {
        std::cerr << "elmbay: " << error.what() << std::endl;
        return kExitInvalidUse;
    }
}

}  // namespace elmbay
