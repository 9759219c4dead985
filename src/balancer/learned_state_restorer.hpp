#pragma once

#include <map>

#include "balancer/server.hpp"
#include "elmbay/learned_state.hpp"

namespace elmbay::balancer {

/// Restores the learned state of servers from an earlier run of the sidecar; older state has less weight
/// (docs/design/state.md). Also converts between the decaying means of the module and their saved form.
///
/// Restored state may reduce the requests to a server temporarily, but never withholds requests from it
/// permanently:
/// - An ejected server is probed as soon as its ejection time is over. The ejection time continues while the
///   sidecar is down.
/// - For a server that has restarted in the meantime, only the slow start tokens are restored, because its
///   process is another one.
/// - State of servers that are missing from the first whole list is discarded.
/// - A restart does not refill budgets: slow start tokens and retries are the minimum of the saved and the
///   initial values.
///
/// Owned by Balancer::Impl; not thread-safe. Holds the state of at most kMaxSavedServers servers, each until
/// the server is listed.
class LearnedStateRestorer {
public:
    /// The maximum age of the state of a server, in milliseconds; older state does not describe the present.
    /// Means decay by themselves.
    static constexpr Millis kMaxAge = 300000;
    /// Decay time of a saved outcome window, in milliseconds. The oldest outcomes are discarded first.
    static constexpr Millis kOutcomeDecay = 60000;

    /// Loads a saved state.
    /// @param learned_state a sanitized state (learned_state_validation.hpp)
    /// @param age           milliseconds since the state was saved. If it is negative, above kMaxAge or not a
    ///                      number, none of the state is used.
    void load(const LearnedState& learned_state, Millis age, Millis now);
    /// Whether a state that is recent enough has been loaded.
    bool is_trusted() const { return trusted_; }
    /// Returns the time at which the loaded state was saved: milliseconds on the module's clock.
    Millis taken_at() const { return taken_at_; }
    /// Applies the saved state of a server that is new in this run. Each server's state is applied once.
    /// @param may_eject whether the pool has enough servers without this one
    void restore(Server& server, bool may_eject, Millis now);
    /// Discards the state of servers that have not been listed.
    void discard_servers() { servers_.clear(); }

    /// Returns the state of a server as of `now`, to be saved.
    static LearnedServerState state_of(const Server& server, Millis now);
    /// Converts a mean to its saved form as of `now`.
    static DecayedMean save_mean(const DecayingAverage& mean, Millis now) {
        return {mean.value, mean.count, now - mean.updated_at};
    }
    /// Converts a saved mean back. It continues to decay from `taken_at`.
    static DecayingAverage restore_mean(const DecayedMean& mean, Millis taken_at) {
        return {{mean.weight, taken_at - mean.last_sample_age_ms}, mean.value};
    }

private:
    std::map<ServerId, LearnedServerState> servers_;
    Millis taken_at_ = 0;
    bool trusted_ = false;
};

}  // namespace elmbay::balancer
