// When servers started (ServerAges), with wall clocks that are wrong or stepped.
#include "balancer/server_age.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <limits>
#include <vector>

namespace elmbay::balancer {
namespace {

constexpr Millis kSecond = 1000, kHour = 3600 * kSecond;
constexpr Millis kUnix = 1.7e12;    // the true wall clock at time 0 of the module's clock
constexpr Millis kNow = 7 * kHour;  // of the module's clock
constexpr Millis kEver = std::numeric_limits<Millis>::infinity();
constexpr Millis kSteps[] = {-kHour, -5 * kSecond, 5 * kSecond, kHour};

// A server whose process started at that time of the module's clock, as its own wall clock, off by so much,
// has it.
ServerInfo started(ServerId id, Millis at, Millis off = 0) {
    ServerInfo info;
    info.id = id;
    info.online_since = kUnix + at + off;
    return info;
}
ServerInfo old(ServerId id) {
    ServerInfo info;
    info.id = id;
    return info;
}
std::vector<ServerInfo> old_servers(ServerId from, ServerId to) {
    std::vector<ServerInfo> servers;
    for (ServerId id = from; id <= to; ++id) servers.push_back(old(id));
    return servers;
}

// ServerAges with a clock and this machine's wall clock, which is off by wall_off.
struct AgesRig {
    ServerAges ages;
    Millis now = kNow;
    Millis wall_off = 0;

