#include "balancer/request.hpp"

#include <algorithm>
#include <limits>

namespace elmbay::balancer {

bool Request::any_in_flight() const {
    return std::any_of(attempts.begin(), attempts.end(),
                       [](const Attempt& attempt) { return attempt.in_flight; });
}

bool Request::has_tried(ServerId server) const {
    return std::any_of(attempts.begin(), attempts.end(),
                       [&](const Attempt& attempt) { return attempt.server == server; });
}

const Attempt* Request::first_possible_execution() const {
    for (const Attempt& attempt : attempts) {
        if (attempt.may_have_run) return &attempt;
    }
    return nullptr;
}

// The deduplication window counts from the time of the decision to send the first attempt. No server can have
// received the attempt earlier.
Millis Request::write_by() const {
    const Attempt* first = first_possible_execution();
    if (!first || request_class.idempotency == Idempotency::idempotent) {
        return std::numeric_limits<Millis>::infinity();
    }
    if (request_class.idempotency == Idempotency::non_idempotent) return 0;
    return first->sent_at + request_class.dedup_window - kMaxWriteDelay;
}

bool Request::in_dedup_scope(const Attempt& attempt, const ServerInfo& server) const {
    switch (request_class.dedup_scope) {
        case DedupScope::all:
            return true;
        case DedupScope::zone:
            return attempt.zone == server.zone;
        default:
            return attempt.cell == server.cell;
    }
}

bool Request::may_be_sent_to(const Server& server, const Settings& settings, Millis now) const {
    if (ended || streaming || now >= deadline) return false;  // rule 1
    if (attempts.size() >= settings.max_attempts) return false;
    if (!server.accepts_requests()) return false;  // rule 3
    const bool may_hedge = settings.allow_hedging && request_class.idempotency != Idempotency::non_idempotent;
    if (any_in_flight() && !may_hedge) return false;
    if (now >= write_by()) return false;  // rule 2, as are the checks below
    if (request_class.idempotency != Idempotency::idempotency_key) return true;
    return std::all_of(attempts.begin(), attempts.end(), [&](const Attempt& attempt) {
        return !attempt.may_have_run || in_dedup_scope(attempt, server.info);
    });
}

bool Request::may_be_rejected(Millis retry_at) const {
    if (ended || streaming) return false;
    const bool may_run_again = request_class.idempotency == Idempotency::idempotent;
    if (!first_possible_execution() || may_run_again) return true;
    // The client's retry may reach any server.
    return request_class.dedup_scope == DedupScope::all && retry_at < write_by();
}

}  // namespace elmbay::balancer
