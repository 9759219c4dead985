// Tests which addresses and member number a sidecar uses in the cluster, given the platform's configuration
// and the operator's file.
#include "sidecar/cluster_setup.hpp"

#include <gtest/gtest.h>

#include <string>

namespace elmbay {
namespace {

cluster::PeerAddress peer_address(std::uint16_t port) {
    return {boost::asio::ip::make_address("127.0.0.1"), port};
}

Config platform_config() {
    Config config;
    config.peer_listen = peer_address(1000);
    config.peers = {peer_address(1000), peer_address(1001)};
    config.deployment.sidecar_index = 1;
    return config;
}

std::string error_of(const Config& config, const cluster::Settings& settings) {
    try {
        cluster_setup(config, settings);
    } catch (const ConfigError& error) {
        return error.what();
    }
    return "";
}

TEST(ClusterSetup, UsesPlatformConfigurationWhenOperatorFileIsEmpty) {
    const cluster::Driver::Setup setup = cluster_setup(platform_config(), {});
    EXPECT_EQ(setup.listen, peer_address(1000));
    EXPECT_EQ(setup.peers, platform_config().peers);
    EXPECT_EQ(setup.self, 1U);
}

TEST(ClusterSetup, PrefersOperatorFileWhenItListsPeers) {
    cluster::Settings settings;
    settings.listen = "127.0.0.1:2000";
    settings.peers = {"127.0.0.1:2000", "127.0.0.1:2001", "127.0.0.1:2002"};
    settings.number = 2;
    const cluster::Driver::Setup setup = cluster_setup(platform_config(), settings);
    EXPECT_EQ(setup.listen, peer_address(2000));
    EXPECT_EQ(setup.peers, (std::vector{peer_address(2000), peer_address(2001), peer_address(2002)}));
    EXPECT_EQ(setup.self, 2U);
}

TEST(ClusterSetup, ReportsKeyThatIsMissingOrMalformed) {
    EXPECT_EQ(error_of({}, {}), "[cluster] listen: missing, and the configuration has no peer_listen");
    cluster::Settings settings;
    settings.listen = "127.0.0.1:2000";
    EXPECT_EQ(error_of({}, settings), "[cluster] peers: missing, and the configuration has no peers");
    settings.number = 2;
    settings.peers = {"127.0.0.1:2000", "127.0.0.1:2001"};
    EXPECT_EQ(error_of({}, settings), "[cluster] number: 2 must be less than the number of peers (2)");
    for (const std::string address : {"", "127.0.0.1", ":1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536",
                                      "127.0.0.1:1x", "localhost:1"}) {
        settings.peers = {address};
        EXPECT_EQ(error_of({}, settings),
                  "[cluster] peers: '" + address + "' does not have the form address:port");
    }
}

}  // namespace
}  // namespace elmbay
