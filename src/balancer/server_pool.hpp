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
    bool stale(Millis now) const { return aperture_->stale(now, load()); }

    /// Attempts that are out at servers that were warm when they were sent.
    int outstanding() const { return outstanding_; }
    void attempt_sent(bool cold) { outstanding_ += cold ? 0 : 1; }
    void attempt_ended(bool cold) { outstanding_ -= cold ? 0 : 1; }

private:
    // What the pool must be wide enough for.
    int load() const { return std::max(outstanding_, static_cast<int>(sessions_->held() / Sessions::kEach)); }

    Aperture* aperture_;
    OutlierEjection* ejection_;
    Admission* admission_;
    const Sessions* sessions_;
    int outstanding_ = 0;
};

}  // namespace elmbay::balancer
