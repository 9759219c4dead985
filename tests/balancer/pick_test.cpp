// Tests of Pick and LatencyEstimate: which server of the pool a request is sent to.
#include "balancer/pick.hpp"

#include <gtest/gtest.h>

#include <map>
#include <vector>

#include "samples.hpp"

namespace elmbay::balancer::test {
namespace {

TEST(LatencyEstimateTest, WeighsOwnResponsesAgainstThoseOfMachineType) {
    LatencyEstimate latency;
    Server known = server_of(1);
    Server unknown = server_of(2);
    latency.set_machine_type(known);
    latency.set_machine_type(unknown);
    for (int i = 0; i < 200; ++i) {
        Server same_type = server_of(3);
        latency.set_machine_type(same_type);
        latency.record(same_type, 0.8, false, kNow);
    }
    EXPECT_NEAR(latency.latency_ratio(unknown, kNow), 0.8, 0.01);
    // These responses come from a server in slow start and must not change the mean of the machine type.
    for (int i = 0; i < 10; ++i) latency.record(known, 0.1, true, kNow);
    EXPECT_NEAR(latency.latency_ratio(known, kNow), (10 * 0.1 + 2 * 0.8) / 12, 0.01);
    EXPECT_NEAR(latency.latency_ratio(unknown, kNow), 0.8, 0.01);
}

// A pool of servers with a weight of 1, alternately in zone 0 (the sidecar's own) and zone 1, each with its
// own machine type.
struct Choice {
    Settings settings = settings_of(1);
    Random random{1};
    LatencyEstimate latency;
    std::vector<Server> servers;
    std::vector<Server*> pool;
    explicit Choice(ServerId count, double cross_zone_cost = 0) {
        settings.costs.cross_zone = cross_zone_cost;
        settings.local_zone = 0;
        for (ServerId id = 1; id <= count; ++id) servers.push_back(server_of(id));
        for (Server& server : servers) {
            server.info.zone = (server.info.id - 1) % 2;
            server.info.machine_type = server.info.id;
            latency.set_machine_type(server);
            pool.push_back(&server);
        }
    }
    // Returns how often each server is chosen.
    std::map<ServerId, int> choose(int times, const Request& request = {},
                                   Pick::LoadLevel load_level = {0.1, false, 1}) {
        Pick pick(settings, random, latency);
        const auto all_allowed = [](Server&) { return true; };
        std::map<ServerId, int> counts;
        for (int i = 0; i < times; ++i) {
            const Server* server = pick.choose(pool, request, load_level, kNow, all_allowed);
            if (server) ++counts[server->info.id];
        }
        return counts;
    }
};

TEST(PickTest, PrefersFewerInFlightThenLowerLatency) {
    Choice choice(2);
    choice.servers[0].in_flight = 1;
    EXPECT_EQ(choice.choose(50)[2], 50);
    choice.servers[0].in_flight = 0;
    for (int i = 0; i < 5; ++i) choice.latency.record(choice.servers[0], 0.9, false, kNow);
    EXPECT_EQ(choice.choose(50)[2], 50);
}

// Under light traffic most servers have no request in flight. The draw decides, and no weight may receive
// more than its share.
TEST(PickTest, DrawsIdleServersInProportionToWeight) {
    Choice choice(9);
    for (Server& server : choice.servers) {
        const ServerId id = server.info.id;
        server.info.weight = id <= 3 ? 1 : id <= 6 ? 4 : 16;
    }
    std::map<double, int> by_weight;
    for (const auto& [id, count] : choice.choose(6300)) {
        by_weight[choice.servers[id - 1].info.weight] += count;
    }
    EXPECT_NEAR(by_weight[1], 300, 60) << "with equal probabilities it would be 525";
    EXPECT_NEAR(by_weight[4], 1200, 150);
    EXPECT_NEAR(by_weight[16], 4800, 200) << "if the larger always won it would be 5,900";
}

TEST(PickTest, ComparesInFlightPerUnitOfWeight) {
    Choice choice(2);
    choice.servers[0].info.weight = 1;
    choice.servers[0].in_flight = 1;
    choice.servers[1].info.weight = 4;
    choice.servers[1].in_flight = 3;
    EXPECT_EQ(choice.choose(50)[2], 50) << "3 of 4 is less than 1 of 1";
    choice.servers[1].in_flight = 5;
    EXPECT_EQ(choice.choose(50)[1], 50);
}

TEST(PickTest, AvoidsTriedServersUnlessAllWereTried) {
    Choice choice(3);
    Request request;
    request.attempts.push_back(attempt_at(1, false, false));
    EXPECT_EQ(choice.choose(50, request).count(1), 0U);
    request.attempts.push_back(attempt_at(2, false, false));
    request.attempts.push_back(attempt_at(3, false, false));
    EXPECT_GT(choice.choose(50, request).count(1), 0U) << "all have been tried";
}

TEST(PickTest, OwnZoneWinsTiesAndOneRequestMoreWhereCrossingIsCostly) {
    Choice choice(2, 0.02);
    EXPECT_EQ(choice.choose(50)[1], 50);
    choice.servers[0].in_flight = 1;
    EXPECT_EQ(choice.choose(50)[1], 50) << "the cost exceeds the probability of a late response";
    EXPECT_EQ(choice.choose(50, {}, {0.3, false, 1})[2], 50)
        << "the cost is less than the probability of a late response";
    choice.servers[0].in_flight = 0;
    EXPECT_GT(choice.choose(50, {}, {0.9, true, 1})[2], 5) << "zones are ignored while the pool is busy";
}

}  // namespace
}  // namespace elmbay::balancer::test
