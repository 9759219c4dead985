#pragma once

#include "balancer/admission.hpp"
#include "balancer/event_context.hpp"
#include "balancer/request_table.hpp"

namespace elmbay::balancer {

/// Gives the module's final responses: a rejection where that is true (Request::may_be_rejected), else a
/// failure. It is the only place of both.
///
/// Owned by Balancer::Impl; not thread-safe. Holds no state: Request::ended says that a request has its final
/// response, so each has one at most (rule 1).
class FinalResponder {
public:
    /// How long a request may wait for capacity, as a share of its objective. What cannot be sent by then had
    /// better be tried anew. Nor is a rejected client asked to come back sooner.
    static constexpr double kMaxWaitShare = 1.0 / 16;

    /// All arguments must outlive the responder.
    FinalResponder(const Settings& settings, EventContext& context, const Admission& admission,
                   RequestTable& requests)
        : settings_(&settings), context_(&context), admission_(&admission), requests_(&requests) {}

    /// Gives the final response and cancels what is in flight. No effect on a request that has one, or whose
    /// response has begun.
    void finish(Request& request);
    /// Cancels all attempts in flight, where the settings permit it.
    void cancel_all(const Request& request);

private:
    // When the client should come back, in milliseconds from now.
    Millis retry_after(const Request& request) const;

    const Settings* settings_;
    EventContext* context_;
    const Admission* admission_;
    RequestTable* requests_;
};

}  // namespace elmbay::balancer
