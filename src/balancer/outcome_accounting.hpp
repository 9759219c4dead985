#pragma once

#include "balancer/admission.hpp"
#include "balancer/aperture.hpp"
#include "balancer/ejection.hpp"
#include "balancer/event_context.hpp"
#include "balancer/latency_estimate.hpp"
#include "balancer/request.hpp"
#include "balancer/server_pool.hpp"

namespace elmbay::balancer {

/// Passes the outcomes of attempts to the components that use them: LatencyEstimate, Admission, Aperture
/// (completion rates) and OutlierEjection.
///
/// Owned by Balancer::Impl, as are all referenced objects; not thread-safe. Stateless.
class OutcomeAccounting {
public:
    /// The components that receive the outcomes. All of them must outlive the accounting.
    struct Components {
        EventContext& context;
        const SlowStart& slow_start;
        LatencyEstimate& latency;
        Admission& admission;
        Aperture& aperture;
        OutlierEjection& ejection;
        ServerPool& pool;
    };
    explicit OutcomeAccounting(const Components& components) : components_(components) {}

    /// Records the end of an attempt at the given server.
    void record(Server& server, const Request& request, const Attempt& attempt, const AttemptEnded& event);
    /// Passes an outcome to OutlierEjection. Logs an ejection or a restoration, and redraws the pool if the
    /// server leaves or rejoins it.
    /// @param probe the attempt was a probe of the server
    /// @param late  the attempt ended after its latency objective
    void record_outcome(Server& server, Outcome outcome, bool probe, bool late);

private:
    // Records the duration of an attempt as a sample of the server's latency and of the load.
    void record_duration(Server& server, const Request& request, const AttemptEnded& event, bool warming_up);
    void record_latency(Server& server, double latency_ratio, bool warming_up);

    Components components_;
};

}  // namespace elmbay::balancer
