// Membership in virtual time: each hard case of the network, of processes and of lies, and a property over
// schedules drawn by chance. Times here are the fleet's own, so they are exact.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "virtual_fleet.hpp"

namespace elmbay::cluster {
namespace {

constexpr Millis kMinute = 60000;

struct Fleet : VirtualFleet {
    explicit Fleet(std::uint32_t count, std::uint64_t seed = 1) : VirtualFleet(count, seed) {
        start_all();
        EXPECT_TRUE(until([this] { return right() && agree(); }, kMinute));
    }
    bool all_hold(MemberId of, MemberState state) {
        for (MemberId n = 0; n < count(); ++n)
            if (n != of && runs(n) && !frozen(n) && held(n, of) != state) return false;
        return true;
    }
    bool views(View wanted) {
        for (MemberId n = 0; n < count(); ++n)
            if (runs(n) && view(n) != wanted) return false;
        return true;
    }
    bool settled(Millis within = kMinute) {
        return until([this] { return right() && agree(); }, within);
    }
    std::uint64_t failures() {
        std::uint64_t sum = 0;
        for (MemberId n = 0; n < count(); ++n) sum += runs(n) ? (*this)[n].counters().failures : 0;
        return sum;
    }
};

TEST(Membership, ThatStartTogetherFindEachOther) {
    VirtualFleet fleet(20);
    fleet.start_all();
    EXPECT_EQ(fleet.view(3), View::unknown);
    EXPECT_TRUE(fleet.until([&] { return fleet.right() && fleet.agree(); }, 5000));
    fleet.run_for(6000);
    for (MemberId n = 0; n < 20; ++n) {
        EXPECT_EQ(fleet.view(n), View::whole);
        EXPECT_EQ(fleet[n].siblings(fleet.now()), 20U);
    }
    VirtualFleet one(1);
    one.start_all();
    EXPECT_EQ(one.view(0), View::whole);
    EXPECT_FALSE(one[0].next() < 1e300) << "nothing to do, so nothing that wakes it";
}

// What is explored or measured in virtual time can be played again: the same seed gives the same datagrams.
TEST(Membership, OfOneSeedSendTheSameDatagrams) {
    const auto traffic = [](std::uint64_t seed) {
        VirtualFleet fleet(8, seed);
        fleet.net.loss = 0.2;
        fleet.start_all();
        fleet.run_for(20000);
        return fleet.traffic_hash;
    };
    EXPECT_EQ(traffic(3), traffic(3));
    EXPECT_NE(traffic(3), traffic(4));
}

// Killed and its machine says so; killed and nothing is heard; ended in good order; frozen: each told apart
// as far as that goes.
TEST(Membership, AKillAnEndAndASilenceAreToldApart) {
    Fleet fleet(20);
    fleet.kill(3);
    EXPECT_TRUE(fleet.until([&] { return fleet.all_hold(3, MemberState::gone); }, 4000));
    EXPECT_TRUE(fleet.views(View::whole)) << "nobody is missed";
    fleet.end(4);
    EXPECT_TRUE(fleet.until([&] { return fleet.all_hold(4, MemberState::left); }, 2000));
    EXPECT_TRUE(fleet.views(View::whole));
    fleet.freeze(5);
    EXPECT_TRUE(fleet.until([&] { return fleet.all_hold(5, MemberState::failed); }, 12000));
    for (MemberId n = 0; n < 20; ++n)
        if (fleet.runs(n) && n != 5) {
            EXPECT_EQ(fleet.view(n), View::part);
        }
    fleet.thaw(5);
    EXPECT_TRUE(fleet.until([&] { return fleet.all_hold(5, MemberState::alive); }, 8000));
    EXPECT_TRUE(fleet.settled());
    fleet.start(3), fleet.start(4);
    EXPECT_TRUE(fleet.settled(8000));
    EXPECT_TRUE(fleet.views(View::whole));
}

TEST(Membership, OneWayLinksAndBridgesFailNobody) {
    Fleet fleet(9);
    fleet.cut = [](MemberId from, MemberId to) {
        if (from == 0 && to == 1) return true;                  // one way
        return from != 4 && to != 4 && (from < 4) != (to < 4);  // two halves that 4 hears both of
    };
    fleet.run_for(2 * kMinute);
    EXPECT_EQ(fleet.failures(), 0U);
    EXPECT_TRUE(fleet.right());
    EXPECT_TRUE(fleet[0].member(7).indirect_only) << "heard by way of the bridge";
    EXPECT_FALSE(fleet[0].member(4).indirect_only);
}

TEST(Membership, LossLatenessRepeatsAndGarbledBytesFailNobody) {
    Fleet fleet(20);
    fleet.net.loss = 0.3, fleet.net.repeat = 0.2, fleet.net.garble = 0.02, fleet.net.max_delay = 60;
    fleet.run_for(10 * kMinute);
    EXPECT_EQ(fleet.false_failures, 0U);
    fleet.net = {};
    EXPECT_TRUE(fleet.settled());
}

TEST(Membership, AFlappingLinkFailsNobody) {
    Fleet fleet(6);
    fleet.cut = [&](MemberId from, MemberId to) {
        return (from == 0) != (to == 0) && std::fmod(fleet.now(), 2000) < 700;
    };
    fleet.run_for(2 * kMinute);
    EXPECT_EQ(fleet.failures(), 0U);
}

// Freezes of 75 to 270 ms are how the machines are; one of 10 s is found, and who wakes takes nobody for
// dead.
TEST(Membership, WhoStandsStillForAWhileTakesNobodyForDead) {
    Fleet fleet(12);
    Random random(4);
    for (int i = 0; i < 400; ++i) {
        const auto n = static_cast<MemberId>(random.below(12));
        fleet.freeze(n);
        fleet.run_for(75 + 195 * random.unit());
        fleet.thaw(n);
        fleet.run_for(200 * random.unit());
    }
    EXPECT_EQ(fleet.failures(), 0U);
    fleet.freeze(7);
    fleet.run_for(10000);
    EXPECT_TRUE(fleet.all_hold(7, MemberState::failed));
    const auto before = fleet[7].counters().failures;
    fleet.thaw(7);
    fleet.run_for(10000);
    EXPECT_EQ(fleet[7].counters().failures, before);
    EXPECT_TRUE(fleet.settled());
}

TEST(Membership, TheWholeFleetStarvedAtOnceFailsNobody) {
    Fleet fleet(12);
    for (int round = 0; round < 20; ++round) {
        for (MemberId n = 0; n < 12; ++n) fleet.freeze(n);
        fleet.run_for(3000);
        for (MemberId n = 0; n < 12; ++n) fleet.thaw(n);
        fleet.run_for(300);
    }
    EXPECT_EQ(fleet.failures(), 0U);
    // Awake for so little that the answers come while all sleep again.
    for (int round = 0; round < 50; ++round) {
        for (MemberId n = 0; n < 12; ++n) fleet.freeze(n);
        fleet.run_for(2000);
        for (MemberId n = 0; n < 12; ++n) fleet.thaw(n);
        fleet.run_for(5);
    }
    EXPECT_EQ(fleet.failures(), 0U);
    std::uint64_t suspicions = 0;
    for (MemberId n = 0; n < 12; ++n) suspicions += fleet[n].counters().suspicions;
    EXPECT_EQ(suspicions, 0U) << "whoever slept looked at its clock before it blamed others";
    EXPECT_TRUE(fleet.settled());
}

// Three lives in a second, datagrams of each still on their way when the next begins; then one whose clock is
// ten minutes behind its last life's.
TEST(Membership, ALaterLifeWinsWhateverItsClockSays) {
    Fleet fleet(6);
    fleet.net.max_delay = 900;
    for (int i = 0; i < 3; ++i) {
        fleet.kill(2);
        fleet.start(2);
        fleet.run_for(300);
    }
    fleet.net = {};
    EXPECT_TRUE(fleet.settled(15000));
    const Incarnation before = fleet[0].member(2).incarnation;
    fleet.kill(2);
    fleet.start(2, -10 * kMinute);
    EXPECT_LT(fleet[2].member(2).incarnation, before);
    EXPECT_TRUE(fleet.until(
        [&] {
            const Incarnation now = fleet[2].member(2).incarnation;
            return fleet.right() && now > before && fleet[0].member(2).incarnation == now;
        },
        15000));
}

// Two processes under one name, each at an address of its own: the older says so and yields.
TEST(Membership, OfTwoUnderOneNameTheOlderYields) {
    for (const Millis off : {0.0, -5 * kMinute, 5 * kMinute}) {
        Fleet fleet(6);
        fleet.kill(5);
        fleet.run_for(60 * kMinute / 60);
        fleet.start(5, off, 2);  // at the place of 5, and takes itself for 2
        EXPECT_TRUE(fleet.until([&] { return fleet[2].yielded() || fleet[5].yielded(); }, kMinute)) << off;
        EXPECT_TRUE(fleet[2].yielded()) << off;
        fleet.run_for(10000);
        EXPECT_FALSE(fleet[5].yielded());
        EXPECT_EQ(fleet[0].member(2).incarnation, fleet[5].member(2).incarnation);
        EXPECT_EQ(fleet[0].member(2).address_index, 5U);
    }
}

TEST(Membership, AWrongListOfPeersIsPutRightByWhoTheyAre) {
    VirtualFleet fleet(8);
    fleet.member_at = [](MemberId of, std::uint32_t place) {
        return of == 3 && place < 2 ? 1 - place : place;  // 3 has 0 and 1 the wrong way round
    };
    fleet.start_all();
    fleet.run_for(kMinute);
    EXPECT_TRUE(fleet.right() && fleet.agree());
    EXPECT_EQ(fleet[3].member(0).address_index, 1U);
    std::uint64_t failures = 0;
    for (MemberId n = 0; n < 8; ++n) failures += fleet[n].counters().failures;
    EXPECT_EQ(failures, 0U);
}

// One says of all others that they are gone, again and again; and what was said days ago is said again.
TEST(Membership, ALiarAndAReplayAreAnsweredAndBounded) {
    Fleet fleet(12);
    std::vector<std::string> old;
    for (int round = 0; round < 60; ++round) {
        Message lie;
        lie.from = 11;
        lie.incarnation = fleet[11].member(11).incarnation;
        lie.state = MemberState::alive;
        for (MemberId n = 0; n < 11; ++n)
            lie.updates.push_back(
                {n,
                 {fleet[n].member(n).incarnation.counter, fleet[n].member(n).incarnation.nonce},
                 round % 2 ? MemberState::gone : MemberState::failed,
                 0});
        old.push_back(encode(lie));
        for (MemberId n = 0; n < 11; ++n) {
            fleet.inject(n, 11, old.back());
            EXPECT_GE(fleet[n].siblings(fleet.now()), 3U);
        }
        fleet.run_for(500);
    }
    EXPECT_TRUE(fleet.settled(15000));
    for (const std::string& bytes : old)
        for (MemberId n = 0; n < 11; ++n) fleet.inject(n, 11, bytes);
    EXPECT_TRUE(fleet.right());
    // An incarnation far beyond any clock is a lie, and would leave nothing to answer it with.
    Message far;
    far.from = 11, far.incarnation = fleet[11].member(11).incarnation;
    far.updates.push_back({3, {UINT32_MAX, 5}, MemberState::failed, 0});
    fleet.inject(0, 11, encode(far));
    EXPECT_EQ(fleet.held(0, 3), MemberState::alive);
    // From nobody's address, and bytes that are nothing.
    const auto before = fleet[0].counters();
    fleet.inject(0, {}, old.front());
    fleet.inject(0, 4, "nonsense");
    EXPECT_EQ(fleet[0].counters().unknown_senders, before.unknown_senders + 1);
    EXPECT_EQ(fleet[0].counters().malformed, before.malformed + 1);
    EXPECT_EQ(fleet[0].counters().received, before.received);
}

// 20 s of a split, with ends and joins on both sides; views are right while it lasts, and all agree after it.
TEST(Membership, ASplitIsSeenByBothSidesAndHeals) {
    Fleet fleet(24);
    const auto side = [](MemberId n) { return n % 3 == 0; };
    fleet.kill(20);
    EXPECT_TRUE(fleet.until([&] { return fleet.all_hold(20, MemberState::gone); }, 8000));
    fleet.cut = [&](MemberId from, MemberId to) { return side(from) != side(to); };
    const auto seen = [&] {
        for (MemberId a = 0; a < 24; ++a)
            for (MemberId b = 0; fleet.runs(a) && b < 24; ++b) {
                const bool there = fleet.held(a, b) <= MemberState::suspect;
                if (fleet.runs(b) && there != (side(a) == side(b))) return false;
            }
        return true;
    };
    EXPECT_TRUE(fleet.until(seen, 20000));
    fleet.end(3), fleet.kill(4), fleet.start(20);
    fleet.run_for(8000);
    EXPECT_TRUE(seen());
    EXPECT_TRUE(fleet.views(View::part));
    fleet.cut = [](MemberId, MemberId) { return false; };
    EXPECT_TRUE(fleet.settled(15000));
    EXPECT_TRUE(fleet.views(View::whole));
    // And one that is cut off from all knows that it is the one.
    fleet.cut = [](MemberId from, MemberId to) { return from == 7 || to == 7; };
    EXPECT_TRUE(fleet.until([&] { return fleet.view(7) == View::alone; }, 8000));
    fleet.run_for(30000);
    EXPECT_EQ(fleet[7].headcount().silent, 0U) << "it is not the others that are silent";
    EXPECT_EQ(fleet[7].siblings(fleet.now()), 24U);
    fleet.cut = [](MemberId, MemberId) { return false; };
    EXPECT_TRUE(fleet.settled(15000));
}

// Seven in ten are killed and return; half are, without their machines saying so; a split on top. At no step
// do all that run act on more than the whole and kMaxTakeover of it together.
TEST(Membership, WhatAllActOnNeverAddsUpToMoreThanIsSpared) {
    for (const bool refuses : {true, false}) {
        Fleet fleet(40);
        fleet.refuses = refuses;
        double most = 0;
        fleet.after_step = [&] {
            double sum = 0;
            for (MemberId n = 0; n < 40; ++n)
                if (fleet.runs(n)) sum += 1.0 / fleet[n].siblings(fleet.now());
            most = std::max(most, sum);
        };
        for (MemberId n = 0; n < 28; ++n) fleet.kill(n);
        fleet.run_for(25000);
        const std::uint32_t taken_over = fleet[39].siblings(fleet.now());
        if (refuses) {
            EXPECT_LT(taken_over, 20U);  // 12 there of 40: 40 / (1 + 0.4 * 40 / 12) = 17.2
        } else {
            EXPECT_EQ(taken_over, 40U);  // they may be on the other side of a split
        }
        for (MemberId n = 0; n < 28; ++n) fleet.start(n);
        fleet.cut = [](MemberId from, MemberId to) { return (from < 20) != (to < 20); };
        fleet.run_for(20000);
        fleet.cut = [](MemberId, MemberId) { return false; };
        fleet.run_for(30000);
        EXPECT_EQ(fleet[39].siblings(fleet.now()), 40U);
        EXPECT_LE(most, 1 + SiblingEstimate::kMaxTakeover + 1e-9);
        EXPECT_GT(most, refuses ? 1.2 : 0.99);
    }
}

// Whatever happens: tables add up at every step, no two lives have an incarnation in common, and once all is
// still everybody holds the same and what is.
TEST(Membership, AgreeOnWhatIsAfterAnySchedule) {
    EXPECT_TRUE(rc::check([] {
        const auto count = *rc::gen::inRange<std::uint32_t>(2, 9);
        VirtualFleet fleet(count, *rc::gen::arbitrary<std::uint64_t>());
        fleet.start_all();
        std::map<std::pair<MemberId, Incarnation>, std::uint64_t> said_by;
        std::vector<std::uint64_t> lives(count, 0);
        fleet.after_step = [&] {
            for (MemberId n = 0; n < count; ++n) {
                if (!fleet.runs(n)) continue;
                const Headcount c = fleet[n].headcount();
                RC_ASSERT(c.present + c.silent + c.ended == count);
                RC_ASSERT(fleet.held(n, n) <= MemberState::alive);
                const auto [at, fresh] = said_by.try_emplace({n, fleet[n].member(n).incarnation}, lives[n]);
                RC_ASSERT(fresh || at->second == lives[n]);
            }
        };
        const int deeds = *rc::gen::inRange(5, 25);
        for (int i = 0; i < deeds; ++i) {
            const auto n = *rc::gen::inRange<MemberId>(0, count);
            const auto group = *rc::gen::arbitrary<std::uint32_t>();
            switch (*rc::gen::inRange(0, 8)) {
                case 0:
                    if (fleet.runs(n)) fleet.kill(n);
                    break;
                case 1:
                    if (!fleet.runs(n)) ++lives[n], fleet.start(n, 1000.0 * *rc::gen::inRange(-600, 600));
                    break;
                case 2:
                    if (fleet.runs(n) && !fleet.frozen(n)) fleet.end(n);
                    break;
                case 3:
                    fleet.freeze(n);
                    break;
                case 4:
                    fleet.thaw(n);
                    break;
                case 5:
                    fleet.cut = [group](MemberId a, MemberId b) {
                        return (group >> a & 1U) != (group >> b & 1U);
                    };
                    break;
                case 6:
                    fleet.net.loss = *rc::gen::inRange(0, 5) / 10.0, fleet.net.repeat = 0.2;
                    fleet.net.max_delay = *rc::gen::inRange(14, 800);
                    break;
                default:
                    fleet.cut = [group](MemberId a, MemberId b) {
                        return (group >> (a * 4 + b) % 32 & 3U) == 3;
                    };
            }
            fleet.run_for(*rc::gen::inRange(1, 8000));
        }
        fleet.cut = [](MemberId, MemberId) { return false; };
        fleet.net = {};
        for (MemberId n = 0; n < count; ++n) fleet.thaw(n);
        RC_ASSERT(fleet.until([&] { return fleet.right() && fleet.agree(); }, 90000));
    }));
}

}  // namespace
}  // namespace elmbay::cluster
