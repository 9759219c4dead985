// Outlier ejection: io.l5d.successRate as its authors demonstrated it (DESIGN, PAPER). Each server's last
// outcomes are kept; one whose success share is low leaves this sidecar's pool for a time. After that one
// real request is its trial: success restores it, failure starts another backoff.
//
// Shared slowness makes every server fail, and removing them all makes it an outage. So a server is held
// against the others of the pool, and most of the fleet stays whatever the windows say.
#pragma once

#include <vector>

#include "balancer/server.hpp"

namespace elmbay::balancer {

class OutlierEjection {
public:
    static constexpr double kMinSuccessRate = 0.9;  // success share below which a server goes
    static constexpr Millis kEjectionTime = 10000;  // how long it is out
    // A window not yet full is judged as if it held this many successes more: the most with which a first
    // failure alone, at 9 of 10, is not below the threshold.
    static constexpr double kPriorSuccesses = 9;
    static constexpr double kStandardErrors = 3;  // of a window's chance, below the others' level

    enum class Verdict { none, ejected, ejected_again, restored };

    struct AttemptResult {
        Outcome outcome = Outcome::success;
        bool probe = false;               // the attempt was this server's trial
        bool late = false;                // it came past its objective: as good as timed out
        std::size_t listed_servers = 0;   // servers on the list
        std::size_t ejected_servers = 0;  // of them, those not in the pool by a verdict
    };
    // Books an attempt's end and says what follows from it; the caller draws its pool anew.
    Verdict record_outcome(Server& s, const AttemptResult& c, Millis now);

    // Another process under the same name: its record starts anew.
    static void reset(Server& s) { s.ejection_state = EjectionState::healthy, s.window.clear(); }
    bool probe_due(const Server& s, Millis now) const {
        return s.ejection_state == EjectionState::ejected && now >= s.backoff_until;
    }
    static void begin_probe(Server& s) { s.ejection_state = EjectionState::probing; }
    // The pool is another one: those that a server is held against.
    void compare_with_pool(const std::vector<Server*>& pool);

private:
    void add_outcome(Server& s, bool success);
    void clear_window(Server& s);
    // alone: not held against the others of the pool.
    bool below_threshold(const Server& s, bool alone) const;
    static bool may_eject(const AttemptResult& c, bool slow);
    static Verdict eject(Server& s, Millis now);

    double pool_successes_ = 0, pool_outcomes_ = 0;  // outcomes in the windows of the pool
};

}  // namespace elmbay::balancer
