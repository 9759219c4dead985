/// @file
/// Clocks and timers for the event loop.
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

/// Milliseconds, as in the interface of the decision module (elmbay/balancer.hpp).
using Millis = double;

/// The monotonic clock and the wall clock of the host, as two separate times.
///
/// All deadlines, waits, windows and grace periods are differences of now(). The wall clock may be stepped
/// forward or backward at any time; docs/design/clocks.md lists its few uses.
///
/// Immutable after construction, and therefore thread-safe if the wall clock function is thread-safe.
class Clock {
public:
    using Steady = std::chrono::steady_clock;
    /// Returns Unix time in milliseconds.
    using WallClock = std::function<Millis()>;

    /// @param wall_clock the wall clock; tests that step the time pass one of their own
    explicit Clock(WallClock wall_clock = host_wall_time)
        : wall_clock_(std::move(wall_clock)),
          epoch_offset_(wall_clock_() - to_millis(Steady::now().time_since_epoch())) {}

    /// For tests.
    /// @param wall_offset how far the wall clock is ahead of the host's, in milliseconds
    explicit Clock(Millis wall_offset) : Clock([wall_offset] { return host_wall_time() + wall_offset; }) {}

    /// Returns monotonic time in milliseconds. It equals Unix time at construction, so that 0 is never a
    /// recent time. It departs from Unix time when the wall clock is stepped, and must not be compared with
    /// times of other hosts.
    Millis now() const { return epoch_offset_ + to_millis(Steady::now().time_since_epoch()); }

    /// Returns the current Unix time of the wall clock in milliseconds.
    Millis wall_time() const { return wall_clock_(); }

    /// Converts a time of now() to the standard library's type, which system timers need.
    Steady::time_point to_steady_time(Millis at) const {
        const std::chrono::duration<double, std::milli> since_epoch(at - epoch_offset_);
        return Steady::time_point(std::chrono::duration_cast<Steady::duration>(since_epoch));
    }

private:
    template <class Duration>
    static Millis to_millis(Duration duration) {
        return std::chrono::duration<double, std::milli>(duration).count();
    }

    static Millis host_wall_time() { return to_millis(std::chrono::system_clock::now().time_since_epoch()); }

    WallClock wall_clock_;
    Millis epoch_offset_;  // time of now() at the epoch of the monotonic clock
};

/// Multiplexes all timers of the process onto one system timer.
///
/// A callback runs at or after its time, never earlier. Callbacks run in order of time, and in the order of
/// the set() calls for equal times. A callback may set and cancel timers. An exception from a callback
/// propagates to the caller of the event loop; the other timers still run.
///
/// Not thread-safe: used on the event loop's thread only. Setting and cancelling take logarithmic time.
class TimerQueue {
public:
    /// Identifies a timer by its time and a sequence number. {0, 0} identifies no timer.
    using Key = std::pair<Millis, std::uint64_t>;

    /// @param io,clock must outlive the queue
    TimerQueue(asio::io_context& io, const Clock& clock) : system_timer_(io), clock_(clock) {}

    /// Sets a timer.
    /// @param at a time of Clock::now(); the callback of a past time runs as soon as possible, but never from
    /// within this call
    Key set(Millis at, std::function<void()> callback) {
        const Key key{at, ++last_sequence_number_};
        pending_.emplace(key, std::move(callback));
        const bool is_earliest = armed_at_ == kNotArmed || at < armed_at_;
        if (is_earliest) arm();
        return key;
    }

    /// Cancels a timer that has not run, and resets the key to {0, 0}.
    void cancel(Key& key) {
        pending_.erase(key);
        key = {};
    }

    /// Cancels all timers.
    void clear() {
        pending_.clear();
        system_timer_.cancel();
    }

private:
    static constexpr Millis kNotArmed = 0;
    /// Added to the time of the system timer, so that rounding to its resolution never makes it expire early.
    static constexpr std::chrono::microseconds kRoundingMargin{1};

    // Sets the system timer to the time of the earliest timer, if there is one.
    void arm() {
        armed_at_ = pending_.empty() ? kNotArmed : pending_.begin()->first.first;
        if (armed_at_ == kNotArmed) return;
        system_timer_.expires_at(clock_.to_steady_time(armed_at_) + kRoundingMargin);
        system_timer_.async_wait([this](boost::system::error_code error) {
            if (!error) run_due_timers();
        });
    }

    void run_due_timers() {
        // Arms the system timer also when a callback throws. The program runs the event loop again after an
        // exception, and without this no timer would run any more.
        const std::unique_ptr<TimerQueue, void (*)(TimerQueue*)> rearm(
            this, [](TimerQueue* queue) { queue->arm(); });
        // Runs only the timers that are due on entry: callbacks that set timers for the current time must not
        // keep the event loop in this function.
        const Millis now = clock_.now();
        while (!pending_.empty() && pending_.begin()->first.first <= now) {
            const auto callback = std::move(pending_.begin()->second);
            pending_.erase(pending_.begin());
            armed_at_ = now;  // no callback needs to arm the timer while this loop runs
            callback();
        }
    }

    asio::steady_timer system_timer_;
    const Clock& clock_;
    std::map<Key, std::function<void()>> pending_;
    std::uint64_t last_sequence_number_ = 0;
    Millis armed_at_ = kNotArmed;  // when the system timer expires
};

}  // namespace elmbay
