#pragma once

#include "balancer/admission.hpp"
#include "balancer/event_context.hpp"
#include "balancer/request_table.hpp"

namespace elmbay::balancer {

/// Gives the module's final answers: a refusal where that is true, else a failure. The only place of both.
///
/// Owned by Balancer::Impl. At most one final answer for each request, as Request::ended tells.
class FinalResponder {
public:
    /// What a request may wait for room, as a share of its objective: what cannot go out by then had better
    /// be tried anew. It is told to come back no sooner either.
    static constexpr double kMaxWaitShare = 1.0 / 16;

    FinalResponder(const Settings& settings, EventContext& context, const Admission& admission,
                   RequestTable& requests)
        : settings_(&settings), context_(&context), admission_(&admission), requests_(&requests) {}

    /// The only final answer. No effect on a request that has one, or whose answer has begun.
    void finish(Request& request);
    /// Cancels all attempts that are out, where the driver permits it.
    void cancel_all(const Request& request);

private:
    Millis retry_after(const Request& request) const;

    const Settings* settings_;
    EventContext* context_;
    const Admission* admission_;
    RequestTable* requests_;
};

}  // namespace elmbay::balancer
