#include "balancer/learned_state_restorer.hpp"

#include <algorithm>
#include <cmath>

namespace elmbay::balancer {

void LearnedStateRestorer::load(const LearnedState& learned_state, Millis age, Millis now) {
    trusted_ = age >= 0 && age <= kMaxAge;
    if (!trusted_) return;
    taken_at_ = now - age;
    for (const LearnedServerState& s : learned_state.servers) servers_.try_emplace(s.server, s);
}

void LearnedStateRestorer::restore(Server& s, bool may_eject, Millis now) {
    const auto at = servers_.find(s.info.id);
    if (at == servers_.end()) return;
    const LearnedServerState k = at->second;
    servers_.erase(at);
    const Millis age = now - taken_at_;
    s.slow_start_tokens = std::min(s.slow_start_tokens, k.slow_start_tokens);
    if (k.online_since != s.info.online_since) return;  // another process
    if (k.ejection_remaining_ms) {
        if (!may_eject) return;
        s.ejection_state = EjectionState::ejected;
        s.backoff_until = now + std::max(0.0, *k.ejection_remaining_ms - age);
        return;
    }
    const auto trusted_outcomes =
        static_cast<std::uint32_t>(k.outcome_count * std::exp(-age / kOutcomeDecay));
    for (std::uint32_t i = trusted_outcomes; i-- > 0;) s.window.add((k.outcome_bits >> i & 1U) != 0);
}

LearnedServerState LearnedStateRestorer::state_of(const Server& s, Millis now) {
    LearnedServerState k{s.info.id, s.info.online_since, s.window.bits(), s.window.filled(),
                         {},        s.slow_start_tokens};
    if (s.ejection_state == EjectionState::ejected)
        k.ejection_remaining_ms = std::max(0.0, s.backoff_until - now);
    if (s.ejection_state == EjectionState::probing)
        k.ejection_remaining_ms = 0;  // undecided: the next life tries it at once
    return k;
}

}  // namespace elmbay::balancer
