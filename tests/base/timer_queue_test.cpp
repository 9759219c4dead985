// Tests TimerQueue, which multiplexes all timers onto one timer of the event loop.
#include <gtest/gtest.h>

#include <chrono>
#include <stdexcept>

#include "base/timing.hpp"

namespace elmbay::test {
namespace {

// An exception from a callback ends the run of the event loop. The program then runs the loop again.
TEST(TimerQueue, FiresRemainingTimersAfterCallbackThrows) {
    asio::io_context io(1);
    const Clock clock;
    TimerQueue timers(io, clock);
    bool fired = false;
    timers.set(clock.now(), [] { throw std::runtime_error("callback failed"); });
    timers.set(clock.now() + 1, [&] { fired = true; });
    EXPECT_THROW(io.run(), std::runtime_error);
    io.run_for(std::chrono::seconds(60));
    EXPECT_TRUE(fired);
}

}  // namespace
}  // namespace elmbay::test
