#include "balancer/request.hpp"

#include <algorithm>
#include <limits>

namespace elmbay::balancer {

bool Request::any_in_flight() const {
    return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.in_flight; });
}

bool Request::has_tried(ServerId server) const {
    return std::any_of(attempts.begin(), attempts.end(),
                       [&](const Attempt& a) { return a.server == server; });
}

const Attempt* Request::first_possible_execution() const {
    for (const Attempt& a : attempts)
        if (a.may_have_run) return &a;
    return nullptr;
}

// The window runs from the first one's decision: no server can have seen it sooner.
Millis Request::write_by() const {
    const Attempt* first = first_possible_execution();
    if (!first || request_class.idempotency == Idempotency::idempotent)
        return std::numeric_limits<Millis>::infinity();
    return request_class.idempotency == Idempotency::non_idempotent
               ? 0
               : first->sent_at + request_class.dedup_window - kMaxWriteDelay;
}

bool Request::in_scope(const Attempt& a, const ServerInfo& s) const {
    if (request_class.dedup_scope == DedupScope::all) return true;
    return request_class.dedup_scope == DedupScope::zone ? a.zone == s.zone : a.cell == s.cell;
}

bool Request::may_be_sent_to(const Server& s, const Settings& settings, Millis now) const {
    if (ended || streaming || now >= deadline) return false;  // rule 1
    if (attempts.size() >= settings.max_attempts) return false;
    if (!s.accepts_requests()) return false;  // rule 3
    if (any_in_flight() &&
        (!settings.allow_hedging || request_class.idempotency == Idempotency::non_idempotent))
        return false;
    if (now >= write_by()) return false;  // rule 2
    if (request_class.idempotency == Idempotency::idempotency_key)
        for (const Attempt& a : attempts)
            if (a.may_have_run && !in_scope(a, s.info)) return false;
    return true;
}

bool Request::may_be_rejected(Millis at) const {
    if (ended || streaming) return false;
    if (!first_possible_execution() || request_class.idempotency == Idempotency::idempotent) return true;
    return request_class.dedup_scope == DedupScope::all && at < write_by();
}

}  // namespace elmbay::balancer
