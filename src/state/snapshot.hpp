/// @file
/// The learned state of one sidecar instance at one instant. Servers are identified by uids, which stay valid
/// after the process ends.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "elmbay/learned_state.hpp"
#include "state/timestamp.hpp"

namespace elmbay::state {

/// The maximum length of an instance's name and of a server's uid, in bytes.
constexpr std::size_t kMaxNameBytes = 255;
/// The maximum number of servers in a snapshot, equal to the maximum number that a sidecar lists.
constexpr std::size_t kMaxServers = 4096;

/// A snapshot of the learned state. It is a plain value without references to a process or a connection.
struct Snapshot {
    std::string instance;                  ///< name of the sidecar instance; 1 to kMaxNameBytes bytes
    Timestamp taken_at;                    ///< when the state was captured
    balancer::LearnedState learned_state;  ///< servers[i].server == i
    /// server_uids[i] identifies learned_state.servers[i]; unique, 1 to kMaxNameBytes bytes each.
    std::vector<std::string> server_uids;
};

}  // namespace elmbay::state
