/// @file
/// The Balancer: composes the components of the module and dispatches each event to them. The interface is
/// include/elmbay/balancer.hpp.
///
/// The path of a request: on(RequestArrived) adds the request to RequestTable and sets its timer. Dispatcher
/// chooses a server: an ejected server whose probe is due (OutlierEjection), otherwise a server of the pool
/// (ServerPool, Aperture) selected by Pick. The attempt lasts until the client's deadline at most. If no
/// server may receive the request now, the request waits briefly (WaitQueue). on(AttemptEnded) records the
/// outcome (OutcomeAccounting) and dispatches the request again or gives its final response.
///
/// Every attempt passes SendGate::may_send() and every rejection passes Request::may_be_rejected(). Only
/// FinalResponder::finish() gives final responses.
#include "elmbay/balancer.hpp"

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

#include "balancer/admission.hpp"
#include "balancer/aperture.hpp"
#include "balancer/dispatcher.hpp"
#include "balancer/ejection.hpp"
#include "balancer/event_context.hpp"
#include "balancer/fairness.hpp"
#include "balancer/final_responder.hpp"
#include "balancer/latency_estimate.hpp"
#include "balancer/learned_state_restorer.hpp"
#include "balancer/learned_state_validation.hpp"
#include "balancer/outcome_accounting.hpp"
#include "balancer/pick.hpp"
#include "balancer/request_table.hpp"
#include "balancer/retry_budget.hpp"
#include "balancer/send_gate.hpp"
#include "balancer/server_age.hpp"
#include "balancer/server_pool.hpp"
#include "balancer/server_table.hpp"
#include "balancer/sessions.hpp"
#include "balancer/settings_validation.hpp"
#include "balancer/slow_start.hpp"
#include "balancer/subscription_backoff.hpp"
#include "balancer/timer_table.hpp"
#include "balancer/wait_queue.hpp"
#include "base/random.hpp"

namespace elmbay::balancer {

namespace {

bool proves_never_ran(Outcome outcome) {
    return outcome == Outcome::rejected || outcome == Outcome::connect_failed || outcome == Outcome::not_sent;
}

Settings validated(Settings settings) {
    validate(settings);
    return settings;
}

}  // namespace

/// Owns every component and dispatches events. A component refers only to components constructed before it.
struct Balancer::Impl {
    Impl(Settings initial_settings, std::uint64_t seed)
        : settings(validated(std::move(initial_settings))), random(seed) {}

    Settings settings;
    Random random;
    EventContext context;

    // Components that decide.
    SlowStart slow_start{settings};
    ServerAges server_ages;
    Aperture aperture{settings.siblings, slow_start};
    OutlierEjection ejection;
    LatencyEstimate latency;
    Admission admission{settings};
    Fairness fairness{settings.tenants};
    RetryBudget retry_budget;
    LearnedStateRestorer state_restorer;
    Sessions sessions{settings};
    Pick pick{settings, random, latency};

    // Components that hold requests, servers and timers.
    RequestTable requests;
    WaitQueue wait_queue;
    TimerTable timers{context};
    SubscriptionBackoff subscription_backoff;
    ServerTable servers{random, latency, state_restorer, aperture, server_ages};
    ServerPool pool{aperture, ejection, admission, sessions};

    // Components that emit actions.
    SendGate gate{settings, slow_start, aperture, latency, sessions};
    FinalResponder responder{settings, context, admission, requests};
    OutcomeAccounting accounting{{context, slow_start, latency, admission, aperture, ejection, pool}};
    Dispatcher dispatcher{{settings, context, random, admission, aperture, ejection, pick, retry_budget, gate,
                           pool, requests, timers, wait_queue, responder}};

    // ---- Learned state ----------------------------------------------------------------------------------

    void on(const StateRestored& event) {
        const bool is_too_late = !servers.empty();  // the state of this run is more recent
        if (is_too_late) return;
        const LearnedState learned_state = sanitize(event.learned_state);
        state_restorer.load(learned_state, event.age, context.now());
        if (!state_restorer.is_trusted()) return;
        admission.restore(learned_state, state_restorer.taken_at(), context.now());
        aperture.restore(learned_state.completion_rate, state_restorer.taken_at());
        retry_budget.limit_to(learned_state.retries_left);
    }

