// Tests of Aperture: the selection of the pool and the completion rates of its servers.
#include "balancer/aperture.hpp"

#include <gtest/gtest.h>

#include <cmath>
#include <vector>

#include "samples.hpp"

namespace elmbay::balancer::test {
namespace {

// Warm servers 1 to `count`, of which the last has the lowest rank, and the aperture of one sidecar.
struct Fleet {
    Settings settings;
    SlowStart slow_start{settings};
    std::vector<Server> servers;
    Aperture aperture;
    Fleet(std::uint32_t siblings, ServerId count)
        : settings(settings_of(siblings)), aperture(siblings, slow_start) {
        for (ServerId index = 0; index < count; ++index) servers.push_back(server_of(index + 1, 100 - index));
        apply_list();
    }
    // Passes the current servers to the aperture as a whole list.
    void apply_list() {
        std::vector<Server*> all;
        for (Server& server : servers) all.push_back(&server);
        aperture.set_servers(all);
    }
};

TEST(ApertureTest, PicksLowestRanksAndReplacesEjectedServer) {
    Fleet fleet(1000, 40);
    fleet.aperture.draw_pool(kNow, 0);
    ASSERT_EQ(fleet.aperture.pool().size(), 4U);
    Server* first = fleet.aperture.pool().front();
    EXPECT_EQ(first->info.id, 40U) << "the lowest rank";
    first->ejection_state = EjectionState::ejected;
    fleet.aperture.set_ejected(first, true);
    fleet.aperture.draw_pool(kNow, 0);
    EXPECT_EQ(fleet.aperture.pool().size(), 4U);
    EXPECT_EQ(fleet.aperture.pool().back()->info.id, 36U);
    EXPECT_EQ(fleet.aperture.ejected(), std::vector<Server*>{first});
    first->ejection_state = EjectionState::healthy;
    fleet.aperture.set_ejected(first, false);
    EXPECT_TRUE(fleet.aperture.ejected().empty());
}

TEST(ApertureTest, CountsSidecarsPerServerUpToAllOfThem) {
    Fleet few(4, 14);
    Fleet many(1000, 40);
    for (Fleet* fleet : {&few, &many}) fleet->aperture.draw_pool(kNow, 0);
    EXPECT_EQ(few.aperture.sidecars_per_server(), 4) << "the pool is the whole fleet";
    EXPECT_EQ(many.aperture.sidecars_per_server(), 100) << "a tenth of the fleet each";
}

TEST(ApertureTest, WidensWithInFlightAndCompletionRate) {
    Fleet fleet(1000, 40);
    fleet.aperture.draw_pool(kNow, 10);
    EXPECT_EQ(fleet.aperture.pool().size(), 20U);
    for (int i = 0; i < 100; ++i) fleet.aperture.record_completion(0, kNow);
    fleet.aperture.draw_pool(kNow, 0);
    EXPECT_EQ(fleet.aperture.pool().size(), 10U)
        << "20 requests per second fill ten outcome windows within one ejection time";
    EXPECT_TRUE(fleet.aperture.is_stale(kNow, 11));
    EXPECT_FALSE(fleet.aperture.is_stale(kNow, 10));
    EXPECT_TRUE(fleet.aperture.is_stale(kNow + Aperture::kMaxPoolAge, 0));
}

// The completion rate of a large server would overload a small one in slow start, so rates are measured by
// machine type.
TEST(ApertureTest, MeasuresCompletionRateByMachineType) {
    Fleet fleet(4, 6);  // all of them in the pool
    for (std::size_t i = 0; i < 4; ++i) fleet.servers[i].info.machine_type = 1;
    fleet.apply_list();
    fleet.aperture.draw_pool(kNow, 0);
    ASSERT_EQ(fleet.aperture.warm_count(), 6U);
    for (int i = 0; i < 30; ++i) fleet.aperture.record_completion(1, kNow);
    for (int i = 0; i < 60; ++i) fleet.aperture.record_completion(2, kNow);
    const double rate = 1 / Aperture::kRateDecay;
    for (std::size_t i = 4; i < 6; ++i) fleet.servers[i].info.machine_type = 2;
    fleet.aperture.draw_pool(kNow, 0);
    EXPECT_DOUBLE_EQ(fleet.aperture.completion_rate_per_server(1, kNow), 30 / 4.0 * rate);
    EXPECT_DOUBLE_EQ(fleet.aperture.completion_rate_per_server(2, kNow), 60 / 2.0 * rate);
    EXPECT_DOUBLE_EQ(fleet.aperture.completion_rate_per_server(3, kNow),
                     90 / 6.0 * rate * Aperture::kUnknownTypeShare)
        << "no warm server of this type has been measured";
    // All servers of type 1 leave. When servers of this type return, the last measured rate applies to them.
    for (std::size_t i = 0; i < 4; ++i) fleet.servers[i].listed = false;
    fleet.apply_list();
    fleet.aperture.draw_pool(kNow, 0);
    const Millis later = kNow + 20000;
    for (int i = 0; i < 300; ++i) fleet.aperture.record_completion(2, later);
    fleet.aperture.draw_pool(later, 0);
    EXPECT_DOUBLE_EQ(fleet.aperture.completion_rate_per_server(1, later), 30 / 4.0 * rate);
    // If all servers are of one type, the rate is divided by the present and the departed servers.
    const double contributors = 2 + 4 * std::exp((kNow - later) / Aperture::kRateDecay);
    EXPECT_DOUBLE_EQ(fleet.aperture.completion_rate_per_server(2, later),
                     fleet.aperture.completion_rate(later) / contributors);
}

// The work of servers that have just left must not be attributed to the remaining servers.
TEST(ApertureTest, KeepsRatePerServerWhenMostServersRestart) {
    Fleet fleet(4, 6);
    fleet.aperture.draw_pool(kNow, 0);
    for (int i = 0; i < 60; ++i) fleet.aperture.record_completion(0, kNow);
    const double rate_per_server = fleet.aperture.completion_rate_per_server(0, kNow);
    EXPECT_DOUBLE_EQ(rate_per_server, 60 / 6.0 / Aperture::kRateDecay);
    for (std::size_t i = 0; i < 5; ++i) fleet.servers[i].process.started_at = kNow;
    fleet.apply_list();
    fleet.aperture.draw_pool(kNow, 0);
    ASSERT_EQ(fleet.aperture.warm_count(), 1U);
    EXPECT_DOUBLE_EQ(fleet.aperture.completion_rate_per_server(0, kNow), rate_per_server);
    fleet.servers[5].process.started_at = kNow;
    fleet.apply_list();
    fleet.aperture.draw_pool(kNow, 0);
    ASSERT_EQ(fleet.aperture.warm_count(), 0U);
    EXPECT_DOUBLE_EQ(fleet.aperture.completion_rate_per_server(0, kNow), rate_per_server);
}

// The servers start at the same time as the sidecar, which has restored the completion rate of all of them.
TEST(ApertureTest, DividesRestoredRateByAllListedServers) {
    Fleet fleet(4, 6);
    fleet.aperture.restore(0.6, kNow);
    for (Server& server : fleet.servers) server.process.started_at = kNow;
    fleet.apply_list();
    fleet.aperture.draw_pool(kNow, 0);
    ASSERT_EQ(fleet.aperture.warm_count(), 0U);
    EXPECT_DOUBLE_EQ(fleet.aperture.completion_rate_per_server(0, kNow), 0.6 / 6);
}

TEST(ApertureTest, AddsServersInSlowStartBeyondTheWidthAndExcludesDrainingServers) {
    Fleet fleet(1000, 40);
    fleet.servers[39].process.started_at = kNow - 1;
    fleet.servers[38].info.state = EndpointState::draining;
    fleet.apply_list();
    fleet.aperture.draw_pool(kNow, 0);
    EXPECT_EQ(fleet.aperture.pool().size(), 5U);
    EXPECT_EQ(fleet.aperture.warm_count(), 4U);
    EXPECT_FALSE(fleet.servers[38].in_pool);
}

}  // namespace
}  // namespace elmbay::balancer::test
