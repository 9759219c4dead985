// Memory: what an earlier life had learned, believed less the older it is (docs/design/state.md).
//
// It may make a server be tried with care, never shun it: what was removed is on trial as soon as its
// backoff, counted on while we were away, is over; a process that has restarted since is another one; what
// the first whole list does not name is forgotten. No budget is given anew: tokens of cold servers and
// retries are the lesser of the remembered and the fresh.
#pragma once

#include <map>

#include "balancer/server.hpp"
#include "elmbay/learned_state.hpp"

namespace elmbay::balancer {

class LearnedStateRestorer {
public:
    // A server's record older than this says nothing of now; the fading means forget by themselves.
    static constexpr Millis kMaxAge = 300000;
    // Outcomes of a window fade like this: the oldest go first.
    static constexpr Millis kOutcomeDecay = 60000;

    // Sound learned_state. age: since it was taken; of less than 0 or none, nothing is believed.
    void load(const LearnedState& learned_state, Millis age, Millis now);
    bool is_trusted() const { return trusted_; }
    Millis taken_at() const { return taken_at_; }
    // What is known of this process of a server that is new to us, once. may_remove: the pool can spare it.
    void restore(Server& s, bool may_eject, Millis now);
    void forget_servers() { servers_.clear(); }

    // As of now.
    static LearnedServerState state_of(const Server& s, Millis now);
    static DecayedMean saved(const DecayingAverage& mean, Millis now) {
        return {mean.value, mean.count, now - mean.updated_at};
    }
    static DecayingAverage restored(const DecayedMean& known, Millis taken_at) {
        return {{known.weight, taken_at - known.last_sample_age_ms}, known.value};
    }

private:
    std::map<ServerId, LearnedServerState> servers_;
    Millis taken_at_ = 0;
    bool trusted_ = false;
};

}  // namespace elmbay::balancer
