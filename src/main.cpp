// The real sidecar: reads what it is told, puts the parts together, waits for signals.
#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>

#include "net/config.hpp"
#include "net/sidecar.hpp"

namespace {

const char* environment(const char* name) { return std::getenv(name); }

// SIGHUP: the file has been replaced. One that can't be used changes nothing.
void reload(elmbay::Sidecar& sidecar) {
    try {
        sidecar.reload(elmbay::reload_config(environment));
    } catch (const std::exception& error) {
        std::cerr << "elmbay: the new configuration can't be used, the old one stays: " << error.what()
                  << std::endl;
    }
}

void await_reload(boost::asio::signal_set& signals, elmbay::Sidecar& sidecar) {
    signals.async_wait([&](boost::system::error_code error, int) {
        if (error) return;
        await_reload(signals, sidecar);
        reload(sidecar);
    });
}

int serve() {
    try {
        boost::asio::io_context io(1);
        // Before all else: without a handler SIGHUP ends the process. One that comes too early for us waits
        // here.
        boost::asio::signal_set reloads(io, SIGHUP), ends(io, SIGTERM, SIGINT);
        elmbay::Sidecar sidecar(io, elmbay::load_config(environment));
        await_reload(reloads, sidecar);
        ends.async_wait([&](boost::system::error_code error, int) {
            if (!error) sidecar.drain([&io] { io.stop(); });
        });
        while (!io.stopped()) {
            try {
                io.run();
            } catch (const std::exception& error) {
                // One request's trouble must not lose all the others that are in work.
                std::cerr << "elmbay: " << error.what() << std::endl;
            }
        }
        return 0;
    } catch (const std::exception& error) {
        std::cerr << "elmbay: " << error.what() << std::endl;
        return 2;
    }
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app{
        "The sidecar of voices-archive: takes the application's requests, balances them over the archive\n"
        "servers that discovery names. Runs in the foreground until SIGTERM; SIGHUP re-reads the file."};
    app.set_version_flag("--version", "elmbay " ELMBAY_VERSION);
    app.footer(
        "What it is told comes by the environment:\n"
        "  RELAY_CONFIG     the configuration, a JSON file (README has a small one)\n"
        "  RELAY_NAME, RELAY_LISTEN, RELAY_DISCOVERY  in place of name, listen and discovery there\n"
        "Exit: 0 ended as told, 2 wrong use or a configuration that can't be used.");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? 0 : 2;
    }
    return serve();
}
