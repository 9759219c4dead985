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
    static constexpr double kThreshold = 0.9;  // success share below which a server goes
    static constexpr Millis kBackoff = 10000;  // how long it is out
    // A window not yet full is judged as if it held this many successes more: the most with which a first
    // failure alone, at 9 of 10, is not below the threshold.
    static constexpr double kBenefit = 9;
    static constexpr double kDeviations = 3;  // of a window's chance, below the others' level

    enum class Verdict { none, removed, removed_again, restored };

    struct Case {
        Outcome outcome = Outcome::success;
        bool trial = false;      // the attempt was this server's trial
        bool late = false;       // it came past its objective: as good as timed out
        std::size_t listed = 0;  // servers on the list
        std::size_t out = 0;     // of them, those not in the pool by a verdict
    };
    // Books an attempt's end and says what follows from it; the caller draws its pool anew.
    Verdict judge(Server& s, const Case& c, Millis now);

    // Another process under the same name: its record starts anew.
    static void forget(Server& s) { s.ejection_state = EjectionState::healthy, s.window.clear(); }
    bool trial_due(const Server& s, Millis now) const {
        return s.ejection_state == EjectionState::ejected && now >= s.backoff_until;
    }
    static void trial_begins(Server& s) { s.ejection_state = EjectionState::probing; }
    // The pool is another one: those that a server is held against.
    void compare_with(const std::vector<Server*>& pool);

private:
    void add(Server& s, bool success);
    void forget_window(Server& s);
    // alone: not held against the others of the pool.
    bool below_threshold(const Server& s, bool alone) const;
    static bool may_remove(const Case& c, bool slow);
    static Verdict remove(Server& s, Millis now);

    double good_ = 0, all_ = 0;  // outcomes in the windows of the pool
};

}  // namespace elmbay::balancer
