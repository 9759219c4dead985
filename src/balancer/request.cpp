#include "balancer/request.hpp"

#include <algorithm>
#include <limits>

namespace elmbay::balancer {

bool Request::any_out() const {
    return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.out; });
}

bool Request::tried(ServerId server) const {
    return std::any_of(attempts.begin(), attempts.end(),
                       [&](const Attempt& a) { return a.server == server; });
}

const Attempt* Request::first_possible_run() const {
    for (const Attempt& a : attempts)
        if (a.may_have_run) return &a;
    return nullptr;
}

// The window runs from the first one's decision: no server can have seen it sooner.
Millis Request::write_by() const {
    const Attempt* first = first_possible_run();
    if (!first || kind.idempotency == Idempotency::idempotent) return std::numeric_limits<Millis>::infinity();
    return kind.idempotency == Idempotency::non_idempotent ? 0 : first->sent_at + kind.dedup_window - kHeldUp;
}

bool Request::in_scope(const Attempt& a, const ServerInfo& s) const {
    if (kind.dedup_scope == DedupScope::all) return true;
    return kind.dedup_scope == DedupScope::zone ? a.zone == s.zone : a.cell == s.cell;
}

bool Request::may_go_to(const Server& s, const Settings& settings, Millis now) const {
    if (ended || streaming || now >= deadline) return false;  // rule 1
    if (attempts.size() >= settings.max_attempts) return false;
    if (!s.open()) return false;  // rule 3
    if (any_out() && (!settings.allow_hedging || kind.idempotency == Idempotency::non_idempotent))
        return false;
    if (now >= write_by()) return false;  // rule 2
    if (kind.idempotency == Idempotency::idempotency_key)
        for (const Attempt& a : attempts)
            if (a.may_have_run && !in_scope(a, s.info)) return false;
    return true;
}

bool Request::may_refuse(Millis at) const {
    if (ended || streaming) return false;
    if (!first_possible_run() || kind.idempotency == Idempotency::idempotent) return true;
    return kind.dedup_scope == DedupScope::all && at < write_by();
}

}  // namespace elmbay::balancer
