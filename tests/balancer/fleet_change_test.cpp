// Tests of incremental lists in large fleets: the pool is the same as after a whole list, and the size of
// allocations does not depend on the size of the fleet.
#include <gtest/gtest.h>

#include <cstdlib>
#include <new>
#include <random>

#include "balancer/aperture.hpp"

namespace {

std::size_t allocated_bytes = 0;

}  // namespace

// Counts the bytes allocated by this program. Not inlined, because with instrumentation GCC reports inlined
// halves of the pair as mismatched.
[[gnu::noinline]] void* operator new(std::size_t size) {
    allocated_bytes += size;
    if (void* memory = std::malloc(size > 0 ? size : 1)) return memory;
    throw std::bad_alloc();
}
[[gnu::noinline]] void operator delete(void* memory) noexcept { std::free(memory); }
[[gnu::noinline]] void operator delete(void* memory, std::size_t) noexcept { std::free(memory); }

namespace elmbay::balancer::test {
namespace {

constexpr Millis kNow = 1e6;
constexpr std::uint32_t kSidecars = 900;

Settings make_settings() {
    Settings settings;
    settings.classes.emplace_back();
    settings.siblings = kSidecars;
    settings.slow_start_duration = 10000;
    return settings;
}

TEST(FleetChangeTest, IncrementalListAllocatesNothingAsLargeAsTheFleet) {
    const auto bytes_of_a_change = [](ServerId fleet) {
        Balancer balancer(make_settings(), 1);
        std::vector<Action> actions;
        ServerList whole;
        for (ServerId id = 1; id <= fleet; ++id) {
            whole.servers.push_back({id, 0, 0, 0, EndpointState::active, 0});
        }
        balancer.handle(kNow, whole, actions);
        const ServerInfo leaving{fleet, 0, 0, 0, EndpointState::draining, 0};
        const Event event = ServerList{ListKind::incremental, {leaving}};
        balancer.handle(kNow + 1, event, actions);  // makes the allocations that happen only once
        const std::size_t before = allocated_bytes;
        balancer.handle(kNow + 2, event, actions);
        return allocated_bytes - before;
    };
    EXPECT_LE(bytes_of_a_change(3200), bytes_of_a_change(200) + 1024);
}

TEST(FleetChangeTest, IncrementalListsGiveTheSamePoolAsAWholeList) {
    const Settings settings = make_settings();
    const SlowStart slow_start(settings);
    std::mt19937_64 random(7);
    std::vector<Server> servers(300);
    std::vector<Server*> present;
    for (std::size_t i = 0; i < servers.size(); ++i) {
        servers[i].info.id = static_cast<ServerId>(i + 1);
        servers[i].rank = random();
        present.push_back(&servers[i]);
    }
    Aperture incremental(16, slow_start);
    incremental.set_servers(present);
    incremental.draw_pool(kNow, 0);
    for (int round = 0; round < 300; ++round) {
        for (std::size_t changes = random() % 4; changes > 0; --changes) {
            Server& server = servers[random() % servers.size()];
            incremental.remove(&server);
            std::erase(present, &server);
            server.listed = random() % 4 != 0;
            server.info.state = random() % 3 == 0 ? EndpointState::draining : EndpointState::active;
            server.ejection_state = random() % 3 == 0 ? EjectionState::ejected : EjectionState::healthy;
            if (random() % 5 == 0) continue;  // the server does not return
            incremental.add(&server);
            present.push_back(&server);
        }
        incremental.draw_pool(kNow, 0);
        const std::vector<Server*> pool = incremental.pool();
        for (const Server& server : servers) {
            ASSERT_EQ(server.in_pool, std::find(pool.begin(), pool.end(), &server) != pool.end());
        }
        Aperture whole(16, slow_start);
        whole.set_servers(present);
        whole.draw_pool(kNow, 0);
        ASSERT_EQ(pool, whole.pool()) << round;
        ASSERT_EQ(incremental.ejected(), whole.ejected()) << round;
        ASSERT_EQ(incremental.listed_count(), whole.listed_count()) << round;
        ASSERT_EQ(incremental.warm_count(), whole.warm_count()) << round;
        ASSERT_EQ(incremental.sidecars_per_server(), whole.sidecars_per_server()) << round;
    }
}

// Returns the size of one sidecar's pool in a fleet with that many sidecars, after the given number of
// completions at one time.
std::size_t pool_size_of(std::size_t fleet, std::uint32_t sidecars, int completions = 0) {
    const Settings settings = make_settings();
    const SlowStart slow_start(settings);
    std::vector<Server> servers(fleet);
    std::vector<Server*> all;
    for (std::size_t i = 0; i < fleet; ++i) {
        servers[i].info.id = static_cast<ServerId>(i + 1);
        servers[i].rank = i;
        all.push_back(&servers[i]);
    }
    Aperture aperture(sidecars, slow_start);
    aperture.set_servers(all);
    for (int i = 0; i < completions; ++i) aperture.record_completion(0, kNow);
    aperture.draw_pool(kNow, 0);
    return aperture.pool().size();
}

// In a wider pool, a sidecar with light traffic would open a connection for nearly every request.
TEST(FleetChangeTest, SidecarWithLightTrafficInALargeFleetKeepsANarrowPool) {
    EXPECT_EQ(pool_size_of(3200, 300), 48U)
        << "with 171 servers in each pool, each server would be in the pools of sixteen of 300 sidecars";
    EXPECT_EQ(pool_size_of(3200, 900), 48U) << "the same with 57 servers in each pool";
    EXPECT_EQ(pool_size_of(3200, 300, 300), 120U)
        << "60 requests per second return to 120 servers within 2 s";
    EXPECT_EQ(pool_size_of(3200, 300, 3000), 300U)
        << "the traffic fills the outcome windows of 300 servers, more than 171";
    EXPECT_EQ(pool_size_of(200, 10), 80U) << "each server is in the pools of four sidecars";
    EXPECT_EQ(pool_size_of(48, 1), 48U) << "the whole fleet";
    EXPECT_EQ(pool_size_of(240, 300), 13U) << "limited by sixteen sidecars for each server";
}

}  // namespace
}  // namespace elmbay::balancer::test
