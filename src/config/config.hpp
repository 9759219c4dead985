/// @file
/// The platform's configuration of a sidecar: environment variables and a JSON file, turned into types.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "config/config_error.hpp"
#include "config/deployment_settings.hpp"
#include "config/endpoint.hpp"
#include "config/endpoint_list.hpp"

namespace elmbay {

/// Addresses that `peers` may have: a hundred times the sidecars of a deployment, so that a wrong file does
/// not fill the memory.
constexpr std::size_t kMaxPeers = 30000;

/// All that the platform tells a sidecar. Read once; SIGHUP changes the descriptor limit and discovery only.
struct Config {
    std::string name;    ///< of this sidecar, the same after a restart; empty: not given
    Endpoint listen;     ///< where the application connects
    Endpoint discovery;  ///< where the endpoint list is fetched
    std::uint64_t seed = 0;
    std::size_t sockets = 1024;       ///< file descriptors that the process may hold
    std::size_t memory = 32U << 20U;  ///< bytes; the default is the least that the platform ever gives
    balancer::DeploymentSettings deployment;
    EndpointList known;  ///< the endpoint list as this sidecar last had it; may be old
    /// Where this sidecar receives datagrams of others; none: it does not take part.
    std::optional<PeerEndpoint> peer_listen;
    /// Where this sidecar sends to each other, by their numbers, its own among them.
    std::vector<PeerEndpoint> peers;
};

/// Looks up an environment variable; nullptr: it is not set.
using Environment = std::function<const char*(const char*)>;

/// Reads the text of the JSON file. Throws ConfigError for the first problem.
Config parse_config(const std::string& text);

/// Reads the environment and the file that RELAY_CONFIG names, at the start. Variables override the file.
/// Throws ConfigError.
Config load_config(const Environment& environment);

/// The same after SIGHUP, but without RELAY_DISCOVERY: the environment is as old as the process, so for what
/// the operators move by a new file, discovery, the file is right. Throws ConfigError.
Config reload_config(const Environment& environment);

}  // namespace elmbay
