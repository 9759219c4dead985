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
    bool all_see(MemberId of, MemberState state) {
        for (MemberId id = 0; id < count(); ++id)
            if (id != of && runs(id) && !frozen(id) && held(id, of) != state) return false;
        return true;
    }
    bool views(View wanted) {
        for (MemberId id = 0; id < count(); ++id)
            if (runs(id) && view(id) != wanted) return false;
        return true;
    }
    bool settled(Millis within = kMinute) {
        return until([this] { return right() && agree(); }, within);
    }
    std::uint64_t failures() {
        std::uint64_t sum = 0;
        for (MemberId id = 0; id < count(); ++id) sum += runs(id) ? (*this)[id].counters().failures : 0;
        return sum;
    }
};

TEST(Membership, MembersThatStartTogetherFindEachOther) {
    VirtualFleet fleet(20);
    fleet.start_all();
    EXPECT_EQ(fleet.view(3), View::unknown);
    EXPECT_TRUE(fleet.until([&] { return fleet.right() && fleet.agree(); }, 5000));
    fleet.run_for(6000);
    for (MemberId id = 0; id < 20; ++id) {
        EXPECT_EQ(fleet.view(id), View::whole);
        EXPECT_EQ(fleet[id].update_siblings(fleet.now()), 20U);
    }
    VirtualFleet one(1);
    one.start_all();
    EXPECT_EQ(one.view(0), View::whole);
    EXPECT_FALSE(one[0].next_due() < 1e300) << "nothing to do, so nothing that wakes it";
}

