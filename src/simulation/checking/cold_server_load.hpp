/// @file
/// The work that was recently sent to one cold server.
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
        /// Whether its sidecar had been notified of the server's start.
        bool sender_notified_of_start = false;
    };

    /// Adds an arrival. Removes arrivals at or before `window_start`, and arrivals before `started_at`, the
    /// start of the server process.
    void add(const Arrival& arrival, Millis window_start, Millis started_at);
    /// Returns the work of all arrivals in the window.
    Millis work() const;
    /// Whether at least two thirds of the work came from sidecars that had been notified of the start. The
    /// other sidecars had no information that the server was cold.
    bool is_mostly_from_notified_senders() const;
    void clear() { arrivals_.clear(); }

private:
    std::deque<Arrival> arrivals_;
};

/// Returns the work that a cold server may be sent within the overload window: the limit of the invariant
/// plus the operators' tolerance for random variation. If the limit is N requests of mean work, N + 3 x
/// sqrt(N) + 3 requests are no violation.
Millis allowed_cold_work(const Scenario& scenario, double capacity);

}  // namespace elmbay::simulation
