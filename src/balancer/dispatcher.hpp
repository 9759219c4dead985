#pragma once

#include "balancer/admission.hpp"
#include "balancer/aperture.hpp"
#include "balancer/ejection.hpp"
#include "balancer/event_context.hpp"
#include "balancer/final_responder.hpp"
#include "balancer/pick.hpp"
#include "balancer/request_table.hpp"
#include "balancer/retry_budget.hpp"
#include "balancer/send_gate.hpp"
#include "balancer/server_pool.hpp"
#include "balancer/timer_table.hpp"
#include "balancer/wait_queue.hpp"
#include "base/random.hpp"

namespace elmbay::balancer {

/// Dispatches a request: to a server, to the wait queue, or to its final response.
///
/// A due probe of an ejected server takes precedence; otherwise Pick selects a server of the pool. Admission
/// limits the attempts at warm servers; a server in slow start is limited by its tokens only. Every attempt
/// passes SendGate.
///
/// Owned by Balancer::Impl, as are all referenced objects; not thread-safe. Stateless.
class Dispatcher {
public:
    /// The components that the dispatcher uses. All of them must outlive it.
    struct Components {
        const Settings& settings;
        EventContext& context;
        Random& random;
        Admission& admission;
        Aperture& aperture;
        OutlierEjection& ejection;
        Pick& pick;
        RetryBudget& retry_budget;
        SendGate& gate;
        ServerPool& pool;
        RequestTable& requests;
        TimerTable& timers;
        WaitQueue& queue;
        FinalResponder& responder;
    };
    explicit Dispatcher(const Components& components) : components_(components) {}

    /// Dispatches a request without an attempt in flight. If no server may receive it, the request waits; it
    /// gets its final response if its wait time is over or its attempts are used up.
    void dispatch(Request& request);
    /// Dispatches the waiting requests if there is capacity.
    void dispatch_waiting();

private:
    // Returns the server to send the request to now; nullptr if no server may receive it.
    Server* choose_server(const Request& request);
    bool may_start_attempt(const Request& request) const;
    // Returns an ejected server whose probe is due and that may receive the request; nullptr if there is
    // none.
    Server* due_probe(const Request& request);
    void start_attempt(Request& request, Server& server);
    void wait_or_finish(Request& request);

    Components components_;
};

}  // namespace elmbay::balancer
