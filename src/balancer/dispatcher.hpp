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

/// Decides where a request goes: to a server, into the wait queue, or to its final response.
///
/// An ejected server whose probe is due comes first, else Pick chooses one of the pool. Admission limits the
/// attempts at warm servers; a server in slow start is limited by its tokens alone. Each attempt passes
/// SendGate.
///
/// Owned by Balancer::Impl, as all that it works with; not thread-safe. Holds no state of its own.
class Dispatcher {
public:
    /// What it works with. All of it outlives the dispatcher.
    struct Parts {
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
    explicit Dispatcher(const Parts& parts) : parts_(parts) {}

    /// Sends a request that has no attempt in flight. Where no server may have it, it waits, or is answered
    /// if it has waited for long enough or has used its attempts.
    void dispatch(Request& request);
    /// Dispatches the requests that wait, if there is capacity.
    void dispatch_waiting();

private:
    // The server that the request goes to now; nullptr: none may have it.
    Server* choose_server(const Request& request);
    bool may_start_attempt(const Request& request) const;
    // An ejected server whose probe is due and which may have the request; nullptr: none.
    Server* due_probe(const Request& request);
    void start_attempt(Request& request, Server& server);
    void wait_or_finish(Request& request);

    Parts parts_;
};

}  // namespace elmbay::balancer
