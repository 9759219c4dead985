/// @file
/// The platform's configuration of a sidecar, read from environment variables and a JSON file.
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

/// Maximum number of addresses in `peers`. It is a hundred times the number of sidecars of a deployment, and
/// keeps a wrong file from filling the memory. The message for FieldProblem::not_a_peer_list states this
/// number.
constexpr std::size_t kMaxPeers = 30000;

/// The platform's configuration of one sidecar. Read at the start; SIGHUP changes only the descriptor limit
/// and the address of discovery.
struct Config {
    std::string name;    ///< of this sidecar; stays the same after a restart; empty if not configured
    Endpoint listen;     ///< address on which the sidecar listens for the application
    Endpoint discovery;  ///< address of the service that sends the endpoint list
    std::uint64_t seed = 0;
    std::size_t max_descriptors = 1024;  ///< file descriptors that the process may hold
    /// Bytes. The default is the smallest limit that the platform configures.
    std::size_t max_memory_bytes = 32U << 20U;
    balancer::DeploymentSettings deployment;
    /// The endpoint list that this sidecar had received last before its configuration was written; may be
    /// outdated.
    EndpointList cached_list;
    /// Address on which this sidecar receives datagrams of its siblings; nothing if it does not join the
    /// cluster.
    std::optional<PeerEndpoint> peer_listen;
    /// Addresses to which this sidecar sends datagrams, by sidecar index. Includes its own address.
    std::vector<PeerEndpoint> peers;
};

/// Returns the value of an environment variable, or nullptr if it is not set.
using Environment = std::function<const char*(const char*)>;

/// Parses the text of the JSON file. Throws ConfigError for the first problem.
Config parse_config(const std::string& text);

/// Reads the configuration at the start: the environment, and the file that RELAY_CONFIG names. Environment
/// variables override the file. Throws ConfigError.
Config load_config(const Environment& environment);

/// Reads the configuration again after SIGHUP, like load_config() but without RELAY_DISCOVERY. Operators move
/// discovery by writing a new file, whereas the environment dates from the start of the process, so the file
/// takes precedence. Throws ConfigError.
Config reload_config(const Environment& environment);

}  // namespace elmbay
