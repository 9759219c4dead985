#pragma once

#include "balancer/admission.hpp"
#include "balancer/aperture.hpp"
#include "balancer/ejection.hpp"
#include "balancer/event_context.hpp"
#include "balancer/latency_estimate.hpp"
#include "balancer/request.hpp"
#include "balancer/server_pool.hpp"

namespace elmbay::balancer {

/// Records how attempts ended with each part that learns from it: LatencyEstimate, Admission, Aperture
/// (completion rates) and OutlierEjection.
///
/// Owned by Balancer::Impl, as all that it records with; not thread-safe. Holds no state of its own.
class OutcomeAccounting {
public:
    /// What it records with. All of it outlives the accounting.
    struct Parts {
        EventContext& context;
        const SlowStart& slow_start;
        LatencyEstimate& latency;
        Admission& admission;
        Aperture& aperture;
        OutlierEjection& ejection;
        ServerPool& pool;
    };
    explicit OutcomeAccounting(const Parts& parts) : parts_(parts) {}

    /// Records the end of an attempt at that server.
    void record(Server& server, const Request& request, const Attempt& attempt, const AttemptEnded& event);
    /// Records what an outcome says of the server as an outlier. Logs an ejection or a restoration, and draws
    /// the pool anew where the server leaves it or comes back.
    /// @param probe the attempt was the server's probe
    /// @param late  the attempt ended past its objective
    void record_outcome(Server& server, Outcome outcome, bool probe, bool late);

private:
    // What the duration of an attempt says of the server and of the load.
    void record_duration(Server& server, const Request& request, const AttemptEnded& event, bool warming_up);
    void record_latency(Server& server, double latency_ratio, bool warming_up);

    Parts parts_;
};

}  // namespace elmbay::balancer
