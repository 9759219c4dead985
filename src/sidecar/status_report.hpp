/// @file
/// Parts of the status JSON. docs/operate/status.md describes each field.
#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>

#include "base/sockets.hpp"
#include "elmbay/learned_state.hpp"
#include "net/upstream.hpp"
#include "sidecar/endpoint_registry.hpp"

namespace elmbay {

/// HTTP requests since the start. Each received request is counted once more by how it ended; upgrades count
/// only there.
struct RequestCounts {
    std::uint64_t received = 0;
    std::uint64_t succeeded = 0;
    std::uint64_t rejected = 0;
    std::uint64_t failed = 0;
    std::uint64_t disconnected = 0;  ///< the client left first
};

/// @param open requests that the engine holds at present.
nlohmann::json requests_status(const RequestCounts& counts, std::size_t open);
/// Sockets in use, by side.
nlohmann::json sockets_status(const SocketBudget& budget);
/// One object for each server of the registry, by uid.
nlohmann::json servers_status(const EndpointRegistry& registry, const balancer::LearnedState& learned_state,
                              const Upstream& upstream);

}  // namespace elmbay
