#pragma once

#include "balancer/server.hpp"

namespace elmbay::balancer {

/// Decides how many requests a server in slow start may be sent (rule 4: no server in slow start is
/// overloaded).
///
/// A server of age a can do this share of the work of a warm one:
///
///     share(a) = min_share + (1 - min_share) * min(1, a / duration)
///
/// It is sent share(a) of what a warm server of its machine type completes for this sidecar, times a feed
/// factor. The factor is kOverloadMargin of the overload multiple while the server responds in time, else 1.
/// Summed over all sidecars that stays within what the server can do, without any agreement among them.
///
/// The measure is what servers complete, not what they are sent or asked for: in a storm of retries those are
/// many times what a warm server can do. It is that of the server's own machine type, as what a large machine
/// completes would overload a small one.
///
/// A token bucket of one keeps to the rate: one token is one request, and nothing is saved up for a burst.
/// The tokens stand in Server; this class holds settings only.
///
/// Owned by Balancer::Impl. Its const functions change the Server that they are given; not thread-safe.
class SlowStart {
public:
    /// The share of the overload multiple that is used. The rest covers machines that differ within a type.
    static constexpr double kOverloadMargin = 0.7;
    /// Above this share of the objective a server's responses are slow, and it gets its plain share only.
    static constexpr double kSlowLatencyRatio = 0.55;

    /// The traffic of this sidecar that the tokens are a share of.
    struct Traffic {
        /// Requests per millisecond that a warm server of the same machine type completes for this sidecar.
        double completion_rate = 0;
        /// Sidecars that have the server in their pool, at least 1.
        double sidecars = 1;
        /// Milliseconds within which all these sidecars together may probe the server `probes` times.
        Millis probe_interval = 10000;
        /// Requests that all these sidecars together may send it in that time, whatever its share.
        double probes = 4;
    };

    /// @param settings validated ones
    explicit SlowStart(const Settings& settings)
        : min_share_(settings.slow_start_min_share),
          duration_(settings.slow_start_duration),
          overload_multiple_(settings.overload_multiple) {}

    /// Whether the server is in slow start. If not, it is warm.
    bool is_warming_up(const Server& server, Millis now) const {
        return duration_ > 0 && now < server.process.started_at + duration_;
    }
    /// Empties the bucket of a server that is new or has restarted.
    /// @param debt tokens below zero that it starts with, 0 to 1. Drawn at random, as the first requests of
    ///             different sidecars must not fall together.
    static void begin(Server& server, double debt, Millis now) {
        server.slow_start_tokens = -debt;
        server.slow_start_tokens_at = now;
    }
    /// Brings the tokens of a server up to date and returns them, -1 to 1. One may be sent for each whole
    /// token.
    /// @param latency_ratio the server's response time over the latency objective
    double refill_tokens(Server& server, const Traffic& traffic, double latency_ratio, Millis now) const;
    /// A request is sent to the server.
    static void take_token(Server& server) { server.slow_start_tokens -= 1; }

private:
    double min_share_;
    Millis duration_;
    double overload_multiple_;
};

}  // namespace elmbay::balancer
