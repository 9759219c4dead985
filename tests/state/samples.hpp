// Sample snapshots. All fields of a sample follow from its round number, so that a mix of two rounds is
// detected.
#pragma once

#include <string>

#include "state/snapshot_codec.hpp"

namespace elmbay::state::test {

inline Snapshot make_snapshot(int round, int servers = 6, const std::string& instance = "n-1") {
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

// Returns the round of a snapshot, or -1 if it is a mix of rounds or not a sample.
inline int round_of(const Snapshot& snapshot) {
    const int round = static_cast<int>(snapshot.learned_state.concurrency_limit);
    const Snapshot expected =
        make_snapshot(round, static_cast<int>(snapshot.server_uids.size()), snapshot.instance);
    std::uint64_t next_record = 0, expected_next_record = 0;
    return encode_batch(nullptr, snapshot, 1, next_record) ==
                   encode_batch(nullptr, expected, 1, expected_next_record)
               ? round
               : -1;
}

}  // namespace elmbay::state::test
