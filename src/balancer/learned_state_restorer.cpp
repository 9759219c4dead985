#include "balancer/learned_state_restorer.hpp"

#include <algorithm>
#include <cmath>

namespace elmbay::balancer {

void LearnedStateRestorer::load(const LearnedState& learned_state, Millis age, Millis now) {
    trusted_ = age >= 0 && age <= kMaxAge;
    if (!trusted_) return;
    taken_at_ = now - age;
    for (const LearnedServerState& saved : learned_state.servers) servers_.try_emplace(saved.server, saved);
}

void LearnedStateRestorer::restore(Server& server, bool may_eject, Millis now) {
    const auto entry = servers_.find(server.info.id);
    if (entry == servers_.end()) return;
    const LearnedServerState saved = entry->second;
    servers_.erase(entry);
    server.slow_start_tokens = std::min(server.slow_start_tokens, saved.slow_start_tokens);
    const bool is_same_process = saved.online_since == server.info.online_since;
    if (!is_same_process) return;
    const Millis age = now - taken_at_;
    if (saved.ejection_remaining_ms) {
        if (!may_eject) return;
        server.ejection_state = EjectionState::ejected;
        server.backoff_until = now + std::max(0.0, *saved.ejection_remaining_ms - age);
        return;
    }
    const double trusted_outcomes = saved.outcome_count * std::exp(-age / kOutcomeDecay);
    for (auto bit = static_cast<std::uint32_t>(trusted_outcomes); bit-- > 0;) {
        server.window.add((saved.outcome_bits >> bit & 1U) != 0);
    }
}

LearnedServerState LearnedStateRestorer::state_of(const Server& server, Millis now) {
    LearnedServerState state;
    state.server = server.info.id;
    state.online_since = server.info.online_since;
    state.outcome_bits = server.window.bits();
    state.outcome_count = server.window.filled();
    state.slow_start_tokens = server.slow_start_tokens;
    switch (server.ejection_state) {
        case EjectionState::healthy:
            break;
        case EjectionState::ejected:
            state.ejection_remaining_ms = std::max(0.0, server.backoff_until - now);
            break;
        case EjectionState::probing:
            state.ejection_remaining_ms = 0;  // no result yet: the next run probes the server at once
            break;
    }
    return state;
}

}  // namespace elmbay::balancer
