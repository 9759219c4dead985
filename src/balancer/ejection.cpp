#include "balancer/ejection.hpp"

#include <algorithm>
#include <cmath>

namespace elmbay::balancer {

OutlierEjection::Transition OutlierEjection::record_outcome(Server& server, const AttemptResult& result,
                                                            Millis now) {
    const bool success = result.outcome == Outcome::success && !result.late;
    const bool is_conclusive = result.outcome != Outcome::cancelled && result.outcome != Outcome::not_sent;
    if (server.ejection_state == EjectionState::probing && result.probe) {
        return end_probe(server, is_conclusive, success, now);
    }
    if (!is_conclusive || server.ejection_state != EjectionState::healthy) return Transition::none;

    // A failed connection indicates that the process or the network path has changed since the earlier
    // responses. Neither earlier successes nor failures of other servers therefore excuse it; only
    // may_eject() limits the ejection.
    const bool connect_failed = result.outcome == Outcome::connect_failed;
    if (connect_failed && server.window.successes() > 0) clear_window(server);
    add_outcome(server, success);
    if (success || !is_below_threshold(server, !connect_failed)) return Transition::none;
    const bool is_for_slowness = result.late || result.outcome == Outcome::timed_out;
    return may_eject(result, is_for_slowness) ? eject(server, now) : Transition::none;
}

OutlierEjection::Transition OutlierEjection::end_probe(Server& server, bool is_conclusive, bool success,
                                                       Millis now) {
    if (!is_conclusive) {
        server.ejection_state = EjectionState::ejected;  // the next request becomes the probe
        return Transition::none;
    }
    if (!success) return eject(server, now);
    server.ejection_state = EjectionState::healthy;
    server.window.clear();
    return Transition::restored;
}

OutlierEjection::Transition OutlierEjection::eject(Server& server, Millis now) {
    const bool was_healthy = server.ejection_state == EjectionState::healthy;
    server.ejection_state = EjectionState::ejected;
    server.backoff_until = now + kEjectionTime;
    return was_healthy ? Transition::ejected : Transition::ejected_again;
}

void OutlierEjection::add_outcome(Server& server, bool success) {
    if (server.in_pool) subtract_from_pool_sums(server);
    server.window.add(success);
    if (server.in_pool) add_to_pool_sums(server);
}

void OutlierEjection::clear_window(Server& server) {
    if (server.in_pool) subtract_from_pool_sums(server);
    server.window.clear();
}

void OutlierEjection::add_to_pool_sums(const Server& server) {
    pool_successes_ += server.window.successes();
    pool_outcomes_ += server.window.filled();
}

void OutlierEjection::subtract_from_pool_sums(const Server& server) {
    pool_successes_ -= server.window.successes();
    pool_outcomes_ -= server.window.filled();
}

void OutlierEjection::compare_with_pool(const std::vector<Server*>& pool) {
    pool_successes_ = 0;
    pool_outcomes_ = 0;
    for (const Server* server : pool) add_to_pool_sums(*server);
}

bool OutlierEjection::is_below_threshold(const Server& server, bool compares_with_pool) const {
    const double others_successes = pool_successes_ - (server.in_pool ? server.window.successes() : 0);
    const double others_outcomes = pool_outcomes_ - (server.in_pool ? server.window.filled() : 0);
    const bool has_others = compares_with_pool && others_outcomes > 0;
    const double others_rate = has_others ? others_successes / others_outcomes : 1;
    const double standard_error =
        std::sqrt(others_rate * (1 - others_rate) / static_cast<double>(OutcomeWindow::kSize));
    const double filled = server.window.filled();
    const double prior = std::min(kPriorSuccesses, OutcomeWindow::kSize - filled);
    const double success_rate = (server.window.successes() + prior) / (filled + prior);
    return success_rate < kMinSuccessRate * others_rate - kStandardErrors * standard_error;
}

// As with Envoy's panic threshold, half of the listed servers stay in the pool regardless of their outcome
// windows. If the failures are slowness, three quarters stay, because an overload needs the slow machines
// too.
bool OutlierEjection::may_eject(const AttemptResult& result, bool is_for_slowness) {
    const std::size_t min_servers_per_ejected = is_for_slowness ? 4 : 2;
    return min_servers_per_ejected * (result.ejected_servers + 1) <= result.listed_servers;
}

}  // namespace elmbay::balancer
