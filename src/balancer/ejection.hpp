#pragma once

#include <vector>

#include "balancer/server.hpp"

namespace elmbay::balancer {

/// Decides when a server is ejected from the pool and when it comes back.
///
/// It is Linkerd's io.l5d.successRate failure accrual (DESIGN, PAPER), what Envoy calls outlier detection by
/// success rate. A server is ejected when the success rate of its last outcomes is too low. After
/// kEjectionTime one real request is its probe: success restores the server, failure ejects it again.
///
/// Slowness that servers share makes each of them fail, and ejecting them all turns it into an outage. So a
/// server is compared with the rest of the pool, and most of the fleet stays whatever the windows say. With k
/// successes among w outcomes in the server's window, g the success rate of the other servers of the pool,
/// and prior = min(kPriorSuccesses, OutcomeWindow::kSize - w), it fails the comparison if
///
///     (k + prior) / (w + prior) < kMinSuccessRate * g - kStandardErrors * sqrt(g * (1 - g) / kSize)
///
/// While the others do not fail, the right side is kMinSuccessRate.
///
/// Owned by Balancer::Impl; not thread-safe. The windows and states stand in Server; the sums over the pool
/// that are held here make each decision independent of the pool's size.
class OutlierEjection {
public:
    /// The success rate below which a server is ejected.
    static constexpr double kMinSuccessRate = 0.9;
    /// Milliseconds from an ejection to the probe.
    static constexpr Millis kEjectionTime = 10000;
    /// A window that is not full is judged as if it held this many successes more. It is the most with which
    /// a first failure alone, 9 successes of 10, is not below kMinSuccessRate.
    static constexpr double kPriorSuccesses = 9;
    /// Standard errors of a full window that a server must be below the rate of the others.
    static constexpr double kStandardErrors = 3;

    /// What follows from an outcome.
    enum class Verdict {
        none,           ///< nothing changes
        ejected,        ///< the server leaves the pool
        ejected_again,  ///< its probe has failed
        restored        ///< its probe has succeeded: it is back in the pool
    };

    /// How an attempt ended, and what the fleet is like.
    struct AttemptResult {
        Outcome outcome = Outcome::success;
        bool probe = false;               ///< the attempt was the server's probe
        bool late = false;                ///< it ended past its objective, which counts as a failure
        std::size_t listed_servers = 0;   ///< servers that the endpoint list names
        std::size_t ejected_servers = 0;  ///< those of them that are ejected or probed
    };
    /// Records the end of an attempt. On any verdict but none the pool has to be drawn anew.
    Verdict record_outcome(Server& server, const AttemptResult& result, Millis now);

    /// Forgets the record of a server that has restarted.
    static void reset(Server& server) {
        server.ejection_state = EjectionState::healthy;
        server.window.clear();
    }
    /// Whether the next request may go to this ejected server as its probe.
    bool probe_due(const Server& server, Millis now) const {
        return server.ejection_state == EjectionState::ejected && now >= server.backoff_until;
    }
    /// The probe is sent.
    static void begin_probe(Server& server) { server.ejection_state = EjectionState::probing; }
    /// The pool has been drawn anew: servers are compared with it from now on. Linear in the pool.
    void compare_with_pool(const std::vector<Server*>& pool);

private:
    Verdict end_probe(Server& server, bool is_conclusive, bool success, Millis now);
    void add_outcome(Server& server, bool success);
    void clear_window(Server& server);
    void add_to_pool_sums(const Server& server);
    void subtract_from_pool_sums(const Server& server);
    // compares_with_pool: else the rate of the others counts as 1.
    bool is_below_threshold(const Server& server, bool compares_with_pool) const;
    static bool may_eject(const AttemptResult& result, bool is_for_slowness);
    static Verdict eject(Server& server, Millis now);

    double pool_successes_ = 0;  // in the windows of the pool
    double pool_outcomes_ = 0;   // in the windows of the pool
};

}  // namespace elmbay::balancer
