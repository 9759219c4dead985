// What is known of one server, each part kept by the class that it names.
#pragma once

#include <bit>
#include <cstdint>

#include "balancer/decaying.hpp"
#include "balancer/server_age.hpp"
#include "elmbay/balancer.hpp"

namespace elmbay::balancer {

// The last kSize outcomes of a server.
class OutcomeWindow {
public:
    static constexpr std::uint32_t kSize = 20;  // DESIGN: the mechanism's own figure

    void add(bool success) {
        bits_ = ((bits_ << 1) | (success ? 1U : 0U)) & ((1U << kSize) - 1);
        filled_ = std::min(filled_ + 1, kSize);
    }
    void clear() { bits_ = filled_ = 0; }
    std::uint32_t filled() const { return filled_; }
    std::uint32_t bits() const { return bits_; }  // the newest is the lowest
    std::uint32_t successes() const { return static_cast<std::uint32_t>(std::popcount(bits_)); }

private:
    std::uint32_t bits_ = 0, filled_ = 0;
};

enum class EjectionState { healthy, ejected, probing };

struct Server {
    ServerInfo info;
    ServerAges::Process process;  // ServerAges': which one it is, and when it started on our clock
    bool listed = true;
    int in_flight = 0;         // attempts of this sidecar that are out there
    std::size_t sessions = 0;  // Sessions': its sessions there, and the upgrades out there
    std::uint64_t rank = 0;    // Aperture's: drawn once, so that sidecars differ
    bool in_pool = false;      // Aperture's
    EjectionState ejection_state = EjectionState::healthy;  // OutlierEjection's, as the next two
    OutcomeWindow window;
    Millis backoff_until = 0;
    double slow_start_tokens =
        0;  // SlowStart's: sends that a cold server may still take, as of slow_start_tokens_at
    Millis slow_start_tokens_at = 0;
    DecayingAverage* machine_type_latency = nullptr;  // LatencyEstimate's: of all warm servers of its kind
    DecayingAverage latency;                          // LatencyEstimate's: of its own answers

    // Whether anything new may go to it, as far as the list says (rule 3).
    bool accepts_requests() const { return listed && info.state == EndpointState::active; }
};

}  // namespace elmbay::balancer
