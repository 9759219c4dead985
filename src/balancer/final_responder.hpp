#pragma once

#include "balancer/admission.hpp"
#include "balancer/event_context.hpp"
#include "balancer/request_table.hpp"

namespace elmbay::balancer {

/// Emits the final responses of the module: a rejection if Request::may_be_rejected() allows it, otherwise a
/// failure. No other class emits either.
///
/// Owned by Balancer::Impl; not thread-safe. Stateless: Request::ended records that a request has its final
/// response, so each request gets at most one (rule 1).
class FinalResponder {
public:
    /// The maximum wait for capacity, as a share of the latency objective. A request that cannot be sent by
    /// then is better retried by the client. It is also the minimum delay recommended for a client's retry.
    static constexpr double kMaxWaitShare = 1.0 / 16;

    /// All arguments must outlive the responder.
    FinalResponder(const Settings& settings, EventContext& context, const Admission& admission,
                   RequestTable& requests)
        : settings_(&settings), context_(&context), admission_(&admission), requests_(&requests) {}

    /// Emits the final response and cancels the attempts in flight. No effect on a request that has its final
    /// response or whose response is being streamed.
    void finish(Request& request);
    /// Cancels all attempts in flight if the settings permit it.
    void cancel_all(const Request& request);

private:
    // Returns the recommended delay before the client's retry, in milliseconds from now.
    Millis retry_after(const Request& request) const;

    const Settings* settings_;
    EventContext* context_;
    const Admission* admission_;
    RequestTable* requests_;
};

}  // namespace elmbay::balancer
