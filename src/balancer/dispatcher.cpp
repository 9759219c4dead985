#include "balancer/dispatcher.hpp"

#include <algorithm>

namespace elmbay::balancer {

void Dispatcher::place(Request& request) {
    const Millis now = parts_.context.now();
    if (parts_.pool.stale(now)) parts_.pool.draw_pool(now);
    if (Server* server = choose_server(request)) return dispatch(request, *server);
    if (!request.any_out()) wait_or_finish(request);
}

Server* Dispatcher::choose_server(const Request& request) {
    const Millis now = parts_.context.now();
    const Admission& admission = parts_.admission;
    const SendGate& gate = parts_.gate;
    const bool admitted =
        admission.has_room(request.kind, request.repeat, request.part, parts_.pool.outstanding(), now,
                           [this] { return parts_.random.unit(); });
    if (admitted) {
        if (Server* server = due_trial(request)) return server;
    }
    const auto may_have_it = [&](Server& server) {
        return (admitted || gate.is_cold(server, now)) && gate.may_send(request, server, now);
    };
    const Pick::LoadLevel crowd{admission.crowd(), admission.crowded(), admission.our_part()};
    return parts_.pick.one_of(parts_.aperture.pool(), request, crowd, now, may_have_it);
}

Server* Dispatcher::due_trial(const Request& request) {
    const Millis now = parts_.context.now();
    for (Server* server : parts_.aperture.out()) {
        if (parts_.ejection.trial_due(*server, now) && parts_.gate.may_send(request, *server, now))
            return server;
    }
    return nullptr;
}

void Dispatcher::dispatch(Request& request, Server& server) {
    const Millis now = parts_.context.now();
    const bool trial = server.ejection_state == EjectionState::ejected;
    const bool cold = parts_.gate.is_cold(server, now);
    if (trial) OutlierEjection::trial_begins(server);
    if (cold) ColdStart::sent(server);
    if (!request.attempts.empty()) parts_.retry_budget.retried();
    ++server.outstanding;
    if (request.session) ++server.sessions;
    parts_.pool.attempt_sent(cold);
    const Millis write_by = request.write_by();  // by what was before this one
    request.attempts.push_back({.server = server.info.id,
                                .zone = server.info.zone,
                                .cell = server.info.cell,
                                .sent_at = now,
                                .trial = trial,
                                .cold = cold});
    parts_.context.emit(StartAttempt{request.id, server.info.id, request.cutoff, write_by});
}

// Nobody may have it now. If one may later, it waits: at hold_until its timer brings it back here.
void Dispatcher::wait_or_finish(Request& request) {
    const bool wait_over = parts_.context.now() >= std::min(request.hold_until, request.write_by());
    const bool attempts_used_up = request.attempts.size() >= parts_.settings.max_attempts;
    if (wait_over || attempts_used_up) return parts_.responder.finish(request);
    parts_.queue.push(request.id);
    if (request.waiting) return;
    request.waiting = true;
    parts_.timers.set_timer(request.hold_until, request.id);
}

void Dispatcher::release_waiting() {
    if (parts_.queue.empty()) return;
    if (!parts_.admission.any_room(parts_.pool.outstanding(), parts_.context.now())) return;
    for (const RequestId id : parts_.queue.take(parts_.requests)) place(parts_.requests.at(id));
}

}  // namespace elmbay::balancer
