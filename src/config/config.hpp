// What a real sidecar is told: environment and JSON, turned into types.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <limits>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/deployment_settings.hpp"

namespace elmbay {

using balancer::Millis;
using Endpoint = boost::asio::ip::tcp::endpoint;
using PeerEndpoint = boost::asio::ip::udp::endpoint;

// Configuration or discovery's data that can't be used; what() names the field.
struct ConfigError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// A server as discovery describes it: uid is who it is, endpoint only where this sidecar reaches it.
struct Target {
    std::string uid;
    Endpoint endpoint;
    std::string zone;
    std::string machine_type;
    std::uint32_t cell = 0;
    balancer::EndpointState state = balancer::EndpointState::active;
    Millis online_since = 0;
    double weight = 1;  // balancer::ServerInfo's
};
struct Listing {
    std::uint64_t rev = 0;
    bool all = false;
    std::vector<Target> targets;
    std::size_t passed_over = 0;                                      // targets beyond kMaxTargets
    Millis list_age_bound = std::numeric_limits<Millis>::infinity();  // balancer::ServerList's
};
// Targets that are taken of one list: three times what a sidecar keeps listed (EndpointRegistry). An
// incremental list names those that left as well; no honest one is as long as this.
constexpr std::size_t kMaxTargets = 12288;

struct Config {
    std::string name;
    Endpoint listen;
    Endpoint discovery;
    std::uint64_t seed = 0;
    std::size_t sockets = 1024;       // file descriptors that the process may hold
    std::size_t memory = 32U << 20U;  // bytes; where nothing is said, as little as the platform ever gives
    balancer::DeploymentSettings deployment;
    Listing known;
    // Messages between sidecars (PROTOCOL): where this one listens, and where it reaches each, by their
    // numbers.
    std::optional<PeerEndpoint> peer_listen;
    std::vector<PeerEndpoint> peers;
};

// Both throw ConfigError.
Listing parse_listing(std::string_view text);
Config parse_config(const std::string& text);

// Reads the environment (by way of get, which returns nullptr for what is not set) and the file it names.
Config load_config(const std::function<const char*(const char*)>& get);
// The same once more, after SIGHUP. The environment is as old as the process, so for what the operators move
// by a new file, discovery, the file is right and RELAY_DISCOVERY out of date.
Config reload_config(const std::function<const char*(const char*)>& get);

}  // namespace elmbay
