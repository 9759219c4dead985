// Incremental lists in large fleets: the pool is the same as after a whole list, and nothing is allocated
// that is as large as the fleet.
#include <gtest/gtest.h>

#include <cstdlib>
#include <new>
#include <random>

#include "balancer/aperture.hpp"

namespace {

std::size_t allocated_bytes = 0;

}  // namespace

// Counts what is allocated, in this program only. Not inlined: with instrumentation GCC takes one half of the
// pair for a mismatch of the other.
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
        balancer.handle(kNow + 1, event, actions);  // whatever is allocated only once has been
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
    std::vector<Server*> there;
    for (std::size_t i = 0; i < servers.size(); ++i) {
        servers[i].info.id = static_cast<ServerId>(i + 1);
        servers[i].rank = random();
        there.push_back(&servers[i]);
    }
    Aperture changed(16, slow_start);
    changed.set_servers(there);
    changed.draw_pool(kNow, 0);
    for (int round = 0; round < 300; ++round) {
        for (std::size_t changes = random() % 4; changes > 0; --changes) {
            Server& server = servers[random() % servers.size()];
            changed.remove(&server);
            std::erase(there, &server);
            server.listed = random() % 4 != 0;
            server.info.state = random() % 3 == 0 ? EndpointState::draining : EndpointState::active;
            server.ejection_state = random() % 3 == 0 ? EjectionState::ejected : EjectionState::healthy;
            if (random() % 5 == 0) continue;  // gone for good
            changed.add(&server);
            there.push_back(&server);
        }
        changed.draw_pool(kNow, 0);
        const std::vector<Server*> pool = changed.pool();
        for (const Server& server : servers) {
            ASSERT_EQ(server.in_pool, std::find(pool.begin(), pool.end(), &server) != pool.end());
        }
        Aperture whole(16, slow_start);
        whole.set_servers(there);
        whole.draw_pool(kNow, 0);
        ASSERT_EQ(pool, whole.pool()) << round;
        ASSERT_EQ(changed.ejected(), whole.ejected()) << round;
        ASSERT_EQ(changed.listed_count(), whole.listed_count()) << round;
        ASSERT_EQ(changed.warm_count(), whole.warm_count()) << round;
        ASSERT_EQ(changed.sidecars_per_server(), whole.sidecars_per_server()) << round;
    }
}

// The size of the pool of one of so many sidecars, after so many completions at once.
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

// In a wider pool a light sidecar would open a connection for nearly each request.
TEST(FleetChangeTest, LightSidecarOfALargeFleetKeepsANarrowPool) {
    EXPECT_EQ(pool_size_of(3200, 300), 48U) << "sixteen of 300 sidecars would see each server with 171";
    EXPECT_EQ(pool_size_of(3200, 900), 48U) << "with 57";
    EXPECT_EQ(pool_size_of(3200, 300, 300), 120U) << "60 a second come back to as many within 2 s";
    EXPECT_EQ(pool_size_of(3200, 300, 3000), 300U) << "windows of a pool that wide are filled: more than 171";
    EXPECT_EQ(pool_size_of(200, 10), 80U) << "four sidecars see each";
    EXPECT_EQ(pool_size_of(48, 1), 48U) << "the whole fleet";
    EXPECT_EQ(pool_size_of(240, 300), 13U) << "as ever";
}

}  // namespace
}  // namespace elmbay::balancer::test
