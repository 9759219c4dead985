#pragma once

#include "balancer/server.hpp"

namespace elmbay::balancer {

/// Limits the requests to a server in slow start (rule 4: no server in slow start is overloaded).
///
/// A server of age a has this share of the capacity of a warm server:
///
///     share(a) = min_share + (1 - min_share) * min(1, a / duration)
///
/// The server is sent share(a) of the rate that a warm server of its machine type completes for this sidecar,
/// times a rate factor. The factor is kOverloadMargin times the overload multiple while the server responds
/// in time, and 1 otherwise. The sum over all sidecars stays within the capacity of the server, without
/// coordination between sidecars.
///
/// The rate is based on completed requests and not on sent or arriving requests, because in a retry storm
/// these exceed the capacity of a warm server many times. It is measured for each machine type, because the
/// completion rate of a large machine would overload a small one.
///
/// A token bucket with a capacity of one token enforces the rate: one token permits one request, and no burst
/// can accumulate. Server holds the tokens; this class holds only settings.
///
/// Owned by Balancer::Impl. Its const functions modify the Server passed to them; not thread-safe.
class SlowStart {
public:
    /// The share of the overload multiple that is used. The remainder allows for differences between machines
    /// of one type.
    static constexpr double kOverloadMargin = 0.7;
    /// The share of the latency objective above which a server counts as slow and is sent its plain share
    /// only.
    static constexpr double kSlowLatencyRatio = 0.55;

    /// The traffic that determines the tokens.
    struct Traffic {
        /// Requests per millisecond that a warm server of the same machine type completes for this sidecar.
        double completion_rate = 0;
        /// The number of sidecars that have the server in their pool, at least 1.
        double sidecars = 1;
        /// The time within which all these sidecars together may probe the server `probes` times, in
        /// milliseconds.
        Millis probe_interval = 10000;
        /// The number of requests that all these sidecars together may send in that time, regardless of the
        /// share.
        double probes = 4;
    };

    /// @param settings validated settings
    explicit SlowStart(const Settings& settings)
        : min_share_(settings.slow_start_min_share),
          duration_(settings.slow_start_duration),
          overload_multiple_(settings.overload_multiple) {}

    /// Whether the server is in slow start. Otherwise it is warm.
    bool is_warming_up(const Server& server, Millis now) const {
        return duration_ > 0 && now < server.process.started_at + duration_;
    }
    /// Empties the bucket of a server that is new or has restarted.
    /// @param debt tokens below zero at the start, 0 to 1. Drawn at random, so that the first requests of
    ///             different sidecars do not coincide.
    static void begin(Server& server, double debt, Millis now) {
        server.slow_start_tokens = -debt;
        server.slow_start_tokens_at = now;
    }
    /// Refills the tokens of a server and returns them, -1 to 1. One request may be sent for each whole
    /// token.
    /// @param latency_ratio the server's response time over the latency objective
    double refill_tokens(Server& server, const Traffic& traffic, double latency_ratio, Millis now) const;
    /// Takes a token for a request that is sent to the server.
    static void take_token(Server& server) { server.slow_start_tokens -= 1; }

private:
    double min_share_;
    Millis duration_;
    double overload_multiple_;
};

}  // namespace elmbay::balancer
