#pragma once

#include <algorithm>

#include "balancer/admission.hpp"
#include "balancer/aperture.hpp"
#include "balancer/ejection.hpp"
#include "balancer/sessions.hpp"

namespace elmbay::balancer {

/// Draws the pool and updates its dependents: OutlierEjection compares a server with the rest of the pool,
/// and Admission uses the number of its warm servers. Also counts the attempts in flight at warm servers.
///
/// Owned by Balancer::Impl, as are all referenced objects; not thread-safe. Holds one counter.
class ServerPool {
public:
    /// All arguments must outlive the pool.
    ServerPool(Aperture& aperture, OutlierEjection& ejection, Admission& admission, const Sessions& sessions)
        : aperture_(&aperture), ejection_(&ejection), admission_(&admission), sessions_(&sessions) {}

    /// Redraws the pool. Called when the endpoint list, the number of sidecars or the ejection state of a
    /// server has changed, and when is_stale() holds.
    void draw_pool(Millis now);
    /// Whether the pool is old or too narrow for the attempts in flight.
    bool is_stale(Millis now) const { return aperture_->is_stale(now, load()); }

    /// Returns the number of attempts in flight at servers that were warm when the attempts were sent.
    int in_flight() const { return in_flight_; }
    /// Counts an attempt that has been sent.
    /// @param slow_start the server is in slow start
    void attempt_sent(bool slow_start) { in_flight_ += slow_start ? 0 : 1; }
    /// Counts an attempt that has ended.
    /// @param slow_start the server was in slow start when the attempt was sent
    void attempt_ended(bool slow_start) { in_flight_ -= slow_start ? 0 : 1; }

private:
    // Returns the number of attempts that the pool must be wide enough for.
    int load() const {
        return std::max(in_flight_, static_cast<int>(sessions_->count() / Sessions::kSessionsPerServer));
    }

    Aperture* aperture_;
    OutlierEjection* ejection_;
    Admission* admission_;
    const Sessions* sessions_;
    int in_flight_ = 0;
};

}  // namespace elmbay::balancer
