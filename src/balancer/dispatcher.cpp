#include "balancer/dispatcher.hpp"

#include <algorithm>

namespace elmbay::balancer {

void Dispatcher::dispatch(Request& request) {
    const Millis now = components_.context.now();
    if (components_.pool.is_stale(now)) components_.pool.draw_pool(now);
    if (Server* server = choose_server(request)) return start_attempt(request, *server);
    if (!request.any_in_flight()) wait_or_finish(request);
}

Server* Dispatcher::choose_server(const Request& request) {
    const Millis now = components_.context.now();
    const bool admitted = may_start_attempt(request);
    if (admitted) {
        if (Server* server = due_probe(request)) return server;
    }
    const SendGate& gate = components_.gate;
    const auto is_allowed = [&](Server& server) {
        return (admitted || gate.is_warming_up(server, now)) && gate.may_send(request, server, now);
    };
    const Admission& admission = components_.admission;
    const Pick::LoadLevel load_level{.load_ratio = admission.load_ratio(),
                                     .is_busy = admission.is_busy(),
                                     .sidecar_share = admission.sidecar_share()};
    return components_.pick.choose(components_.aperture.pool(), request, load_level, now, is_allowed);
}

bool Dispatcher::may_start_attempt(const Request& request) const {
    const auto random_unit = [this] { return components_.random.uniform(); };
    return components_.admission.may_start_attempt(request.request_class, request.is_client_retry,
                                                   request.tenant_share, components_.pool.in_flight(),
                                                   components_.context.now(), random_unit);
}

Server* Dispatcher::due_probe(const Request& request) {
    const Millis now = components_.context.now();
    for (Server* server : components_.aperture.ejected()) {
        const bool is_due = components_.ejection.probe_due(*server, now);
        if (is_due && components_.gate.may_send(request, *server, now)) return server;
    }
    return nullptr;
}

void Dispatcher::start_attempt(Request& request, Server& server) {
    const Millis now = components_.context.now();
    const bool is_probe = server.ejection_state == EjectionState::ejected;
    const bool in_slow_start = components_.gate.is_warming_up(server, now);
    const bool is_retry = !request.attempts.empty();
    if (is_probe) OutlierEjection::begin_probe(server);
    if (in_slow_start) SlowStart::take_token(server);
    if (is_retry) components_.retry_budget.take_retry();
    ++server.in_flight;
    if (request.session) ++server.sessions;
    components_.pool.attempt_sent(in_slow_start);
    const Millis write_by = request.write_by();  // the limit that the earlier attempts impose
    request.attempts.push_back({.server = server.info.id,
                                .zone = server.info.zone,
                                .cell = server.info.cell,
                                .sent_at = now,
                                .probe = is_probe,
                                .slow_start = in_slow_start});
    components_.context.emit(StartAttempt{request.id, server.info.id, request.attempt_deadline, write_by});
}

// A waiting request is dispatched again by dispatch_waiting() or by its timer at wait_until.
void Dispatcher::wait_or_finish(Request& request) {
    const bool wait_is_over = components_.context.now() >= std::min(request.wait_until, request.write_by());
    const bool attempts_used_up = request.attempts.size() >= components_.settings.max_attempts;
    if (wait_is_over || attempts_used_up) return components_.responder.finish(request);
    components_.queue.push(request.id);
    if (request.waiting) return;
    request.waiting = true;
    components_.timers.set_timer(request.wait_until, request.id);
}

void Dispatcher::dispatch_waiting() {
    if (components_.queue.empty()) return;
    if (!components_.admission.has_capacity(components_.pool.in_flight(), components_.context.now())) return;
    for (const RequestId id : components_.queue.take(components_.requests))
        dispatch(components_.requests.at(id));
}

}  // namespace elmbay::balancer
