#pragma once

#include "base/random.hpp"
#include "policy/admission.hpp"
#include "policy/aperture.hpp"
#include "policy/ejection.hpp"
#include "policy/event_context.hpp"
#include "policy/final_responder.hpp"
#include "policy/pick.hpp"
#include "policy/request_table.hpp"
#include "policy/retry_budget.hpp"
#include "policy/send_gate.hpp"
#include "policy/server_pool.hpp"
#include "policy/timer_table.hpp"
#include "policy/wait_queue.hpp"

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
    void place(Request& request);
    /// Places those that wait, if there is room.
    void release_waiting();

private:
    // The server that the request goes to now; nullptr: none may have it.
    Server* choose_server(const Request& request);
    Server* due_trial(const Request& request);
    void dispatch(Request& request, Server& server);
    void wait_or_finish(Request& request);

    Parts parts_;
};

}  // namespace elmbay::balancer
