#pragma once

#include <map>

#include "balancer/server.hpp"
#include "elmbay/learned_state.hpp"

namespace elmbay::balancer {

/// Restores what an earlier run of the sidecar had learned of its servers, trusted less the older it is
/// (docs/design/state.md). Also converts between the decaying means of the module and their saved form.
///
/// Restored state may make a server be tried with care, never keep requests from it:
/// - An ejected server is probed as soon as its ejection time is over, counted on while the sidecar was down.
/// - A server that has restarted since is another process: nothing but its tokens is restored.
/// - What the first whole list does not name is forgotten.
/// - No budget is given anew: tokens of servers in slow start and retries are the lesser of saved and fresh.
///
/// Owned by Balancer::Impl; not thread-safe. Holds kMaxSavedServers servers at most, each until it is listed.
class LearnedStateRestorer {
public:
    /// Milliseconds. The record of a server that is older says nothing of now. Means decay by themselves.
    static constexpr Millis kMaxAge = 300000;
    /// Decay time of a saved outcome window, in milliseconds: the oldest outcomes go first.
    static constexpr Millis kOutcomeDecay = 60000;

    /// Takes in a saved state.
    /// @param learned_state a sanitized one (learned_state_validation.hpp)
    /// @param age           milliseconds since it was taken. Below 0, above kMaxAge, or not a number: not
    ///                      trusted, and nothing of it is used.
    void load(const LearnedState& learned_state, Millis age, Millis now);
    /// Whether a state has been loaded that is recent enough to be used.
    bool is_trusted() const { return trusted_; }
    /// When the loaded state was taken: milliseconds on the module's clock.
    Millis taken_at() const { return taken_at_; }
    /// Gives a server that is new to this run what is known of it, once.
    /// @param may_eject whether the pool can do without it
    void restore(Server& server, bool may_eject, Millis now);
    /// Forgets the servers that have not been listed.
    void forget_servers() { servers_.clear(); }

    /// What is known of a server as of `now`, to be saved.
    static LearnedServerState state_of(const Server& server, Millis now);
    /// A mean as of `now`, to be saved.
    static DecayedMean saved(const DecayingAverage& mean, Millis now) {
        return {mean.value, mean.count, now - mean.updated_at};
    }
    /// A saved mean. It goes on decaying from `taken_at`.
    static DecayingAverage restored(const DecayedMean& mean, Millis taken_at) {
        return {{mean.weight, taken_at - mean.last_sample_age_ms}, mean.value};
    }

private:
    std::map<ServerId, LearnedServerState> servers_;
    Millis taken_at_ = 0;
    bool trusted_ = false;
};

}  // namespace elmbay::balancer
