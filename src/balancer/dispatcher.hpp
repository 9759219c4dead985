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

/// Finds a server for a request and sends it there, else lets it wait, else has it answered.
///
/// Owned by Balancer::Impl, as all that it works with. Holds nothing itself. Each attempt passes SendGate.
class Dispatcher {
public:
    /// What it works with; all of it outlives the dispatcher.
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

    /// Sends a request that has no attempt out: to a server whose trial is due, else to one of the pool.
    void dispatch(Request& request);
    /// Places those that wait, if there is room.
    void dispatch_waiting();

private:
    // The server that the request goes to now; nullptr: none may have it.
    Server* choose_server(const Request& request);
    Server* due_probe(const Request& request);
    void start_attempt(Request& request, Server& server);
    void wait_or_finish(Request& request);

    Parts parts_;
};

}  // namespace elmbay::balancer
