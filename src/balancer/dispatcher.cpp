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
    const Admission& admission = parts_.admission;
    const SendGate& gate = parts_.gate;
    const bool admitted =
        admission.may_start_attempt(request.request_class, request.repeat, request.tenant_share,
                                    parts_.pool.in_flight(), now, [this] { return parts_.random.unit(); });
    if (admitted) {
        if (Server* server = due_probe(request)) return server;
    }
    const auto may_have_it = [&](Server& server) {
        return (admitted || gate.is_warming_up(server, now)) && gate.may_send(request, server, now);
    };
    const Pick::LoadLevel load{admission.load_ratio(), admission.is_busy(), admission.sidecar_share()};
    return parts_.pick.choose(parts_.aperture.pool(), request, load, now, may_have_it);
}

Server* Dispatcher::due_probe(const Request& request) {
    const Millis now = parts_.context.now();
    for (Server* server : parts_.aperture.ejected()) {
        if (parts_.ejection.probe_due(*server, now) && parts_.gate.may_send(request, *server, now))
            return server;
    }
    return nullptr;
}

void Dispatcher::start_attempt(Request& request, Server& server) {
    const Millis now = parts_.context.now();
    const bool probe = server.ejection_state == EjectionState::ejected;
    const bool warming_up = parts_.gate.is_warming_up(server, now);
    if (probe) OutlierEjection::begin_probe(server);
    if (warming_up) SlowStart::take_token(server);
    if (!request.attempts.empty()) parts_.retry_budget.take_retry();
    ++server.in_flight;
    if (request.session) ++server.sessions;
    parts_.pool.attempt_sent(warming_up);
    const Millis write_by = request.write_by();  // by what was before this one
    request.attempts.push_back({.server = server.info.id,
                                .zone = server.info.zone,
                                .cell = server.info.cell,
                                .sent_at = now,
                                .probe = probe,
                                .slow_start = warming_up});
    parts_.context.emit(StartAttempt{request.id, server.info.id, request.cutoff, write_by});
}

// Nobody may have it now. If one may later, it waits: at wait_until its timer brings it back here.
void Dispatcher::wait_or_finish(Request& request) {
    const bool wait_over = parts_.context.now() >= std::min(request.wait_until, request.write_by());
    const bool attempts_used_up = request.attempts.size() >= parts_.settings.max_attempts;
    if (wait_over || attempts_used_up) return parts_.responder.finish(request);
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
