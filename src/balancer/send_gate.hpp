#pragma once

#include "balancer/aperture.hpp"
#include "balancer/latency_estimate.hpp"
#include "balancer/request.hpp"
#include "balancer/sessions.hpp"
#include "balancer/slow_start.hpp"

namespace elmbay::balancer {

/// The gate that each attempt passes: whether the four rules let a request go to a server now.
///
/// Owned by Balancer::Impl. Dispatcher asks it for each server that it considers, and sends to no other.
class SendGate {
public:
    SendGate(const Settings& settings, const SlowStart& slow_start, const Aperture& aperture,
             const LatencyEstimate& latency, const Sessions& sessions)
        : settings_(&settings),
          slow_start_(&slow_start),
          aperture_(&aperture),
          latency_(&latency),
          sessions_(&sessions) {}

    bool is_warming_up(const Server& server, Millis now) const {
        return slow_start_->is_warming_up(server, now);
    }

    /// Whether the request may go to that server. Brings a cold server's tokens up to date.
    bool may_send(const Request& request, Server& server, Millis now) const {
        if (request.session && !sessions_->has_capacity_at(server)) return false;
        return request.may_be_sent_to(server, *settings_, now) &&                     // rules 1 to 3
               (!is_warming_up(server, now) || slow_start_tokens(server, now) >= 1);  // rule 4
    }

private:
    double slow_start_tokens(Server& server, Millis now) const;

    const Settings* settings_;
    const SlowStart* slow_start_;
    const Aperture* aperture_;
    const LatencyEstimate* latency_;
    const Sessions* sessions_;
};

}  // namespace elmbay::balancer
