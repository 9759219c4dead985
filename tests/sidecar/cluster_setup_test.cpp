// Where a sidecar takes part in the cluster, out of the platform's configuration and the operator's file.
#include "sidecar/cluster_setup.hpp"

#include <gtest/gtest.h>

#include <string>

namespace elmbay {
namespace {

cluster::PeerAddress peer(std::uint16_t port) { return {boost::asio::ip::make_address("127.0.0.1"), port}; }

Config platform_config() {
    Config config;
    config.peer_listen = peer(1000);
    config.peers = {peer(1000), peer(1001)};
    config.deployment.my_number = 1;
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

TEST(ClusterSetup, UsesPlatformWhenOperatorNamesNothing) {
    const cluster::Driver::Setup setup = cluster_setup(platform_config(), {});
    EXPECT_EQ(setup.listen, peer(1000));
    EXPECT_EQ(setup.peers, platform_config().peers);
    EXPECT_EQ(setup.self, 1U);
}

TEST(ClusterSetup, PrefersOperatorWhereItNamesPeers) {
    cluster::Settings settings;
    settings.listen = "127.0.0.1:2000";
    settings.peers = {"127.0.0.1:2000", "127.0.0.1:2001", "127.0.0.1:2002"};
    settings.number = 2;
    const cluster::Driver::Setup setup = cluster_setup(platform_config(), settings);
    EXPECT_EQ(setup.listen, peer(2000));
    EXPECT_EQ(setup.peers, (std::vector{peer(2000), peer(2001), peer(2002)}));
    EXPECT_EQ(setup.self, 2U);
}

TEST(ClusterSetup, NamesKeyThatIsMissingOrMalformed) {
    EXPECT_EQ(error_of({}, {}), "[cluster] listen: neither it nor peer_listen of the configuration is there");
    cluster::Settings settings;
    settings.listen = "127.0.0.1:2000";
    EXPECT_EQ(error_of({}, settings),
              "[cluster] peers: neither they nor those of the configuration are there");
    settings.number = 2;
    settings.peers = {"127.0.0.1:2000", "127.0.0.1:2001"};
    EXPECT_EQ(error_of({}, settings), "[cluster] number: 2 is beyond the 2 peers");
    for (const std::string address : {"", "127.0.0.1", ":1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536",
                                      "127.0.0.1:1x", "localhost:1"}) {
        settings.peers = {address};
        EXPECT_EQ(error_of({}, settings), "[cluster] peers: '" + address + "' is not address:port");
    }
}

}  // namespace
}  // namespace elmbay
