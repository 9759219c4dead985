// What all links of a process share: the event loop, one clock that begins at 0, and one set of rules.
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

/// Clock, timers and rules of the links and datagram nets in one event loop.
///
/// Must outlive all of them. Not thread-safe: everything that uses one context runs in its loop.
class EventLoopContext {
public:
    using TimerKey = TimerQueue::Key;
    /// Called after each change of what holds, from the loop or from within the call that changes the rules.
    using RulesObserver = std::function<void()>;
    using Subscription = std::list<RulesObserver>::iterator;

    /// Bytes that a link reads at once.
    static constexpr std::size_t kReadBytes = 256UL * 1024;

    /// From now on the process ignores SIGPIPE: splice(2) has no flag against it, and a receiver may close.
    /// @param seed of the rules' random choices.
    EventLoopContext(asio::io_context& io, std::uint64_t seed = 1)
        : io_(io), timers_(io, clock_), start_time_(clock_.now()), rules_(seed) {
        std::signal(SIGPIPE, SIG_IGN);
    }
    EventLoopContext(const EventLoopContext&) = delete;
    EventLoopContext& operator=(const EventLoopContext&) = delete;

    /// @return milliseconds since time 0.
    Millis now() const { return clock_.now() - start_time_; }
    /// Sets time 0 to so many milliseconds from now. The times of rules count from it.
    void restart_clock(Millis from_now = 0) {
        start_time_ = clock_.now() + from_now;
        notify_observers();
    }

    const Rules& rules() const { return rules_; }
    /// Rules::deliver() keeps count of the lines under a rate limit.
    Rules& mutable_rules() { return rules_; }
    /// Adds a rule, or replaces the one of the same name.
    void put_rule(Rule rule) {
        rules_.put(std::move(rule));
        notify_observers();
    }
    /// @return whether there was one of that name.
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
    /// Takes a timer back, if its callback has not been called, and makes the key name none.
    void cancel(TimerKey& key) { timers_.cancel(key); }

    Subscription subscribe(RulesObserver observer) {
        return observers_.insert(observers_.end(), std::move(observer));
    }
    void unsubscribe(Subscription subscription) { observers_.erase(subscription); }

    /// Where links read to, one at a time: it is free again when a handler returns.
    std::array<char, kReadBytes> read_buffer{};

private:
    void notify_observers() {
        for (auto next = observers_.begin(); next != observers_.end();) {
            const auto observer = next++;  // it may unsubscribe
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
