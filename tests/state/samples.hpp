// States to store: all fields of one follow from its round, so that a mix of two rounds shows.
#pragma once

#include <string>

#include "state/snapshot_codec.hpp"

namespace elmbay::state::test {

inline Snapshot sample(int round, int servers = 6, const std::string& instance = "n-1") {
    Snapshot snapshot;
    snapshot.instance = instance;
    snapshot.taken_at = {1700000000000 + round, 5000 + round, {1, 2, 3}};
    snapshot.learned_state.concurrency_limit = snapshot.learned_state.learned_limit = round;
    snapshot.learned_state.load_ratio = {0.25, 3, 10};
    for (int i = 0; i < servers; ++i) {
        balancer::LearnedServerState state;
        state.server = static_cast<std::uint32_t>(i);
        state.online_since = round;
        state.outcome_bits = 0xF0F0;
        state.outcome_count = 16;
        if (i % 2) state.ejection_remaining_ms = 1000 + i;
        snapshot.server_uids.push_back("s-" + std::to_string(100 + i));
        snapshot.learned_state.servers.push_back(state);
    }
    return snapshot;
}

// The round whose whole state it is; -1: a mix, or not a state of ours.
inline int round_of(const Snapshot& snapshot) {
    const int round = static_cast<int>(snapshot.learned_state.concurrency_limit);
    const Snapshot whole = sample(round, static_cast<int>(snapshot.server_uids.size()), snapshot.instance);
    std::uint64_t next = 0, other = 0;
    return encode_batch(nullptr, snapshot, 1, next) == encode_batch(nullptr, whole, 1, other) ? round : -1;
}

}  // namespace elmbay::state::test
