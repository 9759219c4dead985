/// @file
/// The discovery client: fetches the endpoint list, watches it, and reconnects after every failure.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <random>
#include <system_error>
#include <vector>

#include "base/sockets.hpp"
#include "base/timing.hpp"
#include "config/config.hpp"

namespace elmbay {

/// Keeps a watch open at the discovery service and passes on each list or change that the service sends.
///
/// A call is one connection: it fetches the whole list if there is none yet, then opens the watch. When a
/// call ends, another one starts after a delay with jitter. A message that can't be parsed is discarded
/// completely, and the whole list is fetched again; meanwhile the current list stays in force.
///
/// There is one current call. When the service's address changes, the calls to earlier addresses stay open
/// until a later call has received the whole list, and what they receive is applied. So a change of address
/// never makes the list older than it would be otherwise, however often the address changes.
///
/// Not thread-safe: everything runs on the event loop's thread. Holds at most kMaxPreviousCalls + 1
/// descriptors of SocketPurpose::servers, and for each the text of one list or one line.
class Discovery {
public:
    /// Deadline for receiving changes that were missed, from the moment a watch falls silent or the service
    /// is reachable again (STANDING). After it the sidecar is expected to comply with those changes, whether
    /// lists are pushed or polled; drains have their own grace period in addition. The timeouts and delays
    /// below must leave time for a new call within this deadline. The static assertions check that.
    static constexpr Millis kReconnectDeadline = 6000;
    /// Time without a complete line after which a watch counts as broken. The service sends a heartbeat every
    /// 2 s; one that is a second late is not expected to arrive.
    static constexpr Millis kMaxSilence = 3000;
    /// Time limits for connecting and for the start of a response, if lists are pushed. Then the service is
    /// an agent on this machine, and a slower reply is not expected to arrive. While discovery is down, the
    /// agent accepts calls without responding, and responds when discovery is back.
    static constexpr Millis kConnectTimeout = 500;
    static constexpr Millis kPushedResponseTimeout = 1500;
    /// Maximum number of calls to earlier addresses that stay open. If there are more, the oldest ones are
    /// kept, because a polled service responds to them first. An address that was replaced closes its
    /// connections after 1.5 s (LATER).
    static constexpr std::size_t kMaxPreviousCalls = 3;
    /// Time from the beginning of a watch's response after which the current list counts as confirmed if no
    /// line has arrived. The service sends what has changed at once, but no line if nothing has changed.
    static constexpr Millis kFirstLineDelay = 50;
    /// Longest time that a polled service queues a call. One service serves all sidecars and handles their
    /// calls in turn. It rejects a call at once if the wait would be longer (docs/design/endings.md).
    static constexpr Millis kMaxQueueTime = 2000;
    static_assert(kMaxQueueTime < kMaxSilence);

    /// Delays between two calls. They are short, because changes that a recovered agent has received take
    /// effect at once. The delay doubles after each failed call, except after a timeout.
    struct Backoff {
        Millis initial;
        Millis max;
    };
    static constexpr Backoff kPushedBackoff{50, 250};
    /// Backoff for the polled service. It is longer, because one service serves all sidecars.
    static constexpr Backoff kPolledBackoff{250, 400};
    /// Random variation of a delay, as a share of it, so that sidecars do not call the service in step.
    static constexpr double kJitter = 0.5;
    static constexpr double kMaxJitterFactor = 1 + kJitter;

    // The assertions leave time for further failed calls within the deadline. Pushed lists: a call that times
    // out completely, or two that fail to connect. Polled lists: a call that is rejected and, after an
    // outage, a call that waited in the service's queue.
    static_assert(kMaxSilence + kMaxJitterFactor * kPushedBackoff.initial + kConnectTimeout +
                      kPushedResponseTimeout + kMaxJitterFactor * kPushedBackoff.initial + kConnectTimeout <
                  kReconnectDeadline);
    static_assert(kMaxSilence + kMaxJitterFactor * kPolledBackoff.initial +
                      kMaxJitterFactor * kPolledBackoff.max + kMaxQueueTime <
                  kReconnectDeadline);
    static_assert(2 * (kMaxJitterFactor * kPolledBackoff.max + kMaxQueueTime) < kReconnectDeadline);

    /// How changes of the endpoint list reach the sidecar.
    enum class Mode {
        pushed,  ///< an agent on this machine pushes changes
        polled,  ///< the sidecar polls a service that all sidecars share
    };

    /// Options from the sidecar's configuration.
    struct Options {
        Endpoint endpoint;
        /// Version of the list that the sidecar already has. If absent, the whole list is fetched first.
        std::optional<std::uint64_t> known_version;
        std::uint64_t seed = 0;  ///< seed of the jitter
        Mode mode = Mode::pushed;
    };

    /// Callbacks to the owner. They run on the event loop's thread, never inside the constructor.
    struct Handlers {
        /// Called with each parsed list or change, in order of arrival.
        std::function<void(EndpointList)> on_endpoint_list;
        /// Called when the current list is known to be up to date, after it was applied: at each list, change
        /// and heartbeat, kFirstLineDelay after the response to a watch has begun, and when connecting fails
        /// with an error. In the last case no service can confirm the list, so it stays in use.
        std::function<void()> on_list_confirmed;
    };

    /// Starts no call before watch(). The referenced objects must outlive this one.
    Discovery(asio::io_context& io, const Options& options, SocketBudget& socket_budget, TimerQueue& timers,
              const Clock& clock, Handlers handlers);
    ~Discovery();
    Discovery(const Discovery&) = delete;
    Discovery& operator=(const Discovery&) = delete;
    Discovery(Discovery&&) = delete;
    Discovery& operator=(Discovery&&) = delete;

    /// Keeps a watch open from now on, until stop().
    void watch();
    /// Closes all calls. The current list stays in force.
    void stop();
    /// @return whether the kernel holds bytes from the service that were not read.
    bool has_unread_data() const;
    /// Switches to another service address at once, fetches the whole list there, and resets the retry delay.
    /// Data that the old service has already sent is applied first. The call to it stays open, see above.
    void switch_endpoint(const Endpoint& endpoint);

private:
    class Call;

    void begin_call();
    void on_call_ended(const Call& call, std::error_code error);
    void retry_after(std::error_code error);
    void keep_current_call();
    void close_calls_before(const Call& call);

    asio::io_context& io_;
    Endpoint endpoint_;
    SocketBudget& socket_budget_;
    TimerQueue& timers_;
    const Clock& clock_;
    std::uint64_t list_version_;  // version of the current list
    bool needs_whole_list_;       // the next call fetches the whole list before it opens a watch
    const Mode mode_;
    const Backoff backoff_;
    std::mt19937_64 random_;
    const Handlers handlers_;
    std::shared_ptr<Call> call_;                         // the current call; null between two calls
    std::vector<std::shared_ptr<Call>> previous_calls_;  // to earlier addresses, the oldest first
    TimerQueue::Key retry_timer_{};
    Millis next_delay_;  // delay before the next call, without jitter
    // When the service last sent a list, a change or a heartbeat; minus infinity if not yet in this run.
    Millis last_message_at_ = -std::numeric_limits<Millis>::infinity();
    bool is_watching_ = false;
};

}  // namespace elmbay
