/// \file
/// The work that was sent to one cold server of late.
#pragma once

#include <deque>

#include "simulation/scenario/scenario.hpp"

namespace elmbay::simulation {

/// Sums the work of the attempts that reached a cold server within a sliding window.
class ColdServerLoad {
public:
    /// An attempt that reached the server.
    struct Arrival {
        Millis at = 0;
        Millis work = 0;
        bool sender_notified_of_start = false;  ///< Its sidecar had been notified that the server started.
    };

    /// Adds an arrival, and drops those at or before `window_start` and those before `started_at`, when the
    /// server's process started.
    void add(const Arrival& arrival, Millis window_start, Millis started_at);
    /// Work of all arrivals in the window.
    Millis work() const;
    /// Whether two thirds of the work came from sidecars that knew of the start. The others could not know
    /// that the server was cold.
    bool is_mostly_from_notified_senders() const;
    void clear() { arrivals_.clear(); }

private:
    std::deque<Arrival> arrivals_;
};

/// Work that a cold server may be sent within the overload window: what the invariant allows, and what the
/// operators allow for chance. Where it allows N requests of mean work, N + 3 x sqrt(N) + 3 are no violation.
Millis allowed_cold_work(const Scenario& scenario, double capacity);

}  // namespace elmbay::simulation