    LearnedState learned_state(Millis now) const {
        LearnedState state;
        for (const auto& [id, server] : servers.servers()) {
            if (server.listed) state.servers.push_back(LearnedStateRestorer::state_of(server, now));
        }
        admission.save_to(state, now);
        state.completion_rate = aperture.completion_rate(now);
        state.retries_left = retry_budget.retries_left();
        return sanitize(std::move(state));
    }

    // ---- Servers and sidecars ---------------------------------------------------------------------------

    void on(const Started&) {
        if (settings.requires_subscription) context.emit(Subscribe{true});
    }

    // Attempts in flight and all learned state stay. Only the number of sidecars, which shares are computed
    // from, changes.
    void on(const SiblingCountChanged& event) {
        if (event.count == 0) return;
        aperture.set_siblings(event.count);
        admission.set_siblings(event.count);
        pool.draw_pool(context.now());
    }

    void on(const ServerList& list) {
        if (list.kind == ListKind::failed) {
            timers.set_timer(context.now() + subscription_backoff.next_delay(random), std::nullopt);
            return;
        }
        if (list.kind != ListKind::cached) subscription_backoff.reset();
        servers.apply(list, context.now());
        pool.draw_pool(context.now());
        dispatcher.dispatch_waiting();
    }

    // ---- Requests ---------------------------------------------------------------------------------------

    void on(const RequestArrived& event) {
        Request* added = requests.add(event.id);
        if (!added) return;
        Request& request = *added;
        request.is_client_retry = event.is_client_retry;
        request.request_class = class_of(event);
        set_time_limits(request, event.time_left);
        retry_budget.record_request();
        request.tenant_share = fairness.record_arrival(event.tenant, context.now());
        request.session = event.session && sessions.has_capacity();
        if (request.session) sessions.begin_upgrade();
        const bool session_limit_reached = event.session && !request.session;
        if (event.needs_immediate_response || session_limit_reached) return responder.finish(request);
        timers.set_timer(request.deadline, request.id);
        dispatcher.dispatch(request);
    }

    // A request of an unknown class gets the strictest treatment: it is non-idempotent, and its latency
    // objective is its remaining time.
    RequestClass class_of(const RequestArrived& event) const {
        RequestClass request_class;
        request_class.latency_objective = std::max(1.0, event.time_left);
        if (event.class_index < settings.classes.size()) request_class = settings.classes[event.class_index];
        request_class.latency_objective +=
            request_class.objective_work_multiple * std::max(0.0, event.expected_work);
        return request_class;
    }

    void set_time_limits(Request& request, Millis time_left) const {
        const Millis now = context.now();
        const Millis valid_time_left = std::isfinite(time_left) ? std::max(0.0, time_left) : 0.0;
        const Millis max_wait = request.request_class.latency_objective * FinalResponder::kMaxWaitShare;
        request.deadline = now + valid_time_left;
        request.attempt_deadline = attempt_deadline_of(request);
        request.wait_until = std::min(request.deadline, now + max_wait);
    }

    // Usually the client's deadline and not the latency objective: if an attempt ended at the objective, the
    // client would retry a request that a server is still processing, while a late response prevents the
    // retry. The objective applies if late responses have no weight, failures are never retried, and this
    // sidecar's count of attempts in flight is only a small part of any queue. That count does not include
    // work that continues after an attempt's deadline.
    Millis attempt_deadline_of(const Request& request) const {
        const RequestClass& request_class = request.request_class;
        const bool late_has_no_weight = request_class.late_weight == 0;
        const bool is_never_retried = request_class.idempotency == Idempotency::non_idempotent;
        if (!late_has_no_weight || !is_never_retried || !aperture.is_subset()) return request.deadline;
        return std::min(request.deadline, context.now() + request_class.latency_objective);
    }

