// The list of servers: fetched, watched, and watched again after every break.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <random>

#include "base/config.hpp"
#include "base/sockets.hpp"
#include "base/timing.hpp"

namespace elmbay {

class Discovery {
public:
    // From the last word on a watch to the next one's first. What is missed counts as told 6 s after a watch
    // fell silent (STANDING); the drains among it have their own grace after that.
    //   An empty line comes every 2 s; one that is a second late is not coming.
    static constexpr Millis kSilence = 3000;
    //   A pushed list has its agent on this machine. What takes longer to be there, or to begin its answer,
    //   is not coming; while discovery is down the agent takes calls, is silent, and answers at the return.
    static constexpr Millis kConnect = 500, kAnswer = 1500;
    //   A list that is asked for comes in its turn, and what waits too long there is answered with 503.
    static constexpr Millis kTurn = 4500;
    //   Between two tries, each by up to half more or less. What an agent that is back has been sent counts
    //   at once, so none of these waits is long; they double only where it refuses us, up to the second
    //   figure.
    static constexpr Millis kFirstWait = 50, kMostWait = 250;
    //   So one more try may be in vain: a whole one, or two that do not connect.
    static_assert(kSilence + 1.5 * kFirstWait + kConnect + kAnswer + 1.5 * kFirstWait + kConnect < 6000);

    struct Handlers {
        std::function<void(Listing)> listed;
        std::function<void()> failed;  // a call or the watch has ended; the old list stays in force
    };

    // With reconnect it comes back by itself, after a wait that grows and is jittered; else each call of
    // watch() is one try.
    Discovery(asio::io_context& io, const Endpoint& endpoint, SocketBudget& budget, TimerQueue& timers,
              const Clock& clock, std::uint64_t rev, std::uint64_t seed, bool reconnect, Handlers handlers);
    ~Discovery();
    Discovery(const Discovery&) = delete;
    Discovery& operator=(const Discovery&) = delete;

    void watch();
    void stop();
    // Bytes of it lie in the kernel that have not been read.
    bool unread() const;
    // Goes to another address at once, asks it for the whole list and starts with the shortest wait. What was
    // told so far stays in force until then.
    void move_to(const Endpoint& endpoint);

private:
    class Call;

    void begin();
    void ended(const char* why, bool refused);

    asio::io_context& io_;
    Endpoint endpoint_;
    SocketBudget& budget_;
    TimerQueue& timers_;
    const Clock& clock_;
    std::uint64_t rev_;
    bool whole_;  // ask for the whole list before the next watch
    const bool reconnect_;
    std::mt19937_64 random_;
    Handlers handlers_;
    std::shared_ptr<Call> call_;
    TimerQueue::Key again_{};
    Millis wait_;
    bool watching_ = false;
};

}  // namespace elmbay