// What is explored or measured in virtual time can be played again: the same seed gives the same datagrams.
TEST(Membership, SameSeedSendsSameDatagrams) {
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
TEST(Membership, DistinguishesKilledLeftAndSilentMembers) {
    Fleet fleet(20);
    fleet.kill(3);
    EXPECT_TRUE(fleet.until([&] { return fleet.all_see(3, MemberState::gone); }, 4000));
    EXPECT_TRUE(fleet.views(View::whole)) << "nobody is missed";
    fleet.end(4);
    EXPECT_TRUE(fleet.until([&] { return fleet.all_see(4, MemberState::left); }, 2000));
    EXPECT_TRUE(fleet.views(View::whole));
    fleet.freeze(5);
    EXPECT_TRUE(fleet.until([&] { return fleet.all_see(5, MemberState::failed); }, 12000));
    for (MemberId id = 0; id < 20; ++id)
        if (fleet.runs(id) && id != 5) {
            EXPECT_EQ(fleet.view(id), View::part);
        }
    fleet.thaw(5);
    EXPECT_TRUE(fleet.until([&] { return fleet.all_see(5, MemberState::alive); }, 8000));
    EXPECT_TRUE(fleet.settled());
    fleet.start(3), fleet.start(4);
    EXPECT_TRUE(fleet.settled(8000));
    EXPECT_TRUE(fleet.views(View::whole));
}

TEST(Membership, FailsNobodyOverOneWayLinksAndBridges) {
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

TEST(Membership, FailsNobodyUnderLossDelayDuplicatesAndCorruption) {
    Fleet fleet(20);
    fleet.net.loss = 0.3;
    fleet.net.repeat = 0.2;
    fleet.net.garble = 0.02;
    fleet.net.max_delay = 60;
    fleet.run_for(10 * kMinute);
    EXPECT_EQ(fleet.false_failures, 0U);
    fleet.net = {};
    EXPECT_TRUE(fleet.settled());
}

TEST(Membership, FailsNobodyOverFlappingLink) {
    Fleet fleet(6);
    fleet.cut = [&](MemberId from, MemberId to) {
        return (from == 0) != (to == 0) && std::fmod(fleet.now(), 2000) < 700;
    };
    fleet.run_for(2 * kMinute);
    EXPECT_EQ(fleet.failures(), 0U);
}

// Freezes of 75 to 270 ms are how the machines are; one of 10 s is found, and who wakes takes nobody for
// dead.
TEST(Membership, FailsNobodyAfterOwnStall) {
    Fleet fleet(12);
    Random random(4);
    for (int i = 0; i < 400; ++i) {
        const auto id = static_cast<MemberId>(random.below(12));
        fleet.freeze(id);
        fleet.run_for(75 + 195 * random.uniform());
        fleet.thaw(id);
        fleet.run_for(200 * random.uniform());
    }
    EXPECT_EQ(fleet.failures(), 0U);
    fleet.freeze(7);
    fleet.run_for(10000);
    EXPECT_TRUE(fleet.all_see(7, MemberState::failed));
    const auto before = fleet[7].counters().failures;
    fleet.thaw(7);
    fleet.run_for(10000);
    EXPECT_EQ(fleet[7].counters().failures, before);
    EXPECT_TRUE(fleet.settled());
}

TEST(Membership, FailsNobodyWhenAllMembersStallAtOnce) {
    Fleet fleet(12);
    for (int round = 0; round < 20; ++round) {
        for (MemberId id = 0; id < 12; ++id) fleet.freeze(id);
        fleet.run_for(3000);
        for (MemberId id = 0; id < 12; ++id) fleet.thaw(id);
        fleet.run_for(300);
    }
    EXPECT_EQ(fleet.failures(), 0U);
    // Awake for so little that the answers come while all sleep again.
    for (int round = 0; round < 50; ++round) {
        for (MemberId id = 0; id < 12; ++id) fleet.freeze(id);
        fleet.run_for(2000);
        for (MemberId id = 0; id < 12; ++id) fleet.thaw(id);
        fleet.run_for(5);
    }
    EXPECT_EQ(fleet.failures(), 0U);
    std::uint64_t suspicions = 0;
    for (MemberId id = 0; id < 12; ++id) suspicions += fleet[id].counters().suspicions;
    EXPECT_EQ(suspicions, 0U) << "whoever slept looked at its clock before it blamed others";
    EXPECT_TRUE(fleet.settled());
}

// Three lives in a second, datagrams of each still on their way when the next begins; then one whose clock is
// ten minutes behind its last life's.
TEST(Membership, RestartedProcessReplacesEarlierOneForAnyClock) {
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
TEST(Membership, OlderOfTwoProcessesUnderOneIdYields) {
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

TEST(Membership, CorrectsWrongPeerAddressesBySenderId) {
    VirtualFleet fleet(8);
    fleet.member_at = [](MemberId of, std::uint32_t place) {
        return of == 3 && place < 2 ? 1 - place : place;  // 3 has 0 and 1 the wrong way round
    };
    fleet.start_all();
    fleet.run_for(kMinute);
    EXPECT_TRUE(fleet.right() && fleet.agree());
    EXPECT_EQ(fleet[3].member(0).address_index, 1U);
    std::uint64_t failures = 0;
    for (MemberId id = 0; id < 8; ++id) failures += fleet[id].counters().failures;
    EXPECT_EQ(failures, 0U);
}

// One says of all others that they are gone, again and again; and what was said days ago is said again.
TEST(Membership, RefutesForgedAndReplayedDatagramsAtBoundedRate) {
    Fleet fleet(12);
    std::vector<std::string> old;
    for (int round = 0; round < 60; ++round) {
        Message lie;
        lie.from = 11;
        lie.incarnation = fleet[11].member(11).incarnation;
        lie.state = MemberState::alive;
        for (MemberId id = 0; id < 11; ++id)
            lie.updates.push_back(
                {id,
                 {fleet[id].member(id).incarnation.counter, fleet[id].member(id).incarnation.nonce},
                 round % 2 ? MemberState::gone : MemberState::failed,
                 0});
        old.push_back(encode(lie));
        for (MemberId id = 0; id < 11; ++id) {
            fleet.inject(id, 11, old.back());
            EXPECT_GE(fleet[id].update_siblings(fleet.now()), 3U);
        }
        fleet.run_for(500);
    }
    EXPECT_TRUE(fleet.settled(15000));
    for (const std::string& bytes : old)
        for (MemberId id = 0; id < 11; ++id) fleet.inject(id, 11, bytes);
    EXPECT_TRUE(fleet.right());
    // An incarnation far beyond any clock is a lie, and would leave nothing to answer it with.
    Message far;
    far.from = 11;
    far.incarnation = fleet[11].member(11).incarnation;
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
TEST(Membership, BothSidesSeePartitionAndRecover) {
    Fleet fleet(24);
    const auto side = [](MemberId id) { return id % 3 == 0; };
    fleet.kill(20);
    EXPECT_TRUE(fleet.until([&] { return fleet.all_see(20, MemberState::gone); }, 8000));
    fleet.cut = [&](MemberId from, MemberId to) { return side(from) != side(to); };
    const auto seen = [&] {
        for (MemberId observer = 0; observer < 24; ++observer)
            for (MemberId id = 0; fleet.runs(observer) && id < 24; ++id) {
                const bool is_held_present = fleet.held(observer, id) <= MemberState::suspect;
                const bool is_on_same_side = side(observer) == side(id);
                if (fleet.runs(id) && is_held_present != is_on_same_side) return false;
            }
        return true;
    };
    EXPECT_TRUE(fleet.until(seen, 20000));
    fleet.end(3);
    fleet.kill(4);
    fleet.start(20);
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
    EXPECT_EQ(fleet[7].update_siblings(fleet.now()), 24U);
    fleet.cut = [](MemberId, MemberId) { return false; };
    EXPECT_TRUE(fleet.settled(15000));
}

// Seven in ten are killed and return; half are, without their machines saying so; a split on top. At no step
// do all that run act on more than the whole and kMaxTakeover of it together.
TEST(Membership, SharesOfAllMembersNeverExceedMaxTakeover) {
    for (const bool refuses : {true, false}) {
        Fleet fleet(40);
        fleet.refuses = refuses;
        double most = 0;
        fleet.after_step = [&] {
            double sum = 0;
            for (MemberId id = 0; id < 40; ++id)
                if (fleet.runs(id)) sum += 1.0 / fleet[id].update_siblings(fleet.now());
            most = std::max(most, sum);
        };
        for (MemberId id = 0; id < 28; ++id) fleet.kill(id);
        fleet.run_for(25000);
        const std::uint32_t taken_over = fleet[39].update_siblings(fleet.now());
        if (refuses) {
            EXPECT_LT(taken_over, 20U);  // 12 there of 40: 40 / (1 + 0.4 * 40 / 12) = 17.2
        } else {
            EXPECT_EQ(taken_over, 40U);  // they may be on the other side of a split
        }
        for (MemberId id = 0; id < 28; ++id) fleet.start(id);
        fleet.cut = [](MemberId from, MemberId to) { return (from < 20) != (to < 20); };
        fleet.run_for(20000);
        fleet.cut = [](MemberId, MemberId) { return false; };
        fleet.run_for(30000);
        EXPECT_EQ(fleet[39].update_siblings(fleet.now()), 40U);
        EXPECT_LE(most, 1 + SiblingEstimate::kMaxTakeover + 1e-9);
        EXPECT_GT(most, refuses ? 1.2 : 0.99);
    }
}

// One event drawn at random; nothing if it makes no sense for the member that is drawn.
// lives: by id, how often each has been started after the first time.
void apply_random_event(VirtualFleet& fleet, std::vector<std::uint64_t>& lives) {
    const auto id = *rc::gen::inRange<MemberId>(0, fleet.count());
    const auto group = *rc::gen::arbitrary<std::uint32_t>();
    switch (*rc::gen::inRange(0, 8)) {
        case 0:
            if (fleet.runs(id)) fleet.kill(id);
            break;
        case 1:
            if (!fleet.runs(id)) {
                ++lives[id];
                fleet.start(id, 1000.0 * *rc::gen::inRange(-600, 600));
            }
            break;
        case 2:
            if (fleet.runs(id) && !fleet.frozen(id)) fleet.end(id);
            break;
        case 3:
            fleet.freeze(id);
            break;
        case 4:
            fleet.thaw(id);
            break;
        case 5:
            fleet.cut = [group](MemberId from, MemberId to) {
                return (group >> from & 1U) != (group >> to & 1U);
            };
            break;
        case 6:
            fleet.net.loss = *rc::gen::inRange(0, 5) / 10.0;
            fleet.net.repeat = 0.2;
            fleet.net.max_delay = *rc::gen::inRange(14, 800);
            break;
        default:
            fleet.cut = [group](MemberId from, MemberId to) {
                return (group >> (from * 4 + to) % 32 & 3U) == 3;
            };
    }
}

// Whatever happens: tables add up at every step, no two lives have an incarnation in common, and once all is
// still everybody holds the same and what is.
TEST(Membership, ConvergesAfterAnyRandomSchedule) {
    EXPECT_TRUE(rc::check([] {
        const auto count = *rc::gen::inRange<std::uint32_t>(2, 9);
        VirtualFleet fleet(count, *rc::gen::arbitrary<std::uint64_t>());
        fleet.start_all();
        std::map<std::pair<MemberId, Incarnation>, std::uint64_t> incarnation_owner;
        std::vector<std::uint64_t> lives(count, 0);
        fleet.after_step = [&] {
            for (MemberId id = 0; id < count; ++id) {
                if (!fleet.runs(id)) continue;
                const Headcount headcount = fleet[id].headcount();
                RC_ASSERT(headcount.present + headcount.silent + headcount.ended == count);
                RC_ASSERT(fleet.held(id, id) <= MemberState::alive);
                const auto [owner, is_new] =
                    incarnation_owner.try_emplace({id, fleet[id].member(id).incarnation}, lives[id]);
                RC_ASSERT(is_new || owner->second == lives[id]);
            }
        };
        const int steps = *rc::gen::inRange(5, 25);
        for (int i = 0; i < steps; ++i) {
            apply_random_event(fleet, lives);
            fleet.run_for(*rc::gen::inRange(1, 8000));
        }
        fleet.cut = [](MemberId, MemberId) { return false; };
        fleet.net = {};
        for (MemberId id = 0; id < count; ++id) fleet.thaw(id);
        RC_ASSERT(fleet.until([&] { return fleet.right() && fleet.agree(); }, 90000));
    }));
}

}  // namespace
}  // namespace elmbay::cluster
