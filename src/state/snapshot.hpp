/// @file
/// What one instance of the sidecar has learned by one instant, with the names that outlive a process.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "elmbay/learned_state.hpp"
#include "state/timestamp.hpp"

namespace elmbay::state {

/// Of an instance's name and of a server's uid.
constexpr std::size_t kMaxNameBytes = 255;
/// As many as a sidecar lists.
constexpr std::size_t kMaxServers = 4096;

/// A plain value; nothing in it refers to a process or a connection.
struct Snapshot {
    std::string instance;                  ///< whose it is; 1 to kMaxNameBytes bytes
    Timestamp taken_at;                    ///< when
    balancer::LearnedState learned_state;  ///< servers[i].server == i
    std::vector<std::string>
        server_uids;  ///< server_uids[i] names servers[i]; each once, 1 to kMaxNameBytes bytes
};

}  // namespace elmbay::state
