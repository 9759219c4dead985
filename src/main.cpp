// The real sidecar: reads what it is told, puts the parts together, waits for signals.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>

#include "net/config.hpp"
#include "net/sidecar.hpp"

int main() {
    try {
        elmbay::Config config = elmbay::load_config([](const char* name) { return std::getenv(name); });
        boost::asio::io_context io(1);
        elmbay::Sidecar sidecar(io, std::move(config));
        boost::asio::signal_set signals(io, SIGTERM, SIGINT);
        signals.async_wait([&](boost::system::error_code error, int) {
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
