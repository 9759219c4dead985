/// @file
/// The endpoint list: fetched, watched, and watched again after every break.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <random>
#include <system_error>

#include "base/sockets.hpp"
#include "base/timing.hpp"
#include "config/config.hpp"

namespace elmbay {

/// Keeps a watch on the discovery service and hands on each list or change that it sends.
///
/// One call at a time, on one connection: the whole list first, if none is held, then the watch. After each
/// end of a call another follows, after a delay with jitter. What can't be read is dropped whole and the
/// whole list asked for again; the list that is held stays in force meanwhile.
///
/// Not thread-safe: everything runs on the event loop's thread. Holds at most one descriptor of
/// SocketPurpose::servers and one line of a list.
class Discovery {
public:
    /// What is missed counts as told so long after a watch fell silent, whether lists are pushed or asked
    /// for, and so long after the service can be reached again (STANDING). The drains among it have their own
    /// grace after that. All times below must leave room for a new call within it, which the assertions
    /// check.
    static constexpr Millis kReconnectDeadline = 6000;
    /// A call that is silent for longer has been cut off: an empty line comes every 2 s, and one that is a
    /// second late is not coming.
    static constexpr Millis kMaxSilence = 3000;
    /// A pushed list has its agent on this machine: what takes longer to be connected, or to begin its
    /// response, is not coming. While discovery is down the agent accepts calls, is silent, and answers at
    /// the return.
    static constexpr Millis kConnectTimeout = 500;
    static constexpr Millis kPushedResponseTimeout = 1500;
    /// A list that is asked for is one service's for all. It answers calls in turn; one whose turn would come
    /// later than this is refused at once (measured, docs/design/endings.md).
    static constexpr Millis kMaxTurn = 2000;
    static_assert(kMaxTurn < kMaxSilence);

    /// Between two calls. What an agent that is back has been sent counts at once, so no delay is long. It
    /// doubles only where the service refuses us.
    struct Backoff {
        Millis initial;
        Millis max;
    };
    static constexpr Backoff kPushedBackoff{50, 250};
    /// The one service for all is asked less often.
    static constexpr Backoff kAskedBackoff{250, 400};
    /// A delay is longer or shorter by up to this share: not in step with the other sidecars.
    static constexpr double kJitter = 0.5;
    static constexpr double kMaxJitterFactor = 1 + kJitter;

    // One more call may fail: of a pushed list a whole one, or two that do not connect; of a list that is
    // asked for one that is refused, and after an outage one that waited for its turn.
    static_assert(kMaxSilence + kMaxJitterFactor * kPushedBackoff.initial + kConnectTimeout +
                      kPushedResponseTimeout + kMaxJitterFactor * kPushedBackoff.initial + kConnectTimeout <
                  kReconnectDeadline);
    static_assert(kMaxSilence + kMaxJitterFactor * kAskedBackoff.initial +
                      kMaxJitterFactor * kAskedBackoff.max + kMaxTurn <
                  kReconnectDeadline);
    static_assert(2 * (kMaxJitterFactor * kAskedBackoff.max + kMaxTurn) < kReconnectDeadline);

    /// Who begins the talk about a change.
    enum class Mode {
        pushed,  ///< an agent on this machine pushes it
        polled,  ///< a service is asked for it
    };

    /// What the configuration says of discovery.
    struct Options {
        Endpoint endpoint;
        /// Of the list that is held. None: no list is held, and the whole one is fetched first.
        std::optional<std::uint64_t> known_version;
        std::uint64_t seed = 0;  ///< of the jitter
        Mode mode = Mode::pushed;
    };

    /// Does nothing before watch(). The references must outlive it.
    /// @param on_listing called with each list or change that could be read, in order.
    Discovery(asio::io_context& io, const Options& options, SocketBudget& budget, TimerQueue& timers,
              const Clock& clock, std::function<void(EndpointList)> on_listing);
    ~Discovery();
    Discovery(const Discovery&) = delete;
    Discovery& operator=(const Discovery&) = delete;
    Discovery(Discovery&&) = delete;
    Discovery& operator=(Discovery&&) = delete;

    /// Watches from now on, until stop().
    void watch();
    /// Closes the call, if there is one. The list that is held stays in force.
    void stop();
    /// @return whether bytes of a list lie in the kernel that were not read.
    bool has_unread_data() const;
    /// Goes to another address at once, fetches the whole list there, and starts with the shortest delay.
    /// What the old address has already sent is handed on first.
    void switch_endpoint(const Endpoint& endpoint);

private:
    class Call;

    void begin_call();
    void on_call_ended(std::error_code error);

    asio::io_context& io_;
    Endpoint endpoint_;
    SocketBudget& budget_;
    TimerQueue& timers_;
    const Clock& clock_;
    std::uint64_t version_;  // of the list that is held
    bool needs_whole_list_;  // before the next watch
    const Mode mode_;
    const Backoff backoff_;
    std::mt19937_64 random_;
    std::function<void(EndpointList)> on_listing_;
    std::shared_ptr<Call> call_;  // none between two calls
    TimerQueue::Key retry_timer_{};
    Millis next_delay_;  // before jitter
    // When the service last said what the list is, or that it has not changed; never: not in this run.
    Millis last_heard_at_ = -std::numeric_limits<Millis>::infinity();
    bool is_watching_ = false;
};

}  // namespace elmbay
