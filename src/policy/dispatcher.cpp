#include "policy/dispatcher.hpp"

#include <algorithm>

namespace hollybeam {

void Dispatcher::place(Request& r) {
    const Millis now = parts_.context.now();
    const Admission& admission = parts_.admission;
    const SendGate& gate = parts_.gate;
    if (parts_.pool.stale(now)) parts_.pool.draw_pool(now);
    const bool admitted = admission.has_room(r.kind, r.repeat, r.part, parts_.pool.outstanding(), now,
                                             [this] { return parts_.random.unit(); });
    if (Server* s = admitted ? due_trial(r) : nullptr) return dispatch(r, *s);
    const auto may = [&](Server& s) {
        return (admitted || gate.is_cold(s, now)) && gate.may_send(r, s, now);
    };
    const Pick::Crowd crowd{admission.crowd(), admission.crowded(), admission.our_part()};
    if (Server* s = parts_.pick.one_of(parts_.aperture.pool(), r, crowd, now, may)) return dispatch(r, *s);
    // Nobody may have it now. If one may later, hold it: at hold_until the timer answers.
    if (r.any_out()) return;
    if (now >= std::min(r.hold_until, r.write_by()) || r.attempts.size() >= parts_.settings.max_attempts)
        return parts_.responder.finish(r);
    parts_.queue.push(r.id);
    if (r.waiting) return;
    r.waiting = true;
    parts_.timers.set_timer(r.hold_until, r.id);
}

Server* Dispatcher::due_trial(const Request& r) {
    const Millis now = parts_.context.now();
    for (Server* s : parts_.aperture.out())
        if (parts_.ejection.trial_due(*s, now) && parts_.gate.may_send(r, *s, now)) return s;
    return nullptr;
}

void Dispatcher::dispatch(Request& r, Server& s) {
    const Millis now = parts_.context.now();
    const bool trial = s.standing == Standing::removed, is_cold_now = parts_.gate.is_cold(s, now);
    if (trial) OutlierEjection::trial_begins(s);
    if (is_cold_now) ColdStart::sent(s);
    if (!r.attempts.empty()) parts_.retry_budget.retried();
    ++s.outstanding;
    s.sessions += r.session;
    parts_.pool.attempt_sent(is_cold_now);
    const Millis write_by = r.write_by();  // by what was before this one
    r.attempts.push_back({s.info.id, s.info.zone, s.info.cell, now, true, true, trial, is_cold_now});
    parts_.context.act(Send{r.id, s.info.id, r.cutoff, write_by});
}

void Dispatcher::release_held() {
    if (parts_.queue.empty()) return;
    if (!parts_.admission.any_room(parts_.pool.outstanding(), parts_.context.now())) return;
    for (const RequestId id : parts_.queue.take(parts_.requests)) place(parts_.requests.at(id));
}

}  // namespace hollybeam
