// The driver's common ground: one loop, one clock that begins at 0, one set of rules, and all links that must
// look again when a rule changes or a time comes. Not thread-safe: everything of one EventLoopContext runs in
// its loop.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <csignal>
#include <functional>
#include <list>

#include "base/timing.hpp"
#include "fault_proxy/rules.hpp"

namespace elmbay::fault_proxy {

class EventLoopContext {
public:
    // From now on the process ignores SIGPIPE: splice(2) has no flag against it, and who is written to may
    // go.
    EventLoopContext(asio::io_context& io, std::uint64_t seed = 1)
        : io_(io), timers_(io, clock_), zero_(clock_.now()), rules_(seed) {
        std::signal(SIGPIPE, SIG_IGN);
    }
    EventLoopContext(const EventLoopContext&) = delete;
    EventLoopContext& operator=(const EventLoopContext&) = delete;

    Millis now() const { return clock_.now() - zero_; }
    // Time 0 is now, or ahead; rules hold by the new count.
    void begin(Millis from_now = 0) {
        zero_ = clock_.now() + from_now;
        changed();
    }

    const Rules& rules() const { return rules_; }
    Rules& rules_for_datagrams() { return rules_; }  // a rate keeps its line there
    void put(Rule rule) {
        rules_.put(std::move(rule));
        changed();
    }
    bool take_away(const std::string& name) {
        const bool there = rules_.take_away(name);
        changed();
        return there;
    }
    void replace_all(std::vector<Rule> rules) {
        rules_.replace_all(std::move(rules));
        changed();
    }

    asio::io_context& io() { return io_; }
    using Key = TimerQueue::Key;
    Key at(Millis when, std::function<void()> run) { return timers_.set(zero_ + when, std::move(run)); }
    void cancel(Key& key) { timers_.cancel(key); }

    // Called after each change of what holds, from the loop or from within put() and its like.
    using Look = std::function<void()>;
    using Place = std::list<Look>::iterator;
    Place watch(Look look) { return looks_.insert(looks_.end(), std::move(look)); }
    void unwatch(Place place) { looks_.erase(place); }

    // What is being read, of one connection at a time.
    std::array<char, 256 * 1024> scratch{};

private:
    void changed() {
        for (auto it = looks_.begin(); it != looks_.end();) (*it++)();
        timers_.cancel(next_);
        const Millis next = rules_.next_change(now());
        if (next < kNever)
            next_ = at(next, [this] {
                next_ = {};
                changed();
            });
    }

    asio::io_context& io_;
    Clock clock_;
    TimerQueue timers_;
    Millis zero_;
    Rules rules_;
    std::list<Look> looks_;
    Key next_{};
};

}  // namespace elmbay::fault_proxy