    void record_list(ListKind kind, std::vector<ServerInfo> servers, Millis list_age_bound = 0) {
        ages.record_list({kind, std::move(servers), kUnix + now + wall_off, list_age_bound}, now);
    }
    Millis age(ServerId id) const { return now - ages.process_of(id).started_at; }
    std::uint32_t process(ServerId id) const { return ages.process_of(id).number; }
};

TEST(ServerAgesTest, StartOnALiveListCountsFromItsHearingWhateverTheClocks) {
    for (const Millis own_off : kSteps) {
        for (const Millis server_off : kSteps) {
            AgesRig rig;
            rig.wall_off = own_off;
            rig.record_list(ListKind::cached, old_servers(1, 4), kEver);
            rig.now += kHour;
            rig.record_list(ListKind::incremental, {started(5, rig.now - 300, server_off)});
            EXPECT_EQ(rig.age(5), 0) << own_off << " " << server_off;
            rig.wall_off = -own_off;  // stepped while it warms up
            rig.now += 4 * kSecond;
            rig.record_list(ListKind::incremental, {started(5, rig.now - 4300, server_off)});
            rig.record_list(ListKind::snapshot, {old(1), started(5, rig.now - 4300, server_off)});
            EXPECT_EQ(rig.age(5), 4 * kSecond) << own_off << " " << server_off;
            EXPECT_EQ(rig.age(1), kEver);
        }
    }
}

TEST(ServerAgesTest, YoungestOfFirstListIsNotTooWarmWithSteppedOwnClock) {
    for (const Millis own_off : kSteps) {
        AgesRig rig;
        rig.wall_off = own_off;
        auto servers = old_servers(1, 3);
        servers.push_back(started(4, kNow - 2 * kSecond));
        rig.record_list(ListKind::cached, servers, kEver);
        EXPECT_LE(rig.age(4), 2 * kSecond) << own_off;
        EXPECT_GE(rig.age(4), 0) << own_off;
        EXPECT_EQ(rig.age(1), kEver) << own_off;
        // Also where the starts of the others are known.
        AgesRig other;
        other.wall_off = own_off;
        other.record_list(ListKind::cached,
                          {started(1, kNow - 60 * kSecond), started(2, kNow - kHour),
                           started(3, kNow - 2 * kHour), started(4, kNow - 2 * kSecond)},
                          kEver);
        EXPECT_LE(other.age(4), 2 * kSecond) << own_off;
        if (own_off > 0) {
            EXPECT_GE(other.age(1), 58 * kSecond) << "the youngest proves that this one is older";
            EXPECT_GE(other.age(2), kHour - 2 * kSecond);
        }
    }
}

TEST(ServerAgesTest, FirstListGivesAgesWithCorrectClocks) {
    AgesRig rig;
    std::vector<ServerInfo> servers;  // one start every half second, the last one now
    for (ServerId id = 1; id <= 40; ++id) servers.push_back(started(id, kNow - 500.0 * (40 - id)));
    rig.record_list(ListKind::cached, servers, kEver);
    for (ServerId id = 1; id <= 40; ++id) EXPECT_NEAR(rig.age(id), 500.0 * (40 - id), 1) << id;
}

// A fleet was replaced at once, some time ago. A sidecar that starts may take a part of it for servers in
// slow start, never most of it.
TEST(ServerAgesTest, OnlyAQuarterOfAReplacedFleetIsInSlowStartForANewSidecar) {
    AgesRig rig;
    std::vector<ServerInfo> servers;
    for (ServerId id = 1; id <= 40; ++id) servers.push_back(started(id, kNow - kHour + id));
    rig.record_list(ListKind::cached, servers, kEver);
    int in_slow_start = 0;
    for (ServerId id = 1; id <= 40; ++id) in_slow_start += rig.age(id) < 20 * kSecond;
    EXPECT_EQ(in_slow_start, 10);
    AgesRig alone;
    alone.record_list(ListKind::cached, {started(1, kNow - kHour)}, kEver);
    EXPECT_NEAR(alone.age(1), kHour, 1) << "nobody else could serve";
}

TEST(ServerAgesTest, TwoServersThatAgreeCorrectAnOwnClockThatIsBehind) {
    AgesRig rig;
    rig.wall_off = -kHour;
    std::vector<ServerInfo> servers;
    for (ServerId id = 1; id <= 40; ++id) servers.push_back(started(id, kNow - 60.0 * kSecond * (41 - id)));
    rig.record_list(ListKind::cached, servers, kEver);
    for (ServerId id = 1; id <= 38; ++id) EXPECT_GE(rig.age(id), 60 * kSecond) << id;
    EXPECT_EQ(rig.age(40), 0);
    // One alone may be wrong itself.
    AgesRig other;
    other.record_list(ListKind::cached,
                      {old(1), started(2, kNow - 3 * kSecond), started(3, kNow - 2 * kHour, 4 * kHour)},
                      kEver);
    EXPECT_NEAR(other.age(2), 3 * kSecond, 1);
    EXPECT_EQ(other.age(3), 0) << "its start is in our future";
}

TEST(ServerAgesTest, EarlierStartIsAnotherProcess) {
    AgesRig rig;
    rig.record_list(ListKind::cached, {old(1), old(2), started(3, kNow - kHour)}, kEver);
    const auto before = rig.process(3);
    rig.now += kHour;
    const ServerInfo again = started(3, rig.now, -3 * kHour);
    rig.record_list(ListKind::incremental, {again});
    EXPECT_NE(rig.process(3), before);
    EXPECT_EQ(rig.age(3), 0);
    // A list that lags behind names the earlier one: what runs there is as young as before.
    const auto now = rig.process(3);
    rig.now += 2 * kSecond;
    rig.record_list(ListKind::snapshot, {old(1), old(2), started(3, kNow - kHour)});
    EXPECT_EQ(rig.process(3), now);
    EXPECT_EQ(rig.age(3), 2 * kSecond);
    rig.now += 2 * kSecond;
    rig.record_list(ListKind::snapshot, {old(1), old(2), again});
    EXPECT_EQ(rig.process(3), now);
    EXPECT_EQ(rig.age(3), 4 * kSecond);
    // One that says nothing of its start says nothing new.
    rig.record_list(ListKind::incremental, {old(3)});
    EXPECT_EQ(rig.age(3), 4 * kSecond);
}

TEST(ServerAgesTest, ServerThatReturnsWithTheSameStartIsTheSameProcess) {
    AgesRig rig;
    rig.record_list(ListKind::cached,
                    {old(1), old(2), started(3, kNow - kHour), started(4, kNow - kHour - 1)}, kEver);
    rig.record_list(ListKind::snapshot, {old(1), old(2)});
    rig.ages.forget(3);
    rig.now += kHour;
    rig.record_list(ListKind::incremental, {started(3, kNow - kHour)});
    EXPECT_GE(rig.age(3), kHour);
    EXPECT_EQ(rig.process(3), 2U);
}

TEST(ServerAgesTest, RemembersDepartedServersUpToABound) {
    AgesRig rig;
    rig.record_list(ListKind::cached, old_servers(1, 4), kEver);
    const auto come_and_go = [&](ServerId id) {
        rig.record_list(ListKind::incremental, {started(id, rig.now)});
        ServerInfo off = started(id, rig.now);
        off.state = EndpointState::removed;
        rig.record_list(ListKind::incremental, {off});
        rig.ages.forget(id);
    };
    for (ServerId id = 10; id <= 10 + ServerAges::kMaxDeparted; ++id) come_and_go(id);
    EXPECT_EQ(rig.process(10), 0U) << "the oldest is forgotten";
    EXPECT_EQ(rig.process(11), 2U);
    EXPECT_EQ(rig.process(1), 1U);
}

TEST(ServerAgesTest, AfterOutageFewStartsCountAsNewAndManyAsClaimedUpToItsLength) {
    const Millis outage = 60 * kSecond;
    for (const Millis own_off : {0.0, -kHour, kHour}) {
        AgesRig rig;
        rig.record_list(ListKind::snapshot, old_servers(1, 40), kEver);
        rig.now += kHour;
        rig.wall_off = own_off;
        std::vector<ServerInfo> few;
        for (ServerId id = 41; id <= 50; ++id) few.push_back(started(id, rig.now - 50 * kSecond, -kHour));
        rig.record_list(ListKind::incremental, few, outage);
        for (ServerId id = 41; id <= 50; ++id) EXPECT_EQ(rig.age(id), 0) << id;
        std::vector<ServerInfo> many;
        for (ServerId id = 101; id <= 140; ++id) many.push_back(started(id, rig.now - 1000.0 * (id - 100)));
        rig.now += outage;
        rig.record_list(ListKind::snapshot, many, outage);
        for (ServerId id = 101; id <= 110; ++id) EXPECT_LE(rig.age(id), rig.now - kNow) << id;
        for (ServerId id = 101; id <= 140; ++id) EXPECT_LE(rig.age(id), outage) << id;
        EXPECT_EQ(rig.age(101), 0) << "the youngest has no witness";
        if (own_off == 0) {
            EXPECT_EQ(rig.age(140), outage);
        }
    }
}

TEST(ServerAgesTest, WithoutWallClockStartsAreOnTheModulesClock) {
    ServerAges ages;
    ServerInfo one;
    one.id = 1;
    one.online_since = kNow - 3000;
    ages.record_list({ListKind::snapshot, {one, old(2)}}, kNow);
    EXPECT_EQ(ages.process_of(1).started_at, kNow - 3000);
    EXPECT_EQ(ages.process_of(2).started_at, ServerAges::kLongAgo);
}

// ---- Properties -----------------------------------------------------------------------------------------

// One clock at most is wrong: own_off, or that of one server. Servers on a live list, and the youngest part
// of a first list, never count as older than they are. No age is below 0, so slow start ends in time.
TEST(ServerAgesTest, IsNeverTooWarmWhileOneClockIsWrong) {
    ::setenv("RC_PARAMS", "seed=20261202 max_success=2000", 0);
    const bool holds = rc::check("no server counts as older than it is", [] {
        AgesRig rig;
        const auto count = *rc::gen::inRange<ServerId>(2, 40);
        const auto wrong = *rc::gen::inRange<ServerId>(0, count + 1);  // 0: our own clock
        if (wrong == 0) rig.wall_off = *rc::gen::element(-kHour, -5 * kSecond, 5 * kSecond, kHour);
        const Millis server_off = *rc::gen::element(-kHour, -5 * kSecond, 0.0, 5 * kSecond, kHour);
        const auto young = std::max<ServerId>(1, count / 4);  // as many as are doubted
        std::vector<Millis> starts(count + 1);
        std::vector<ServerInfo> servers;
        for (ServerId id = 1; id <= count; ++id) {
            const bool is_young = id <= young;
            starts[id] =
                kNow - (is_young ? *rc::gen::inRange(0, 20000) : *rc::gen::inRange(30000, 20 * 3600 * 1000));
            servers.push_back(started(id, starts[id], id == wrong ? server_off : 0));
        }
        rig.record_list(ListKind::cached, servers, kEver);
        for (ServerId id = 1; id <= count; ++id) {
            RC_ASSERT(rig.age(id) >= 0);
            // Nothing but its own clock tells when one in a first list started.
            if (id != wrong && (id <= young || wrong != 0)) RC_ASSERT(rig.age(id) <= kNow - starts[id] + 1);
        }
        // From here on all is heard of live, and our clock is stepped on top.
        const auto events = *rc::gen::container<std::vector<std::pair<ServerId, int>>>(
            rc::gen::pair(rc::gen::inRange<ServerId>(1, count + 1), rc::gen::inRange(0, 5)));
        for (const auto& [id, what] : events) {
            rig.now += 700;
            if (what == 0) {
                rig.wall_off = *rc::gen::element(-kHour, -5 * kSecond, 0.0, 5 * kSecond, kHour);
                continue;
            }
            const Millis off = what == 1 ? -kHour : what == 2 ? kHour : 0;
            const Millis before = rig.age(id);
            starts[id] = rig.now - 200;
            rig.record_list(ListKind::incremental, {started(id, starts[id], off)}, 500);
            RC_ASSERT(rig.age(id) == 0 && before >= 0);
        }
        for (ServerId id = 1; id <= count; ++id) RC_ASSERT(rig.age(id) >= 0);
    });
    EXPECT_TRUE(holds);
}

}  // namespace
}  // namespace elmbay::balancer
