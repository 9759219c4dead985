// The Balancer: composes the parts of the module and passes each event to those that it concerns. The
// interface is include/hollybeam/balancer.hpp.
//
// The path of a request: on(RequestArrived) takes it into the RequestTable and sets its timer; Dispatcher
// finds a server: one whose trial is due (OutlierEjection), else one of the pool (ServerPool, Aperture) by
// Pick, and sends it, to run to the client's deadline at the longest. If nobody may have it now it waits
// briefly (WaitQueue). on(AttemptEnded) has the outcome booked (OutcomeAccounting) and the request placed
// again or answered. FinalResponder::finish() is the only final answer; SendGate::may_send() and
// Request::may_refuse() are the only gates: no send and no refusal leaves the module without passing them.
#include "hollybeam/balancer.hpp"

#include <algorithm>
#include <cmath>

#include "base/knowledge.hpp"
#include "base/random.hpp"
#include "base/settings.hpp"
#include "policy/admission.hpp"
#include "policy/aperture.hpp"
#include "policy/cold_start.hpp"
#include "policy/dispatcher.hpp"
#include "policy/ejection.hpp"
#include "policy/event_context.hpp"
#include "policy/fairness.hpp"
#include "policy/final_responder.hpp"
#include "policy/memory.hpp"
#include "policy/outcome_accounting.hpp"
#include "policy/pace.hpp"
#include "policy/pick.hpp"
#include "policy/request_table.hpp"
#include "policy/retry_budget.hpp"
#include "policy/send_gate.hpp"
#include "policy/server_pool.hpp"
#include "policy/server_table.hpp"
#include "policy/sessions.hpp"
#include "policy/subscription_backoff.hpp"
#include "policy/timer_table.hpp"
#include "policy/wait_queue.hpp"

namespace hollybeam {

namespace {

bool proves_never_ran(Outcome o) {
    return o == Outcome::saturated || o == Outcome::refused_connection || o == Outcome::superseded;
}

Settings checked(Settings settings) {
    validate(settings);
    return settings;
}

}  // namespace

/// Owns every part and hands events on. Parts know each other by reference, in the order of their
/// construction: none knows one below it.
struct Balancer::Impl {
    Impl(Settings s, std::uint64_t seed) : settings(checked(std::move(s))), random(seed) {}

    Settings settings;
    Random random;
    EventContext context;

    // What decides.
    ColdStart cold{settings};
    Aperture aperture{settings.siblings, cold};
    OutlierEjection ejection;
    Pace pace;
    Admission admission{settings};
    Fairness fairness{settings.tenants};
    RetryBudget retry_budget;
    Memory memory;
    Sessions sessions{settings};
    Pick pick{settings, random, pace};

    // What holds requests, servers and timers.
    RequestTable requests;
    WaitQueue queue;
    TimerTable timers{context};
    SubscriptionBackoff subscription_backoff;
    ServerTable servers{random, pace, memory, aperture};
    ServerPool pool{aperture, ejection, admission, sessions};

    // What acts.
    SendGate gate{settings, cold, aperture, pace, sessions};
    FinalResponder responder{settings, context, admission, requests};
    OutcomeAccounting accounting{{context, cold, pace, admission, aperture, ejection, pool}};
    Dispatcher dispatcher{{settings, context, random, admission, aperture, ejection, pick, retry_budget, gate,
                           pool, requests, timers, queue, responder}};

    // ---- Membership -------------------------------------------------------------------------------------

    void on(const Started&) {
        if (settings.list_on_request) context.act(Subscribe{true});
    }

    void on(const Remembered& e) {
        if (!servers.empty()) return;  // too late: what we see ourselves is better
        const Knowledge k = sound(e.knowledge);
        memory.keep(k, e.age, context.now());
        if (!memory.believed()) return;
        admission.recall(k, memory.taken_at(), context.now());
        aperture.recall(k.carried, memory.taken_at());
        retry_budget.at_most(k.retries_left);
    }

    // What was out, learned or saved up stays; only what it is a part of is another number.
    void on(const SiblingsKnown& e) {
        if (e.count == 0) return;
        aperture.set_siblings(e.count);
        admission.set_siblings(e.count);
        pool.draw_pool(context.now());
    }

    Knowledge known(Millis at) const {
        Knowledge k;
        for (const auto& [id, s] : servers.servers())
            if (s.listed) k.servers.push_back(Memory::of(s, at));
        admission.know(k, at);
        k.carried = aperture.carried_rate(at);
        k.retries_left = retry_budget.left();
        return sound(std::move(k));
    }

    void on(const ServerList& list) {
        if (list.kind == ListKind::failed) {
            // The list is one service for all: come back later and not in step with the others.
            timers.set_timer(context.now() + subscription_backoff.next(random), std::nullopt);
            return;
        }
        if (list.kind != ListKind::saved) subscription_backoff.reset();
        servers.apply(list, context.now());
        pool.draw_pool(context.now());
        dispatcher.release_held();
    }

