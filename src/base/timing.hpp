/// @file
/// Time for the event loop: the machine's clocks, and one queue of timers.
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

/// The machine's monotonic clock and its wall clock, kept apart.
///
/// All deadlines, waits, windows and grace periods are differences of now(). The wall clock may be stepped,
/// forward or back, at any time; docs/design/clocks.md lists the few uses of it.
///
/// Immutable after construction, so safe to read from any thread if the wall clock function is.
class Clock {
public:
    using Steady = std::chrono::steady_clock;
    /// Returns Unix time in milliseconds.
    using WallTime = std::function<Millis()>;

    /// @param wall the wall clock; another one than the machine's is for tests that step it
    explicit Clock(WallTime wall = machine_wall_time)
        : wall_(std::move(wall)), offset_(wall_() - to_millis(Steady::now().time_since_epoch())) {}

    /// @param wall_offset milliseconds by which the wall clock is ahead of the machine's, for tests
    explicit Clock(Millis wall_offset) : Clock([wall_offset] { return machine_wall_time() + wall_offset; }) {}

    /// Monotonic time, in milliseconds. It is near Unix time at the start, so that 0 is never a recent time.
    /// It drifts from Unix time when the wall clock is stepped, and must not be compared with times of other
    /// machines.
    Millis now() const { return offset_ + to_millis(Steady::now().time_since_epoch()); }

    /// Unix time as the machine has it at this moment, in milliseconds.
    Millis wall_time() const { return wall_(); }

    /// A time of now() as the standard library has it, for timers of the system.
    Steady::time_point steady(Millis at) const {
        const std::chrono::duration<double, std::milli> since_epoch(at - offset_);
        return Steady::time_point(std::chrono::duration_cast<Steady::duration>(since_epoch));
    }

private:
    template <class Duration>
    static Millis to_millis(Duration duration) {
        return std::chrono::duration<double, std::milli>(duration).count();
    }

    static Millis machine_wall_time() {
        return to_millis(std::chrono::system_clock::now().time_since_epoch());
    }

    WallTime wall_;
    Millis offset_;  // milliseconds from the monotonic clock's epoch to that of now()
};

/// All timers of the process behind one timer of the system.
///
/// A callback runs at its time or after, never before, in order of time and then of setting. It may set and
/// cancel timers. An exception of a callback goes on to the event loop's caller; the other timers still run.
///
/// Not thread-safe: for the event loop's thread. Setting and cancelling take logarithmic time.
class TimerQueue {
public:
    /// Names a timer: its time and a number. {0, 0} names none.
    using Key = std::pair<Millis, std::uint64_t>;

    /// Both must outlive this.
    TimerQueue(asio::io_context& io, const Clock& clock) : system_timer_(io), clock_(clock) {}

    /// @param at on the clock of Clock::now(); a time that has passed is due at once, but never within this
    /// call
    Key set(Millis at, std::function<void()> callback) {
        const Key key{at, ++last_number_};
        waiting_.emplace(key, std::move(callback));
        const bool is_earliest = armed_at_ == kNotArmed || at < armed_at_;
        if (is_earliest) arm();
        return key;
    }

    /// Withdraws a timer, if it has not run, and makes the key name none.
    void cancel(Key& key) {
        waiting_.erase(key);
        key = {};
    }

    /// Withdraws all timers.
    void clear() {
        waiting_.clear();
        system_timer_.cancel();
    }

private:
    static constexpr Millis kNotArmed = 0;
    /// Added to the system timer, so that rounding to its resolution never makes it early.
    static constexpr std::chrono::microseconds kRoundingMargin{1};

    // Sets the system timer to the earliest timer, if there is one.
    void arm() {
        armed_at_ = waiting_.empty() ? kNotArmed : waiting_.begin()->first.first;
        if (armed_at_ == kNotArmed) return;
        system_timer_.expires_at(clock_.steady(armed_at_) + kRoundingMargin);
        system_timer_.async_wait([this](boost::system::error_code error) {
            if (!error) run_due();
        });
    }

    void run_due() {
        // Also when a callback throws: main goes on after that, and without this no timer would ever run
        // again.
        const std::unique_ptr<TimerQueue, void (*)(TimerQueue*)> rearm(
            this, [](TimerQueue* queue) { queue->arm(); });
        // Only what is due on entry: callbacks that set timers for at once must not keep the loop here.
        const Millis now = clock_.now();
        while (!waiting_.empty() && waiting_.begin()->first.first <= now) {
            const auto callback = std::move(waiting_.begin()->second);
            waiting_.erase(waiting_.begin());
            armed_at_ = now;  // no callback needs to arm the timer while this loop runs
            callback();
        }
    }

    asio::steady_timer system_timer_;
    const Clock& clock_;
    std::map<Key, std::function<void()>> waiting_;
    std::uint64_t last_number_ = 0;
    Millis armed_at_ = kNotArmed;  // when the system timer goes off
};

}  // namespace elmbay
