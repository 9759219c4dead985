#pragma once

#include "balancer/aperture.hpp"
#include "balancer/latency_estimate.hpp"
#include "balancer/request.hpp"
#include "balancer/sessions.hpp"
#include "balancer/slow_start.hpp"

namespace elmbay::balancer {

/// Decides whether the four rules allow sending a request to a server now. Every attempt must pass this
/// check.
///
/// Rules 1 to 3 (one final response, no effect twice, no request to a draining server) are checked by
/// Request::may_be_sent_to(); rule 4 (no server in slow start is overloaded) is checked by SlowStart.
///
/// Owned by Balancer::Impl, as are all referenced objects. Dispatcher checks each server that it considers
/// and sends requests to no other server. Stateless.
class SendGate {
public:
    /// All arguments must outlive the gate.
    SendGate(const Settings& settings, const SlowStart& slow_start, const Aperture& aperture,
             const LatencyEstimate& latency, const Sessions& sessions)
        : settings_(&settings),
          slow_start_(&slow_start),
          aperture_(&aperture),
          latency_(&latency),
          sessions_(&sessions) {}

    /// Whether the server is in slow start.
    bool is_warming_up(const Server& server, Millis now) const {
        return slow_start_->is_warming_up(server, now);
    }

    /// Whether the request may be sent to the given server. Refills the tokens of a server in slow start.
    bool may_send(const Request& request, Server& server, Millis now) const {
        if (request.session && !sessions_->has_capacity_at(server)) return false;
        if (!request.may_be_sent_to(server, *settings_, now)) return false;                // rules 1 to 3
        return !is_warming_up(server, now) || refill_slow_start_tokens(server, now) >= 1;  // rule 4
    }

private:
    double refill_slow_start_tokens(Server& server, Millis now) const;

    const Settings* settings_;
    const SlowStart* slow_start_;
    const Aperture* aperture_;
    const LatencyEstimate* latency_;
    const Sessions* sessions_;
};

}  // namespace elmbay::balancer
