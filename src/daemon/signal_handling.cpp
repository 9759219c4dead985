#include "daemon/signal_handling.hpp"

#include <csignal>
#include <exception>
#include <utility>

#include "base/log_line.hpp"
#include "config/config.hpp"
#include "daemon/environment.hpp"

namespace elmbay {

namespace {

// Reads and applies the configuration. An invalid configuration is logged and changes nothing.
void reload_configuration(Sidecar& sidecar) {
    try {
        sidecar.reload(reload_config(environment_variable));
    } catch (const std::exception& error) {
        write_log_line("component=configuration event=reload_failed error=" + quoted_log_value(error.what()));
    }
}

}  // namespace

void ignore_write_signals() {
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGXFSZ, SIG_IGN);
}

SignalHandling::SignalHandling(boost::asio::io_context& io)
    : reload_signals_(io, SIGHUP), shutdown_signals_(io, SIGTERM, SIGINT) {}

void SignalHandling::attach(Sidecar& sidecar, std::function<void()> on_drained) {
    wait_for_reload(sidecar);
    shutdown_signals_.async_wait(
        [&sidecar, on_drained = std::move(on_drained)](boost::system::error_code error, int) {
            if (!error) sidecar.drain(on_drained);
        });
}

void SignalHandling::wait_for_reload(Sidecar& sidecar) {
    reload_signals_.async_wait([this, &sidecar](boost::system::error_code error, int) {
        if (error) return;
        wait_for_reload(sidecar);
        reload_configuration(sidecar);
    });
}

}  // namespace elmbay
