#pragma once

#include "balancer/admission.hpp"
#include "balancer/aperture.hpp"
#include "balancer/ejection.hpp"
#include "balancer/event_context.hpp"
#include "balancer/latency_estimate.hpp"
#include "balancer/request.hpp"
#include "balancer/server_pool.hpp"

namespace elmbay::balancer {

/// Records how attempts ended with all that learn from it: latency, admission, carried rate, outlier
/// ejection.
///
/// Owned by Balancer::Impl, as all that it records with. Holds nothing itself.
class OutcomeAccounting {
public:
    /// What it records with; all of it outlives the accounting.
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

    /// An attempt at that server has ended.
    void record(Server& server, const Request& request, const Attempt& attempt, const AttemptEnded& event);
    /// What an outcome says of the server as an outlier. late: it came past its objective. Draws the pool
    /// anew where the server leaves it or comes back.
    void record_outcome(Server& server, Outcome outcome, bool probe, bool late);

private:
    // What an answer's time, as a share of the request's objective, says of the server and of the load.
    void record_latency(Server& server, double latency_ratio, bool warming_up);

    Parts parts_;
};

}  // namespace elmbay::balancer
