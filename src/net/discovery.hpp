// The list of servers: fetched, watched, and watched again after every break.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <random>

#include "base/sockets.hpp"
#include "base/timing.hpp"
#include "config/config.hpp"

namespace elmbay {

class Discovery {
public:
    // From the last word of a call or a watch to the next one's first. What is missed counts as told 6 s
    // after a watch fell silent, whether lists are pushed or asked for, and 6 s after discovery can be
    // reached again (STANDING); the drains among it have their own grace after that.
    static constexpr Millis kCountsAsTold = 6000;
    //   An empty line comes every 2 s; one that is a second late is not coming.
    static constexpr Millis kSilence = 3000;
    //   A pushed list has its agent on this machine. What takes longer to be there, or to begin its answer,
    //   is not coming; while discovery is down the agent takes calls, is silent, and answers at the return.
    static constexpr Millis kConnect = 500, kAnswer = 1500;
    //   A list that is asked for is one service's for all. A call has its answer in its turn; one for which
    //   that would be later than this is refused at once (measured, docs/design/endings.md). One that has
    //   heard nothing for as long as kSilence was cut off like a watch.
    static constexpr Millis kTurn = 2000;
    static_assert(kTurn < kSilence);
    //   Between two tries, each by up to half more or less: not in step with the other sidecars. What an
    //   agent that is back has been sent counts at once, so none of these waits is long; they double only
    //   where it refuses us, up to the second figure. The one service for all is asked less often.
    struct Waits {
        Millis first, most;
    };
    static constexpr Waits kPushed{50, 250}, kAsked{250, 400};
    static constexpr double kJitter = 0.5, kLongest = 1 + kJitter;  // shares of it
    //   So one more try may be in vain: a whole one, or two that do not connect; of an asked-for list one
    //   that is refused, and after an outage one that waited for its turn.
    static_assert(kSilence + kLongest * kPushed.first + kConnect + kAnswer + kLongest * kPushed.first +
                      kConnect <
                  kCountsAsTold);
    static_assert(kSilence + kLongest * kAsked.first + kLongest * kAsked.most + kTurn < kCountsAsTold);
    static_assert(2 * (kLongest * kAsked.most + kTurn) < kCountsAsTold);

    // Pushed by an agent on this machine, or asked for at a service.
    enum class Mode { pushed, asked };
    // rev: of the list that is held; none: no list is held, and the whole one is asked for first.
    Discovery(asio::io_context& io, const Endpoint& endpoint, SocketBudget& budget, TimerQueue& timers,
              const Clock& clock, std::optional<std::uint64_t> rev, std::uint64_t seed, Mode mode,
              std::function<void(Listing)> listed);
    ~Discovery();
    Discovery(const Discovery&) = delete;
    Discovery& operator=(const Discovery&) = delete;

    // From then on, until stop(): a watch that breaks is opened anew, and the old list stays in force
    // meanwhile.
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
    const Mode mode_;
    const Waits waits_;
    std::mt19937_64 random_;
    std::function<void(Listing)> listed_;
    std::shared_ptr<Call> call_;
    TimerQueue::Key again_{};
    Millis wait_;
    // Of the list or of a watch, also that nothing has changed; never: none in this life.
    Millis last_word_ = -std::numeric_limits<Millis>::infinity();
    bool watching_ = false;
};

}  // namespace elmbay
