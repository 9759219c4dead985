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

namespace elmbay {

namespace asio = boost::asio;
/// Milliseconds, as in the decisions' interface (elmbay/balancer.hpp).
using Millis = double;

// The machine's two clocks, apart.
//
// now() is monotonic: all deadlines, waits, windows and graces are spans of it. It is offset once, so that it
// is near Unix time at the start and no time of 0 can be a recent one; after a step of the wall clock it no
// longer is, and it must not be compared with what other machines tell.
// wall() is Unix time as the machine has it at that moment. It may be stepped, forward or back, at any time;
// docs/design/clocks.md lists what it is used for.
class Clock {
public:
    using Steady = std::chrono::steady_clock;
    using WallTime = std::function<Millis()>;  // Unix milliseconds

    // wall: another wall clock than the machine's, for tests that step it.
    explicit Clock(WallTime wall = machine_wall_time)
        : wall_(std::move(wall)), offset_(wall_() - millis(Steady::now().time_since_epoch())) {}
    // off: by which the wall clock differs from the machine's, for tests.
    explicit Clock(Millis off) : Clock([off] { return machine_wall_time() + off; }) {}

    Millis now() const { return offset_ + millis(Steady::now().time_since_epoch()); }
    Millis wall() const { return wall_(); }
    Steady::time_point steady(Millis at) const {
        return Steady::time_point(std::chrono::duration_cast<Steady::duration>(
            std::chrono::duration<double, std::milli>(at - offset_)));
    }

private:
    template <class D>
    static Millis millis(D span) {
        return std::chrono::duration<double, std::milli>(span).count();
    }

    static Millis machine_wall_time() { return millis(std::chrono::system_clock::now().time_since_epoch()); }

    WallTime wall_;
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
