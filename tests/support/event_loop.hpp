// Control over the event loop that a test shares with the code under test.
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <thread>

#include "base/timing.hpp"

namespace elmbay::test {

/// How long a test waits for what must happen. Far beyond what a busy machine needs: no test measures speed.
constexpr std::chrono::seconds kWaitLimit{60};

/// Holds the event loop up until `time`, as for a process that gets no core. Everything that becomes due or
/// readable meanwhile is there in the loop's next turn.
inline void block_event_loop_until(const Clock& clock, Millis time) {
    while (clock.now() < time) std::this_thread::sleep_for(std::chrono::milliseconds(1));
}

/// Runs handlers until `happened` is true or kWaitLimit has passed. Returns whether it happened.
template <class Condition>
bool run_until(boost::asio::io_context& io, Condition happened) {
    const auto limit = std::chrono::steady_clock::now() + kWaitLimit;
    while (!happened()) {
        if (std::chrono::steady_clock::now() > limit) return false;
        io.run_one_for(std::chrono::milliseconds(100));
    }
    return true;
}

/// Runs every handler that is ready, and those that become ready by it, without waiting.
inline void run_ready_handlers(boost::asio::io_context& io) {
    while (io.poll() > 0) {
    }
}

}  // namespace elmbay::test
