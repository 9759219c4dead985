// Tests of ServerAges: the start times of servers when wall clocks are wrong or stepped.
#include "balancer/server_age.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <limits>
#include <vector>

namespace elmbay::balancer {
namespace {

constexpr Millis kSecond = 1000, kHour = 3600 * kSecond;
constexpr Millis kWallTimeAtZero = 1.7e12;  // the true wall clock at time 0 of the module's clock
constexpr Millis kNow = 7 * kHour;          // of the module's clock
constexpr Millis kInfinity = std::numeric_limits<Millis>::infinity();
constexpr Millis kClockSteps[] = {-kHour, -5 * kSecond, 5 * kSecond, kHour};

// Returns a server whose process started at `started_at` on the module's clock, with the start time that its
// own wall clock showed. That clock differs by `clock_offset`.
ServerInfo server_started_at(ServerId id, Millis started_at, Millis clock_offset = 0) {
    ServerInfo info;
    info.id = id;
    info.online_since = kWallTimeAtZero + started_at + clock_offset;
    return info;
}
ServerInfo warm_server(ServerId id) {
    ServerInfo info;
    info.id = id;
    return info;
}
std::vector<ServerInfo> warm_servers(ServerId from, ServerId to) {
    std::vector<ServerInfo> servers;
    for (ServerId id = from; id <= to; ++id) servers.push_back(warm_server(id));
    return servers;
}

// ServerAges with a virtual clock and a local wall clock that differs by wall_clock_offset.
struct AgesRig {
    ServerAges ages;
    Millis now = kNow;
    Millis wall_clock_offset = 0;

