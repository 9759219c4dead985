#pragma once

#include <vector>

#include "balancer/server.hpp"

namespace elmbay::balancer {

/// Decides when a server is ejected from the pool and when it is restored.
///
/// The method is Linkerd's io.l5d.successRate failure accrual (DESIGN, PAPER), which Envoy calls outlier
/// detection by success rate. A server is ejected when the success rate of its last outcomes is too low.
/// After kEjectionTime, one real request is the probe: a success restores the server, a failure ejects it
/// again.
///
/// If all servers are slow, each of them fails, and ejecting them all would cause an outage. A server is
/// therefore compared with the rest of the pool, and most of the fleet is never ejected regardless of its
/// outcome windows. With k successes among w outcomes in the server's window, g the success rate of the other
/// servers of the pool, and prior = min(kPriorSuccesses, OutcomeWindow::kSize - w), a server fails the
/// comparison if
///
///     (k + prior) / (w + prior) < kMinSuccessRate * g - kStandardErrors * sqrt(g * (1 - g) / kSize)
///
/// While the other servers do not fail, the right side equals kMinSuccessRate.
///
/// Owned by Balancer::Impl; not thread-safe. Server holds the windows and states. This class holds sums over
/// the pool, so the cost of each decision does not depend on the size of the pool.
class OutlierEjection {
public:
    /// The success rate below which a server is ejected.
    static constexpr double kMinSuccessRate = 0.9;
    /// The time from an ejection to the probe, in milliseconds.
    static constexpr Millis kEjectionTime = 10000;
    /// The number of successes added to the outcomes of a window that is not full. With nine, a first failure
    /// alone leaves 9 successes of 10, which is not below kMinSuccessRate; with fewer, it would eject the
    /// server.
    static constexpr double kPriorSuccesses = 9;
    /// The number of standard errors of a full window by which a server must be below the rate of the other
    /// servers.
    static constexpr double kStandardErrors = 3;

    /// The change of a server's ejection state that an outcome causes.
    enum class Transition {
        none,           ///< no change
        ejected,        ///< the server leaves the pool
        ejected_again,  ///< the probe failed
        restored        ///< the probe succeeded: the server returns to the pool
    };

    /// The result of an attempt and the current size of the fleet.
    struct AttemptResult {
        Outcome outcome = Outcome::success;
        bool probe = false;  ///< the attempt was the server's probe
        bool late = false;   ///< the attempt ended after its latency objective, which counts as a failure
        std::size_t listed_servers = 0;   ///< servers in the endpoint list
        std::size_t ejected_servers = 0;  ///< listed servers that are ejected or being probed
    };
    /// Records the end of an attempt. On every transition except none the pool must be redrawn.
    Transition record_outcome(Server& server, const AttemptResult& result, Millis now);

    /// Resets the outcomes and the state of a server that has restarted.
    static void reset(Server& server) {
        server.ejection_state = EjectionState::healthy;
        server.window.clear();
    }
    /// Whether the next request may be sent to this ejected server as its probe.
    bool probe_due(const Server& server, Millis now) const {
        return server.ejection_state == EjectionState::ejected && now >= server.backoff_until;
    }
    /// Marks the server as being probed, when the probe is sent.
    static void begin_probe(Server& server) { server.ejection_state = EjectionState::probing; }
    /// Sets the pool that servers are compared with, after a redraw. Linear in the size of the pool.
    void compare_with_pool(const std::vector<Server*>& pool);

private:
    Transition end_probe(Server& server, bool is_conclusive, bool success, Millis now);
    void add_outcome(Server& server, bool success);
    void clear_window(Server& server);
    void add_to_pool_sums(const Server& server);
    void subtract_from_pool_sums(const Server& server);
    // If compares_with_pool is false, the success rate of the other servers counts as 1.
    bool is_below_threshold(const Server& server, bool compares_with_pool) const;
    static bool may_eject(const AttemptResult& result, bool is_for_slowness);
    static Transition eject(Server& server, Millis now);

    double pool_successes_ = 0;  // in the windows of the pool
    double pool_outcomes_ = 0;   // in the windows of the pool
};

}  // namespace elmbay::balancer
