#include "balancer/dispatcher.hpp"

#include <algorithm>

namespace elmbay::balancer {

void Dispatcher::dispatch(Request& request) {
    const Millis now = parts_.context.now();
    if (parts_.pool.is_stale(now)) parts_.pool.draw_pool(now);
    if (Server* server = choose_server(request)) return start_attempt(request, *server);
    if (!request.any_in_flight()) wait_or_finish(request);
}

Server* Dispatcher::choose_server(const Request& request) {
    const Millis now = parts_.context.now();
    const bool admitted = may_start_attempt(request);
    if (admitted) {
        if (Server* server = due_probe(request)) return server;
    }
    const SendGate& gate = parts_.gate;
    const auto is_allowed = [&](Server& server) {
        return (admitted || gate.is_warming_up(server, now)) && gate.may_send(request, server, now);
    };
    const Admission& admission = parts_.admission;
    const Pick::LoadLevel load_level{.load_ratio = admission.load_ratio(),
                                     .is_busy = admission.is_busy(),
                                     .sidecar_share = admission.sidecar_share()};
    return parts_.pick.choose(parts_.aperture.pool(), request, load_level, now, is_allowed);
}

bool Dispatcher::may_start_attempt(const Request& request) const {
    const auto random_unit = [this] { return parts_.random.uniform(); };
    return parts_.admission.may_start_attempt(request.request_class, request.is_client_retry,
                                              request.tenant_share, parts_.pool.in_flight(),
                                              parts_.context.now(), random_unit);
}

Server* Dispatcher::due_probe(const Request& request) {
    const Millis now = parts_.context.now();
    for (Server* server : parts_.aperture.ejected()) {
        const bool is_due = parts_.ejection.probe_due(*server, now);
        if (is_due && parts_.gate.may_send(request, *server, now)) return server;
    }
    return nullptr;
}

void Dispatcher::start_attempt(Request& request, Server& server) {
    const Millis now = parts_.context.now();
    const bool is_probe = server.ejection_state == EjectionState::ejected;
    const bool in_slow_start = parts_.gate.is_warming_up(server, now);
    const bool is_retry = !request.attempts.empty();
    if (is_probe) OutlierEjection::begin_probe(server);
    if (in_slow_start) SlowStart::take_token(server);
    if (is_retry) parts_.retry_budget.take_retry();
    ++server.in_flight;
    if (request.session) ++server.sessions;
    parts_.pool.attempt_sent(in_slow_start);
    const Millis write_by = request.write_by();  // as the attempts before this one have it
    request.attempts.push_back({.server = server.info.id,
                                .zone = server.info.zone,
                                .cell = server.info.cell,
                                .sent_at = now,
                                .probe = is_probe,
                                .slow_start = in_slow_start});
    parts_.context.emit(StartAttempt{request.id, server.info.id, request.cutoff, write_by});
}

// A request that waits is dispatched again by dispatch_waiting(), or by its timer at wait_until.
void Dispatcher::wait_or_finish(Request& request) {
    const bool wait_is_over = parts_.context.now() >= std::min(request.wait_until, request.write_by());
    const bool attempts_used_up = request.attempts.size() >= parts_.settings.max_attempts;
    if (wait_is_over || attempts_used_up) return parts_.responder.finish(request);
    parts_.queue.push(request.id);
    if (request.waiting) return;
    request.waiting = true;
    parts_.timers.set_timer(request.wait_until, request.id);
}

void Dispatcher::dispatch_waiting() {
    if (parts_.queue.empty()) return;
    if (!parts_.admission.has_capacity(parts_.pool.in_flight(), parts_.context.now())) return;
    for (const RequestId id : parts_.queue.take(parts_.requests)) dispatch(parts_.requests.at(id));
}

}  // namespace elmbay::balancer
