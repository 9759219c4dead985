/// @file
/// What all parts of a run on sockets share: the event loop, the time since the start of the run, and the
/// measurement of how late the loop is.
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

    /// Sets time 0 to `delay` from now, resets the measured lateness, and cancels all timers.
    void begin(Millis delay = 0);
    Millis now() const { return clock_.now() - zero_; }
    /// Returns a time of the simulation in the unit of the endpoint list's boot_ms: Unix milliseconds.
    Millis unix_time(Millis at) const { return zero_ + at; }

    using TimerKey = TimerQueue::Key;
    /// Calls `callback` at `when` or later. timer_lateness() reports how much later.
    TimerKey at(Millis when, std::function<void()> callback) {
        return timers_.set(zero_ + when, [this, when, callback = std::move(callback)] {
            record_lateness(now() - when);
            callback();
        });
    }
    void cancel(TimerKey& key) { timers_.cancel(key); }

    TimerLateness timer_lateness() const;

    asio::io_context io{1};

private:
    // The lateness histogram has a bin per tenth of a millisecond; the last bin counts all above one second.
    static constexpr std::size_t kLastBin = 10000;
    void record_lateness(Millis lateness);

    Clock clock_;
    TimerQueue timers_;
    Millis zero_ = 0;
    std::vector<std::uint64_t> lateness_bins_ = std::vector<std::uint64_t>(kLastBin + 1, 0);
    std::uint64_t wakeup_count_ = 0;
    Millis max_lateness_ = 0;
};

}  // namespace elmbay::simulation