    void record_list(ListKind kind, std::vector<ServerInfo> servers, Millis list_age_bound = 0) {
        ages.record_list(
            {kind, std::move(servers), kWallTimeAtZero + now + wall_clock_offset, list_age_bound}, now);
    }
    Millis age(ServerId id) const { return now - ages.process_of(id).started_at; }
    std::uint32_t process(ServerId id) const { return ages.process_of(id).number; }
};

TEST(ServerAgesTest, AgeCountsFromFirstReportWhileListIsCurrentRegardlessOfClocks) {
    for (const Millis local_clock_offset : kClockSteps) {
        for (const Millis server_clock_offset : kClockSteps) {
            AgesRig rig;
            rig.wall_clock_offset = local_clock_offset;
            rig.record_list(ListKind::cached, warm_servers(1, 4), kInfinity);
            rig.now += kHour;
            rig.record_list(ListKind::incremental,
                            {server_started_at(5, rig.now - 300, server_clock_offset)});
            EXPECT_EQ(rig.age(5), 0) << local_clock_offset << " " << server_clock_offset;
            rig.wall_clock_offset = -local_clock_offset;  // the local wall clock is stepped during slow start
            rig.now += 4 * kSecond;
            rig.record_list(ListKind::incremental,
                            {server_started_at(5, rig.now - 4300, server_clock_offset)});
            rig.record_list(ListKind::snapshot,
                            {warm_server(1), server_started_at(5, rig.now - 4300, server_clock_offset)});
            EXPECT_EQ(rig.age(5), 4 * kSecond) << local_clock_offset << " " << server_clock_offset;
            EXPECT_EQ(rig.age(1), kInfinity);
        }
    }
}

TEST(ServerAgesTest, SteppedLocalClockDoesNotOverestimateAgeOfYoungestServerInFirstList) {
    for (const Millis local_clock_offset : kClockSteps) {
        AgesRig rig;
        rig.wall_clock_offset = local_clock_offset;
        auto servers = warm_servers(1, 3);
        servers.push_back(server_started_at(4, kNow - 2 * kSecond));
        rig.record_list(ListKind::cached, servers, kInfinity);
        EXPECT_LE(rig.age(4), 2 * kSecond) << local_clock_offset;
        EXPECT_GE(rig.age(4), 0) << local_clock_offset;
        EXPECT_EQ(rig.age(1), kInfinity) << local_clock_offset;
        // The same must hold if the start times of the other servers are known.
        AgesRig other;
        other.wall_clock_offset = local_clock_offset;
        other.record_list(ListKind::cached,
                          {server_started_at(1, kNow - 60 * kSecond), server_started_at(2, kNow - kHour),
                           server_started_at(3, kNow - 2 * kHour), server_started_at(4, kNow - 2 * kSecond)},
                          kInfinity);
        EXPECT_LE(other.age(4), 2 * kSecond) << local_clock_offset;
        if (local_clock_offset > 0) {
            EXPECT_GE(other.age(1), 58 * kSecond)
                << "the start of the youngest server proves the age of this one";
            EXPECT_GE(other.age(2), kHour - 2 * kSecond);
        }
    }
}

TEST(ServerAgesTest, FirstListGivesAgesWithCorrectClocks) {
    AgesRig rig;
    std::vector<ServerInfo> servers;  // one start every half second, the last one at the current time
    for (ServerId id = 1; id <= 40; ++id) servers.push_back(server_started_at(id, kNow - 500.0 * (40 - id)));
    rig.record_list(ListKind::cached, servers, kInfinity);
    for (ServerId id = 1; id <= 40; ++id) EXPECT_NEAR(rig.age(id), 500.0 * (40 - id), 1) << id;
}

// A whole fleet was replaced some time ago. A sidecar that starts may treat a part of it as being in slow
// start, but never most of it.
TEST(ServerAgesTest, OnlyAQuarterOfAReplacedFleetIsInSlowStartForANewSidecar) {
    AgesRig rig;
    std::vector<ServerInfo> servers;
    for (ServerId id = 1; id <= 40; ++id) servers.push_back(server_started_at(id, kNow - kHour + id));
    rig.record_list(ListKind::cached, servers, kInfinity);
    int in_slow_start = 0;
    for (ServerId id = 1; id <= 40; ++id) in_slow_start += rig.age(id) < 20 * kSecond;
    EXPECT_EQ(in_slow_start, 10);
    AgesRig alone;
    alone.record_list(ListKind::cached, {server_started_at(1, kNow - kHour)}, kInfinity);
    EXPECT_NEAR(alone.age(1), kHour, 1) << "no other server could take requests";
}

TEST(ServerAgesTest, TwoAgreeingServersCorrectALocalClockThatIsBehind) {
    AgesRig rig;
    rig.wall_clock_offset = -kHour;
    std::vector<ServerInfo> servers;
    for (ServerId id = 1; id <= 40; ++id)
        servers.push_back(server_started_at(id, kNow - 60.0 * kSecond * (41 - id)));
    rig.record_list(ListKind::cached, servers, kInfinity);
    for (ServerId id = 1; id <= 38; ++id) EXPECT_GE(rig.age(id), 60 * kSecond) << id;
    EXPECT_EQ(rig.age(40), 0);
    // A single server with a later time may be wrong itself.
    AgesRig other;
    other.record_list(ListKind::cached,
                      {warm_server(1), server_started_at(2, kNow - 3 * kSecond),
                       server_started_at(3, kNow - 2 * kHour, 4 * kHour)},
                      kInfinity);
    EXPECT_NEAR(other.age(2), 3 * kSecond, 1);
    EXPECT_EQ(other.age(3), 0) << "the claimed start is in the future";
}

TEST(ServerAgesTest, EarlierStartIsAnotherProcess) {
    AgesRig rig;
    rig.record_list(ListKind::cached, {warm_server(1), warm_server(2), server_started_at(3, kNow - kHour)},
                    kInfinity);
    const auto before = rig.process(3);
    rig.now += kHour;
    const ServerInfo again = server_started_at(3, rig.now, -3 * kHour);
    rig.record_list(ListKind::incremental, {again});
    EXPECT_NE(rig.process(3), before);
    EXPECT_EQ(rig.age(3), 0);
    // An outdated list reports the earlier process: the age of the running process does not change.
    const auto now = rig.process(3);
    rig.now += 2 * kSecond;
    rig.record_list(ListKind::snapshot, {warm_server(1), warm_server(2), server_started_at(3, kNow - kHour)});
    EXPECT_EQ(rig.process(3), now);
    EXPECT_EQ(rig.age(3), 2 * kSecond);
    rig.now += 2 * kSecond;
    rig.record_list(ListKind::snapshot, {warm_server(1), warm_server(2), again});
    EXPECT_EQ(rig.process(3), now);
    EXPECT_EQ(rig.age(3), 4 * kSecond);
    // An entry without a start time carries no new information.
    rig.record_list(ListKind::incremental, {warm_server(3)});
    EXPECT_EQ(rig.age(3), 4 * kSecond);
}

TEST(ServerAgesTest, ReturningServerWithTheSameStartTimeIsTheSameProcess) {
    AgesRig rig;
    rig.record_list(ListKind::cached,
                    {warm_server(1), warm_server(2), server_started_at(3, kNow - kHour),
                     server_started_at(4, kNow - kHour - 1)},
                    kInfinity);
    rig.record_list(ListKind::snapshot, {warm_server(1), warm_server(2)});
    rig.ages.mark_departed(3);
    rig.now += kHour;
    rig.record_list(ListKind::incremental, {server_started_at(3, kNow - kHour)});
    EXPECT_GE(rig.age(3), kHour);
    EXPECT_EQ(rig.process(3), 2U);
}

TEST(ServerAgesTest, KeepsRecordsOfDepartedServersUpToABound) {
    AgesRig rig;
    rig.record_list(ListKind::cached, warm_servers(1, 4), kInfinity);
    const auto add_and_remove = [&](ServerId id) {
        rig.record_list(ListKind::incremental, {server_started_at(id, rig.now)});
        ServerInfo removed_server = server_started_at(id, rig.now);
        removed_server.state = EndpointState::removed;
        rig.record_list(ListKind::incremental, {removed_server});
        rig.ages.mark_departed(id);
    };
    for (ServerId id = 10; id <= 10 + ServerAges::kMaxDeparted; ++id) add_and_remove(id);
    EXPECT_EQ(rig.process(10), 0U) << "the oldest record is removed";
    EXPECT_EQ(rig.process(11), 2U);
    EXPECT_EQ(rig.process(1), 1U);
}

TEST(ServerAgesTest, AfterOutageFewStartsCountAsNewAndManyAsClaimedUpToOutageLength) {
    const Millis outage = 60 * kSecond;
    for (const Millis local_clock_offset : {0.0, -kHour, kHour}) {
        AgesRig rig;
        rig.record_list(ListKind::snapshot, warm_servers(1, 40), kInfinity);
        rig.now += kHour;
        rig.wall_clock_offset = local_clock_offset;
        std::vector<ServerInfo> few;
        for (ServerId id = 41; id <= 50; ++id)
            few.push_back(server_started_at(id, rig.now - 50 * kSecond, -kHour));
        rig.record_list(ListKind::incremental, few, outage);
        for (ServerId id = 41; id <= 50; ++id) EXPECT_EQ(rig.age(id), 0) << id;
        std::vector<ServerInfo> many;
        for (ServerId id = 101; id <= 140; ++id)
            many.push_back(server_started_at(id, rig.now - 1000.0 * (id - 100)));
        rig.now += outage;
        rig.record_list(ListKind::snapshot, many, outage);
        for (ServerId id = 101; id <= 110; ++id) EXPECT_LE(rig.age(id), rig.now - kNow) << id;
        for (ServerId id = 101; id <= 140; ++id) EXPECT_LE(rig.age(id), outage) << id;
        EXPECT_EQ(rig.age(101), 0) << "no other server proves the age of the youngest";
        if (local_clock_offset == 0) {
            EXPECT_EQ(rig.age(140), outage);
        }
    }
}

TEST(ServerAgesTest, WithoutWallClockStartsAreOnTheModulesClock) {
    ServerAges ages;
    ServerInfo server;
    server.id = 1;
    server.online_since = kNow - 3000;
    ages.record_list({ListKind::snapshot, {server, warm_server(2)}}, kNow);
    EXPECT_EQ(ages.process_of(1).started_at, kNow - 3000);
    EXPECT_EQ(ages.process_of(2).started_at, ServerAges::kLongAgo);
}

// ---- Properties -----------------------------------------------------------------------------------------

// At most one clock is wrong: the local one or that of one server. Servers that start while the list is up to
// date, and the youngest part of a first list, never count as older than they are. No age is negative, so
// slow start ends in time.
TEST(ServerAgesTest, NeverOverestimatesAgeWhileOneClockIsWrong) {
    ::setenv("RC_PARAMS", "seed=20261202 max_success=2000", 0);
    const bool holds = rc::check("no server counts as older than it is", [] {
        AgesRig rig;
        const auto count = *rc::gen::inRange<ServerId>(2, 40);
        const auto wrong = *rc::gen::inRange<ServerId>(0, count + 1);  // 0: the local clock
        if (wrong == 0) rig.wall_clock_offset = *rc::gen::element(-kHour, -5 * kSecond, 5 * kSecond, kHour);
        const Millis server_clock_offset = *rc::gen::element(-kHour, -5 * kSecond, 0.0, 5 * kSecond, kHour);
        // The number of servers whose claimed ages are not trusted.
        const auto young = std::max<ServerId>(1, count / 4);
        std::vector<Millis> starts(count + 1);
        std::vector<ServerInfo> servers;
        for (ServerId id = 1; id <= count; ++id) {
            const bool is_young = id <= young;
            starts[id] =
                kNow - (is_young ? *rc::gen::inRange(0, 20000) : *rc::gen::inRange(30000, 20 * 3600 * 1000));
            servers.push_back(server_started_at(id, starts[id], id == wrong ? server_clock_offset : 0));
        }
        rig.record_list(ListKind::cached, servers, kInfinity);
        for (ServerId id = 1; id <= count; ++id) {
            RC_ASSERT(rig.age(id) >= 0);
            // In a first list, only a server's own clock shows when it started.
            if (id != wrong && (id <= young || wrong != 0)) RC_ASSERT(rig.age(id) <= kNow - starts[id] + 1);
        }
        // From here on the list is up to date when each start is reported, and the local clock is stepped as
        // well.
        const auto events = *rc::gen::container<std::vector<std::pair<ServerId, int>>>(
            rc::gen::pair(rc::gen::inRange<ServerId>(1, count + 1), rc::gen::inRange(0, 5)));
        for (const auto& [id, kind] : events) {
            rig.now += 700;
            if (kind == 0) {
                rig.wall_clock_offset = *rc::gen::element(-kHour, -5 * kSecond, 0.0, 5 * kSecond, kHour);
                continue;
            }
            const Millis clock_offset = kind == 1 ? -kHour : kind == 2 ? kHour : 0;
            const Millis before = rig.age(id);
            starts[id] = rig.now - 200;
            rig.record_list(ListKind::incremental, {server_started_at(id, starts[id], clock_offset)}, 500);
            RC_ASSERT(rig.age(id) == 0 && before >= 0);
        }
        for (ServerId id = 1; id <= count; ++id) RC_ASSERT(rig.age(id) >= 0);
    });
    EXPECT_TRUE(holds);
}

}  // namespace
}  // namespace elmbay::balancer
