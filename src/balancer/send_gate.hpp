#pragma once

#include "balancer/aperture.hpp"
#include "balancer/cold_start.hpp"
#include "balancer/latency_estimate.hpp"
#include "balancer/request.hpp"
#include "balancer/sessions.hpp"

namespace elmbay::balancer {

/// The gate that each attempt passes: whether the four rules let a request go to a server now.
///
/// Owned by Balancer::Impl. Dispatcher asks it for each server that it considers, and sends to no other.
class SendGate {
public:
    SendGate(const Settings& settings, const ColdStart& cold, const Aperture& aperture,
             const LatencyEstimate& pace, const Sessions& sessions)
        : settings_(&settings), cold_(&cold), aperture_(&aperture), pace_(&pace), sessions_(&sessions) {}

    bool is_cold(const Server& server, Millis now) const { return cold_->is_cold(server, now); }

    /// Whether the request may go to that server. Brings a cold server's tokens up to date.
    bool may_send(const Request& request, Server& server, Millis now) const {
        if (request.session && !sessions_->has_place_at(server)) return false;
        return request.may_go_to(server, *settings_, now) &&              // rules 1 to 3
               (!is_cold(server, now) || cold_tokens(server, now) >= 1);  // rule 4
    }

private:
    double cold_tokens(Server& server, Millis now) const;

    const Settings* settings_;
    const ColdStart* cold_;
    const Aperture* aperture_;
    const LatencyEstimate* pace_;
    const Sessions* sessions_;
};

}  // namespace elmbay::balancer
