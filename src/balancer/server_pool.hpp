#pragma once

#include "balancer/admission.hpp"
#include "balancer/aperture.hpp"
#include "balancer/ejection.hpp"
#include "balancer/sessions.hpp"

namespace elmbay::balancer {

/// Draws the pool and keeps those in step that depend on it: outlier ejection compares a server with the
/// others of the pool, admission counts its warm servers. Counts what is out at warm servers.
///
/// Owned by Balancer::Impl; the classes that it draws with are too. Holds one counter.
class ServerPool {
public:
    ServerPool(Aperture& aperture, OutlierEjection& ejection, Admission& admission, const Sessions& sessions)
        : aperture_(&aperture), ejection_(&ejection), admission_(&admission), sessions_(&sessions) {}

    /// The list, the siblings or a server's ejection_state has changed, or the pool is stale().
    void draw_pool(Millis now);
    bool is_stale(Millis now) const { return aperture_->is_stale(now, load()); }

    /// Attempts that are out at servers that were warm when they were sent.
    int in_flight() const { return in_flight_; }
    void attempt_sent(bool warming_up) { in_flight_ += warming_up ? 0 : 1; }
    void attempt_ended(bool warming_up) { in_flight_ -= warming_up ? 0 : 1; }

private:
    // What the pool must be wide enough for.
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
