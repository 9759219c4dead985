// The state that all links of a process share: the event loop, one clock that starts at 0, and one set of
// rules.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <csignal>
#include <functional>
#include <list>
#include <string>
#include <utility>
#include <vector>

#include "base/timing.hpp"
#include "fault_proxy/rules.hpp"

namespace elmbay::fault_proxy {

/// Clock, timers and rules of the links and datagram networks in one event loop.
///
/// Must outlive all of them. Not thread-safe: all users of one context run in its event loop.
class EventLoopContext {
public:
    using TimerKey = TimerQueue::Key;
    /// Called after each change of the active rules, from the event loop or within the call that changes the
    /// rules.
    using RulesObserver = std::function<void()>;
    using Subscription = std::list<RulesObserver>::iterator;

    /// Maximum number of bytes that a link reads in one call.
    static constexpr std::size_t kReadBytes = 256UL * 1024;

    /// Makes the process ignore SIGPIPE: splice(2) has no flag that suppresses it, and a receiver may close
    /// its socket at any time.
    /// @param seed seed of the rules' random choices.
    EventLoopContext(asio::io_context& io, std::uint64_t seed = 1)
        : io_(io), timers_(io, clock_), start_time_(clock_.now()), rules_(seed) {
        std::signal(SIGPIPE, SIG_IGN);
    }
    EventLoopContext(const EventLoopContext&) = delete;
    EventLoopContext& operator=(const EventLoopContext&) = delete;

    /// @return milliseconds since time 0.
    Millis now() const { return clock_.now() - start_time_; }
    /// Sets time 0 to `from_now` milliseconds in the future. The times of rules count from time 0.
    void restart_clock(Millis from_now = 0) {
        start_time_ = clock_.now() + from_now;
        notify_observers();
    }

    const Rules& rules() const { return rules_; }
    /// Mutable, because Rules::deliver() updates the state of rate limits.
    Rules& mutable_rules() { return rules_; }
    /// Adds a rule, or replaces the rule of the same name.
    void put_rule(Rule rule) {
        rules_.put(std::move(rule));
        notify_observers();
    }
    /// @return whether a rule of that name existed.
    bool remove_rule(const std::string& name) {
        const bool existed = rules_.remove(name);
        notify_observers();
        return existed;
    }
    void replace_rules(std::vector<Rule> rules) {
        rules_.replace_all(std::move(rules));
        notify_observers();
    }

    asio::io_context& io() { return io_; }
    /// Calls `callback` at this time or later.
    TimerKey schedule(Millis when, std::function<void()> callback) {
        return timers_.set(start_time_ + when, std::move(callback));
    }
    /// Cancels a timer whose callback has not been called yet, and resets the key.
    void cancel(TimerKey& key) { timers_.cancel(key); }

    Subscription subscribe(RulesObserver observer) {
        return observers_.insert(observers_.end(), std::move(observer));
    }
    void unsubscribe(Subscription subscription) { observers_.erase(subscription); }

    /// Buffer into which links read. All links share it, so its content is valid only until the handler
    /// returns.
    std::array<char, kReadBytes> read_buffer{};

private:
    void notify_observers() {
        for (auto next = observers_.begin(); next != observers_.end();) {
            const auto observer = next++;  // the observer may unsubscribe itself
            (*observer)();
        }
        timers_.cancel(change_timer_);
        const Millis next = rules_.next_change(now());
        if (next >= kNever) return;
        change_timer_ = schedule(next, [this] {
            change_timer_ = {};
            notify_observers();
        });
    }

    asio::io_context& io_;
    Clock clock_;
    TimerQueue timers_;
    Millis start_time_;
    Rules rules_;
    std::list<RulesObserver> observers_;
    TimerKey change_timer_{};
};

}  // namespace elmbay::fault_proxy
