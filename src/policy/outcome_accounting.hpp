#pragma once

#include "policy/admission.hpp"
#include "policy/aperture.hpp"
#include "policy/ejection.hpp"
#include "policy/event_context.hpp"
#include "policy/pace.hpp"
#include "policy/request.hpp"
#include "policy/server_pool.hpp"

namespace hollybeam {

/// Books how attempts ended with all that learn from it: latency, admission, carried rate, outlier ejection.
///
/// Owned by Balancer::Impl, as all that it books with. Holds nothing itself.
class OutcomeAccounting {
public:
    /// What it books with; all of it outlives the accounting.
    struct Parts {
        EventContext& context;
        const ColdStart& cold;
        Pace& pace;
        Admission& admission;
        Aperture& aperture;
        OutlierEjection& ejection;
        ServerPool& pool;
    };
    explicit OutcomeAccounting(const Parts& parts) : parts_(parts) {}

    /// An attempt at that server has ended.
    void book(Server& s, const Request& r, const Attempt& a, const AttemptEnded& e);
    /// What an outcome says of the server as an outlier. late: it came past its aim. Draws the pool anew
    /// where the server leaves it or comes back.
    void judge(Server& s, Outcome outcome, bool trial, bool late);

private:
    Parts parts_;
};

}  // namespace hollybeam
