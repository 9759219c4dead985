// The real sidecar: reads what it is told, puts the parts together, waits for signals.
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

}  // namespace

int main() {
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
