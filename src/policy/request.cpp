#include "policy/request.hpp"

#include <algorithm>

namespace hollybeam {

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

bool Request::in_scope(const Attempt& a, const ServerInfo& s) const {
    if (kind.dedup_scope == DedupScope::all) return true;
    return kind.dedup_scope == DedupScope::zone ? a.zone == s.zone : a.cell == s.cell;
}

bool Request::may_go_to(const Server& s, const Settings& settings, Millis now) const {
    if (ended || streaming || now >= deadline) return false;  // rule 1
    if (attempts.size() >= settings.max_attempts) return false;
    if (!s.open()) return false;  // rule 3
    if (any_out() && (!settings.parallel_tries || kind.effect == Effect::once)) return false;
    if (kind.effect == Effect::once && first_possible_run()) return false;  // rule 2
    if (kind.effect == Effect::by_key)
        if (const Attempt* first = first_possible_run()) {
            if (now >= first->sent_at + kind.dedup_window) return false;
            for (const Attempt& a : attempts)
                if (a.may_have_run && !in_scope(a, s.info)) return false;
        }
    return true;
}

bool Request::may_refuse(Millis now) const {
    const Attempt* first = first_possible_run();
    if (ended || streaming) return false;
    if (!first || kind.effect == Effect::repeatable) return true;
    return kind.effect == Effect::by_key && kind.dedup_scope == DedupScope::all &&
           now < first->sent_at + kind.dedup_window;
}

}  // namespace hollybeam
