#pragma once

#include <algorithm>
#include <bit>
#include <cstdint>

#include "balancer/decaying.hpp"
#include "balancer/server_age.hpp"
#include "elmbay/balancer.hpp"

namespace elmbay::balancer {

/// The last outcomes of one server, at most kSize.
class OutcomeWindow {
public:
    /// The number of outcomes in a full window, as in Linkerd's successRate failure accrual (DESIGN).
    static constexpr std::uint32_t kSize = 20;

    /// Adds an outcome. If the window is full, the oldest outcome is removed.
    void add(bool success) {
        bits_ = ((bits_ << 1) | (success ? 1U : 0U)) & ((1U << kSize) - 1);
        filled_ = std::min(filled_ + 1, kSize);
    }
    /// Removes all outcomes.
    void clear() {
        bits_ = 0;
        filled_ = 0;
    }
    /// Returns the number of outcomes in the window, 0 to kSize.
    std::uint32_t filled() const { return filled_; }
    /// Returns one bit for each outcome, 1 for a success. The lowest bit is the newest outcome.
    std::uint32_t bits() const { return bits_; }
    /// Returns the number of successes in the window, 0 to filled().
    std::uint32_t successes() const { return static_cast<std::uint32_t>(std::popcount(bits_)); }

private:
    std::uint32_t bits_ = 0;
    std::uint32_t filled_ = 0;
};

/// The ejection state of a server, set by OutlierEjection.
///
///     healthy --(success rate too low)--> ejected --(ejection time over, a request is sent)--> probing
///     probing --(the request succeeds)--> healthy
///     probing --(the request fails, or its outcome is inconclusive)--> ejected
enum class EjectionState { healthy, ejected, probing };

/// The state of one server.
///
/// Owned by ServerTable. The comment of each field names the class that maintains the field; other classes
/// only read it.
struct Server {
    /// The latest entry of the endpoint list.
    ServerInfo info;
    /// ServerAges: the current process of the server and its start time on the module's clock.
    ServerAges::Process process;
    /// ServerTable: whether the server is in the endpoint list.
    bool listed = true;
    /// Dispatcher and OutcomeAccounting: attempts of this sidecar in flight at the server.
    int in_flight = 0;
    /// Dispatcher and Balancer::Impl: sessions of this sidecar at the server, including upgrades in flight.
    std::size_t sessions = 0;
    /// ServerTable: a random rank, drawn once and used by Aperture. Different sidecars draw different ranks.
    std::uint64_t rank = 0;
    /// Aperture: whether the server is in the pool.
    bool in_pool = false;
    /// OutlierEjection: whether the server is ejected.
    EjectionState ejection_state = EjectionState::healthy;
    /// OutlierEjection: the last outcomes of the server.
    OutcomeWindow window;
    /// OutlierEjection: the time at which the probe of an ejected server is due, in milliseconds.
    Millis backoff_until = 0;
    /// SlowStart: the tokens of a server in slow start, one for each request, -1 to 1, as of
    /// slow_start_tokens_at.
    double slow_start_tokens = 0;
    /// SlowStart: the time of the last refill of the tokens, in milliseconds.
    Millis slow_start_tokens_at = 0;
    /// LatencyEstimate: the mean latency ratio of all warm servers of the same machine type. Not null once
    /// listed.
    DecayingAverage* machine_type_latency = nullptr;
    /// LatencyEstimate: the mean latency ratio of the server's own responses.
    DecayingAverage latency;

    /// Whether the endpoint list allows new requests to the server (rule 3).
    bool accepts_requests() const { return listed && info.state == EndpointState::active; }
};

}  // namespace elmbay::balancer
