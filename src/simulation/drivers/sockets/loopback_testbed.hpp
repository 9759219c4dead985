// What all parts of a real simulation share: the loop, the time since its start, and how late the loop runs.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>

#include "base/timing.hpp"
#include "simulation/reports/report.hpp"

namespace elmbay::simulation {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

class LoopbackTestbed {
public:
    LoopbackTestbed() : timers_(io, clock_) {}

    // Time 0 is `from_now` ahead, lateness counts anew, and what was to run is forgotten.
    void begin(Millis from_now = 0);
    Millis now() const { return clock_.now() - zero_; }
    // For boot_ms: Unix milliseconds of a time of the simulation.
    Millis unix_time(Millis at) const { return zero_ + at; }

    using Key = TimerQueue::Key;
    // Runs at its time or after; how long after is what punctuality() tells.
    Key at(Millis when, std::function<void()> run) {
        return timers_.set(zero_ + when, [this, when, run = std::move(run)] {
            note_lateness(now() - when);
            run();
        });
    }
    void cancel(Key& key) { timers_.cancel(key); }

    Punctuality punctuality() const;

    asio::io_context io{1};

private:
    // Lateness by tenths of a millisecond; what is beyond a second counts as a second.
    static constexpr std::size_t kSteps = 10000;
    void note_lateness(Millis late);

    Clock clock_;
    TimerQueue timers_;
    Millis zero_ = 0;
    std::vector<std::uint64_t> lateness_ = std::vector<std::uint64_t>(kSteps + 1, 0);
    std::uint64_t wakeups_ = 0;
    Millis most_ = 0;
};

}  // namespace elmbay::simulation
