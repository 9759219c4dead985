#pragma once

#include <algorithm>
#include <bit>
#include <cstdint>

#include "balancer/decaying.hpp"
#include "balancer/server_age.hpp"
#include "elmbay/balancer.hpp"

namespace elmbay::balancer {

/// The last outcomes of one server, kSize of them at most.
class OutcomeWindow {
public:
    /// Outcomes in a full window, as Linkerd's successRate failure accrual has it (DESIGN).
    static constexpr std::uint32_t kSize = 20;

    /// Adds an outcome. The oldest one of a full window goes.
    void add(bool success) {
        bits_ = ((bits_ << 1) | (success ? 1U : 0U)) & ((1U << kSize) - 1);
        filled_ = std::min(filled_ + 1, kSize);
    }
    /// Removes all outcomes.
    void clear() {
        bits_ = 0;
        filled_ = 0;
    }
    /// Outcomes in the window, 0 to kSize.
    std::uint32_t filled() const { return filled_; }
    /// One bit for each outcome, 1 for a success. The newest is the lowest bit.
    std::uint32_t bits() const { return bits_; }
    /// Successes in the window, 0 to filled().
    std::uint32_t successes() const { return static_cast<std::uint32_t>(std::popcount(bits_)); }

private:
    std::uint32_t bits_ = 0;
    std::uint32_t filled_ = 0;
};

/// What OutlierEjection has decided on a server.
///
///     healthy --(success rate too low)--> ejected --(ejection time over, a request is sent)--> probing
///     probing --(the request succeeds)--> healthy
///     probing --(it fails, or says nothing)--> ejected
enum class EjectionState { healthy, ejected, probing };

/// All that is known of one server.
///
/// Owned by ServerTable. Each field is kept by the class that its comment names; others only read it.
struct Server {
    /// The latest entry of the endpoint list.
    ServerInfo info;
    /// ServerAges: which process it is, and when that started on the module's clock.
    ServerAges::Process process;
    /// ServerTable: whether the endpoint list names it.
    bool listed = true;
    /// Dispatcher and OutcomeAccounting: attempts of this sidecar in flight there.
    int in_flight = 0;
    /// Dispatcher and Balancer::Impl: sessions of this sidecar there, and upgrades in flight there.
    std::size_t sessions = 0;
    /// ServerTable: drawn once at random, for Aperture; sidecars differ by it.
    std::uint64_t rank = 0;
    /// Aperture: whether it is in the pool.
    bool in_pool = false;
    /// OutlierEjection: whether it is ejected.
    EjectionState ejection_state = EjectionState::healthy;
    /// OutlierEjection: its last outcomes.
    OutcomeWindow window;
    /// OutlierEjection: when an ejected server is due for a probe, in milliseconds.
    Millis backoff_until = 0;
    /// SlowStart: requests that a server in slow start may still be sent, -1 to 1, as of
    /// slow_start_tokens_at.
    double slow_start_tokens = 0;
    /// SlowStart: when the tokens were last brought up to date, in milliseconds.
    Millis slow_start_tokens_at = 0;
    /// LatencyEstimate: the latency ratio of all warm servers of its machine type. Never null once listed.
    DecayingAverage* machine_type_latency = nullptr;
    /// LatencyEstimate: the latency ratio of its own responses.
    DecayingAverage latency;

    /// Whether the endpoint list lets new requests go there (rule 3).
    bool accepts_requests() const { return listed && info.state == EndpointState::active; }
};

}  // namespace elmbay::balancer