    // ---- A request --------------------------------------------------------------------------------------

    void on(const RequestArrived& e) {
        Request* added = requests.add(e.id);
        if (!added) return;
        Request& r = *added;
        r.repeat = e.repeat;
        r.kind.aim = std::max(1.0, e.time_left);  // an unknown class is handled with most care, as once
        if (e.class_index < settings.classes.size()) r.kind = settings.classes[e.class_index];
        r.kind.aim += r.kind.aim_stretch * std::max(0.0, e.effort);
        r.deadline = context.now() + (std::isfinite(e.time_left) ? std::max(0.0, e.time_left) : 0.0);
        // Not the aim: that makes clients repeat what a server is still working on, while a late answer keeps
        // them quiet. But the aim where a late answer is worth nothing, a failure is never repeated, and our
        // count of what is out, lost for work that goes on, is a small part of any queue anyway.
        const bool cut = r.kind.late_worth == 0 && r.kind.effect == Effect::once && aperture.narrow();
        r.cutoff = cut ? std::min(r.deadline, context.now() + r.kind.aim) : r.deadline;
        retry_budget.arrived();
        r.part = fairness.arrived(e.tenant, context.now());
        r.hold_until = std::min(r.deadline, context.now() + r.kind.aim * FinalResponder::kHold);
        r.session = e.session && sessions.has_place();
        if (r.session) sessions.taken();
        if (e.no_place || r.session != e.session) return responder.finish(r);
        timers.set_timer(r.deadline, r.id);
        dispatcher.place(r);
    }

    void on(const FirstByte& e) {
        Request* r = requests.find(e.id);
        if (r && e.attempt < r->attempts.size()) r->streaming = true;
    }

    void on(AttemptEnded e) {
        Request* found = requests.find(e.id);
        if (!found || e.attempt >= found->attempts.size()) return;
        Request& r = *found;
        Attempt& a = r.attempts[e.attempt];
        if (!a.out) return;
        // Our own timer and the attempt's end fall on the same moment. Whichever comes first, a server that
        // let the client's time run out has failed: else one that answers nothing is never found out.
        if (a.timed_out && e.outcome == Outcome::recalled) e.outcome = Outcome::overdue;
        a.out = false;
        pool.attempt_ended(a.cold);
        a.may_have_run = !proves_never_ran(e.outcome);
        // A client that has gone leaves no session behind, though its upgrade went well.
        const bool held_now = r.session && !r.ended && e.request_ended && e.outcome == Outcome::completed;
        if (held_now) sessions.holds(r.id, a.server);
        if (Server* s = servers.find(a.server)) {
            s->sessions -= r.session && !held_now;
            accounting.book(*s, r, a, e);
            servers.drop_if_gone(*s);
        }
        if (e.request_ended) r.ended = true;
        if (r.ended) requests.done(r.id);
        // Without a retry budget each request asks a crowded pool as often as the limits allow.
        if (context.now() >= r.cutoff || (!r.any_out() && !retry_budget.may_retry()))
            responder.finish(r);
        else if (!r.ended && !r.any_out())
            dispatcher.place(r);
        dispatcher.release_held();
    }

    void on(const ClientGone& e) {
        Request* r = requests.find(e.id);
        if (!r) return;
        responder.cancel_all(*r);
        r->ended = true;
        requests.done(e.id);
    }

    // One that its server broke counts against it, or a server that takes every upgrade and keeps none would
    // look like the least loaded. However else it ends, and after how long, says nothing.
    void on(const SessionEnded& e) {
        const auto server = sessions.ended(e.id);
        Server* s = server ? servers.find(*server) : nullptr;
        if (!s) return;
        --s->sessions;
        if (e.broken) accounting.judge(*s, Outcome::severed, false, false);
        servers.drop_if_gone(*s);
    }

    // ---- Timers -----------------------------------------------------------------------------------------

    void on(const TimerFired& e) {
        const std::optional<TimerTable::Timer> timer = timers.take(e.token);
        if (!timer) return;
        if (!timer->request) return context.act(Subscribe{true});
        Request* r = requests.find(*timer->request);
        if (!r || r->ended) return;
        if (context.now() >= r->deadline)
            responder.finish(*r);
        else if (!r->any_out())
            dispatcher.place(*r);
    }
};

Balancer::Balancer(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;

void Balancer::handle(Millis now, const Event& event, std::vector<Action>& actions) {
    impl_->context.begin(now, actions);
    std::visit([this](const auto& e) { impl_->on(e); }, event);
    impl_->requests.forget_done(impl_->sessions);
    impl_->queue.purge_held(impl_->requests);
}

Knowledge Balancer::knowledge(Millis now) const { return impl_->known(std::max(impl_->context.now(), now)); }

Balancer::Held Balancer::held() const {
    return {impl_->requests.size(), impl_->servers.size(), impl_->timers.size(), impl_->queue.size(),
            impl_->sessions.held()};
}

}  // namespace hollybeam
