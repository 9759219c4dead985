#include "sidecar/cluster_setup.hpp"

#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace elmbay {

namespace {

// Combined with the seed of the configuration, so that the cluster and the balancer draw different random
// numbers and enabling the cluster does not change the choices of the balancer. The value is "cluster" in
// ASCII.
constexpr std::uint64_t kClusterSeedMask = 0x636c7573746572;

std::optional<std::uint16_t> parse_port(const std::string& text) {
    const char* const end = text.data() + text.size();
    std::uint16_t port = 0;
    const bool is_number = std::from_chars(text.data(), end, port).ptr == end;
    if (!is_number || port == 0) return {};
    return port;
}

std::optional<cluster::PeerAddress> parse_peer_address(const std::string& text) {
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) return {};
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(text.substr(0, colon), error);
    const std::optional<std::uint16_t> port = parse_port(text.substr(colon + 1));
    if (error || !port) return {};
    return cluster::PeerAddress(address, *port);
}

cluster::PeerAddress required_peer_address(const std::string& text, const std::string& key) {
    const std::optional<cluster::PeerAddress> address = parse_peer_address(text);
    if (!address)
        throw ConfigError("[cluster] " + key + ": '" + text + "' does not have the form address:port");
    return *address;
}

cluster::PeerAddress listen_address(const Config& config, const cluster::Settings& settings) {
    if (!settings.listen.empty()) return required_peer_address(settings.listen, "listen");
    if (config.peer_listen) return *config.peer_listen;
    throw ConfigError("[cluster] listen: missing, and the configuration has no peer_listen");
}

std::vector<cluster::PeerAddress> peer_addresses(const Config& config, const cluster::Settings& settings) {
    if (settings.peers.empty()) return config.peers;
    std::vector<cluster::PeerAddress> addresses;
    addresses.reserve(settings.peers.size());
    for (const std::string& peer : settings.peers) addresses.push_back(required_peer_address(peer, "peers"));
    return addresses;
}

cluster::MemberId own_member_id(const Config& config, const cluster::Settings& settings) {
    const std::optional<std::uint32_t>& platform_number = config.deployment.sidecar_index;
    if (settings.peers.empty() && platform_number) return *platform_number;
    return static_cast<cluster::MemberId>(settings.number);
}

void require_own_member_among_peers(const cluster::Driver::Setup& setup) {
    if (setup.peers.empty()) {
        throw ConfigError("[cluster] peers: missing, and the configuration has no peers");
    }
    if (setup.self >= setup.peers.size()) {
        throw ConfigError("[cluster] number: " + std::to_string(setup.self) +
                          " must be less than the number of peers (" + std::to_string(setup.peers.size()) +
                          ")");
    }
}

}  // namespace

cluster::Driver::Setup cluster_setup(const Config& config, const cluster::Settings& settings) {
    cluster::Driver::Setup setup;
    setup.listen = listen_address(config, settings);
    setup.peers = peer_addresses(config, settings);
    setup.self = own_member_id(config, settings);
    require_own_member_among_peers(setup);
    setup.configured_siblings = config.deployment.settings.siblings;
    setup.seed = config.seed ^ kClusterSeedMask;
    setup.probe_period = settings.period;
    return setup;
}

}  // namespace elmbay
