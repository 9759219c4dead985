// Time for the sidecar: one clock and one queue of timers.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>

#include "hollybeam/balancer.hpp"

namespace elmbay {

namespace asio = boost::asio;
using hollybeam::Millis;

// Steady time, offset once to Unix milliseconds: it never goes back, and the list's boot_ms compare with it.
class Clock {
public:
    using Steady = std::chrono::steady_clock;

    // off: by which it differs from the machine's, for tests.
    explicit Clock(Millis off = 0) : offset_(machine() + off) {}

    Millis now() const { return offset_ + millis(Steady::now().time_since_epoch()); }
    Steady::time_point steady(Millis at) const {
        return Steady::time_point(std::chrono::duration_cast<Steady::duration>(
            std::chrono::duration<double, std::milli>(at - offset_)));
    }

private:
    template <class D>
    static Millis millis(D span) {
        return std::chrono::duration<double, std::milli>(span).count();
    }

    static Millis machine() {
        return millis(std::chrono::system_clock::now().time_since_epoch()) -
               millis(Steady::now().time_since_epoch());
    }

    Millis offset_;
};

// All timers of the process behind one system timer. A callback runs at its time or after, never before, in
// order of time and then of setting.
class TimerQueue {
public:
    using Key = std::pair<Millis, std::uint64_t>;  // {0, 0} names no timer

    TimerQueue(asio::io_context& io, const Clock& clock) : timer_(io), clock_(clock) {}

    Key set(Millis at, std::function<void()> run) {
        const Key key{at, ++last_};
        waiting_.emplace(key, std::move(run));
        if (armed_ == 0 || at < armed_) arm();
        return key;
    }
    // Takes the timer back, if it has not run, and makes the key name none.
    void cancel(Key& key) {
        waiting_.erase(key);
        key = {};
    }
    void clear() {
        waiting_.clear();
        timer_.cancel();
    }

private:
    void arm() {
        armed_ = waiting_.empty() ? 0 : waiting_.begin()->first.first;
        if (armed_ == 0) return;
        timer_.expires_at(clock_.steady(armed_) + std::chrono::microseconds(1));
        timer_.async_wait([this](boost::system::error_code error) {
            if (!error) fire();
        });
    }
    void fire() {
        // Also when a callback throws: main goes on after that, and without this no timer would ever fire
        // again.
        const std::unique_ptr<TimerQueue, void (*)(TimerQueue*)> rearm(this, [](TimerQueue* q) { q->arm(); });
        // Only what was due on entry: callbacks that set timers for at once must not keep the loop here.
        const Millis now = clock_.now();
        while (!waiting_.empty() && waiting_.begin()->first.first <= now) {
            const auto run = std::move(waiting_.begin()->second);
            waiting_.erase(waiting_.begin());
            armed_ = now;  // no callback needs to arm while this loop runs
            run();
        }
    }

    asio::steady_timer timer_;
    const Clock& clock_;
    std::map<Key, std::function<void()>> waiting_;
    std::uint64_t last_ = 0;
    Millis armed_ = 0;  // when the system timer goes off; 0: it is not set
};

}  // namespace elmbay
