// Helpers for running the event loop that a test shares with the code under test.
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <thread>

#include "base/timing.hpp"

namespace elmbay::test {

/// Longest time that a test waits for an expected event. It is far more than a busy machine needs, because no
/// test measures speed.
constexpr std::chrono::seconds kWaitLimit{60};

/// Blocks the event loop until `time`, as if the process had no CPU core. The loop's next turn finds all
/// timers that expired and all sockets that became readable meanwhile.
inline void block_event_loop_until(const Clock& clock, Millis time) {
    while (clock.now() < time) std::this_thread::sleep_for(std::chrono::milliseconds(1));
}

/// Runs handlers until `condition` returns true or kWaitLimit has passed. Returns whether `condition` was
/// true.
template <class Condition>
bool run_until(boost::asio::io_context& io, Condition condition) {
    const auto limit = std::chrono::steady_clock::now() + kWaitLimit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > limit) return false;
        io.run_one_for(std::chrono::milliseconds(100));
    }
    return true;
}

/// Runs every ready handler, and the handlers that become ready meanwhile, without waiting.
inline void run_ready_handlers(boost::asio::io_context& io) {
    while (io.poll() > 0) {
    }
}

}  // namespace elmbay::test