    void on(const ResponseStarted& event) {
        Request* request = requests.find(event.id);
        if (request && event.attempt < request->attempts.size()) request->streaming = true;
    }

    void on(const AttemptEnded& event) {
        Request* request = requests.find(event.id);
        if (!request || event.attempt >= request->attempts.size()) return;
        Attempt& attempt = request->attempts[event.attempt];
        if (!attempt.in_flight) return;
        end_attempt(*request, attempt, event);
        if (event.request_ended) request->ended = true;
        if (request->ended) requests.mark_for_removal(request->id);
        retry_or_finish(*request);
        dispatcher.dispatch_waiting();
    }

    // Records the end of an attempt in its request, its server and, for an upgrade, in Sessions.
    void end_attempt(Request& request, Attempt& attempt, AttemptEnded event) {
        // The timer of this module and the end of the attempt are due at the same time, in either order. In
        // both cases the server has failed, because it did not respond before the client's deadline;
        // otherwise a server that never responds would not be detected.
        if (attempt.timed_out && event.outcome == Outcome::cancelled) event.outcome = Outcome::timed_out;
        attempt.in_flight = false;
        attempt.may_have_run = !proves_never_ran(event.outcome);
        pool.attempt_ended(attempt.slow_start);
        // A disconnected client has no session, even if its upgrade succeeded.
        const bool has_succeeded = event.request_ended && event.outcome == Outcome::success;
        const bool session_begins = request.session && !request.ended && has_succeeded;
        if (session_begins) sessions.begin(request.id, attempt.server);
        Server* server = servers.find(attempt.server);
        if (!server) return;
        if (request.session && !session_begins) --server->sessions;
        accounting.record(*server, request, attempt, event);
        servers.remove_if_unused(*server);
    }

    void retry_or_finish(Request& request) {
        const bool is_idle = !request.any_in_flight();
        const bool has_no_budget = is_idle && !retry_budget.may_retry();
        if (context.now() >= request.attempt_deadline || has_no_budget) {
            responder.finish(request);
        } else if (!request.ended && is_idle) {
            dispatcher.dispatch(request);
        }
    }

    void on(const ClientDisconnected& event) {
        Request* request = requests.find(event.id);
        if (!request) return;
        responder.cancel_all(*request);
        request->ended = true;
        requests.mark_for_removal(event.id);
    }

    // A session broken by its server counts as a failure of the server; otherwise a server that accepts every
    // upgrade and breaks every session would appear to be the least loaded. Any other end of a session, and
    // its duration, carry no information about the server.
    void on(const SessionEnded& event) {
        const std::optional<ServerId> server_id = sessions.end(event.id);
        Server* server = server_id ? servers.find(*server_id) : nullptr;
        if (!server) return;
        --server->sessions;
        if (event.broken_by_server)
            accounting.record_outcome(*server, Outcome::connection_reset, false, false);
        servers.remove_if_unused(*server);
    }

    void on(const TimerFired& event) {
        const std::optional<TimerTable::Timer> timer = timers.take(event.token);
        if (!timer) return;
        if (!timer->request) return context.emit(Subscribe{true});
        Request* request = requests.find(*timer->request);
        if (!request || request->ended) return;
        if (context.now() >= request->deadline) {
            responder.finish(*request);
        } else if (!request->any_in_flight()) {
            dispatcher.dispatch(*request);
        }
    }
};

Balancer::Balancer(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;

void Balancer::handle(Millis now, const Event& event, std::vector<Action>& actions) {
    impl_->context.begin(now, actions);
    std::visit([this](const auto& specific_event) { impl_->on(specific_event); }, event);
    impl_->requests.remove_ended(impl_->sessions);
    impl_->wait_queue.purge_ended(impl_->requests);
}

LearnedState Balancer::learned_state(Millis now) const {
    return impl_->learned_state(std::max(impl_->context.now(), now));
}

Balancer::ResourceUsage Balancer::resource_usage() const {
    return {impl_->requests.size(), impl_->servers.size(), impl_->timers.size(), impl_->wait_queue.size(),
            impl_->sessions.count()};
}

}  // namespace elmbay::balancer
