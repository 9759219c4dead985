// Tests of Membership in virtual time: faults of the network and of processes, forged datagrams, and a
// property test with random schedules. Virtual time makes all times exact.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "virtual_fleet.hpp"

namespace elmbay::cluster {
namespace {

constexpr Millis kMinute = 60000;

struct Fleet : VirtualFleet {
    explicit Fleet(std::uint32_t count, std::uint64_t seed = 1) : VirtualFleet(count, seed) {
        start_all();
        EXPECT_TRUE(run_until([this] { return is_accurate() && digests_agree(); }, kMinute));
    }
    bool all_hold_state(MemberId member, MemberState state) {
        for (MemberId id = 0; id < count(); ++id)
            if (id != member && is_running(id) && !is_stalled(id) && state_at(id, member) != state)
                return false;
        return true;
    }
    bool all_have_view(View expected_view) {
        for (MemberId id = 0; id < count(); ++id)
            if (is_running(id) && view(id) != expected_view) return false;
        return true;
    }
    bool run_until_converged(Millis within = kMinute) {
        return run_until([this] { return is_accurate() && digests_agree(); }, within);
    }
    std::uint64_t failures() {
        std::uint64_t sum = 0;
        for (MemberId id = 0; id < count(); ++id) sum += is_running(id) ? (*this)[id].counters().failures : 0;
        return sum;
    }
};

TEST(Membership, DiscoversAllMembersThatStartTogether) {
    VirtualFleet fleet(20);
    fleet.start_all();
    EXPECT_EQ(fleet.view(3), View::unknown);
    EXPECT_TRUE(fleet.run_until([&] { return fleet.is_accurate() && fleet.digests_agree(); }, 5000));
    fleet.run_for(6000);
    for (MemberId id = 0; id < 20; ++id) {
        EXPECT_EQ(fleet.view(id), View::complete);
        EXPECT_EQ(fleet[id].update_siblings(fleet.now()), 20U);
    }
    VirtualFleet single(1);
    single.start_all();
    EXPECT_EQ(single.view(0), View::complete);
    EXPECT_FALSE(single[0].next_due() < 1e300) << "a fleet of one member needs no timer";
}

// Runs with the same seed must send the same datagrams, so that a failure or a measurement can be reproduced.
TEST(Membership, SendsSameDatagramsForSameSeed) {
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

// Members distinguish a crash that the host reports with ICMP, a member that has left, and a member that does
// not answer. A stalled process looks the same as a crashed one whose host does not report it.
TEST(Membership, DistinguishesTerminatedLeftAndFailedMembers) {
    Fleet fleet(20);
    fleet.kill(3);
    EXPECT_TRUE(fleet.run_until([&] { return fleet.all_hold_state(3, MemberState::terminated); }, 4000));
    EXPECT_TRUE(fleet.all_have_view(View::complete))
        << "a member that has ended is not missing from the view";
    fleet.leave(4);
    EXPECT_TRUE(fleet.run_until([&] { return fleet.all_hold_state(4, MemberState::left); }, 2000));
    EXPECT_TRUE(fleet.all_have_view(View::complete));
    fleet.stall(5);
    EXPECT_TRUE(fleet.run_until([&] { return fleet.all_hold_state(5, MemberState::failed); }, 12000));
    for (MemberId id = 0; id < 20; ++id)
        if (fleet.is_running(id) && id != 5) {
            EXPECT_EQ(fleet.view(id), View::partial);
        }
    fleet.resume(5);
    EXPECT_TRUE(fleet.run_until([&] { return fleet.all_hold_state(5, MemberState::alive); }, 8000));
    EXPECT_TRUE(fleet.run_until_converged());
    fleet.start(3), fleet.start(4);
    EXPECT_TRUE(fleet.run_until_converged(8000));
    EXPECT_TRUE(fleet.all_have_view(View::complete));
}

TEST(Membership, FailsNoMemberOverOneWayLinkAndSingleConnectingMember) {
    Fleet fleet(9);
    fleet.is_link_cut = [](MemberId from, MemberId to) {
        if (from == 0 && to == 1) return true;                  // a link that is cut in one direction
        return from != 4 && to != 4 && (from < 4) != (to < 4);  // two halves that only 4 connects
    };
    fleet.run_for(2 * kMinute);
    EXPECT_EQ(fleet.failures(), 0U);
    EXPECT_TRUE(fleet.is_accurate());
    EXPECT_TRUE(fleet[0].member(7).indirect_only) << "helpers relay the answer over member 4";
    EXPECT_FALSE(fleet[0].member(4).indirect_only);
}

TEST(Membership, FailsNoMemberUnderLossDelayDuplicatesAndCorruption) {
    Fleet fleet(20);
    fleet.net.loss = 0.3;
    fleet.net.duplication = 0.2;
    fleet.net.corruption = 0.02;
    fleet.net.max_delay = 60;
    fleet.run_for(10 * kMinute);
    EXPECT_EQ(fleet.false_failures, 0U);
    fleet.net = {};
    EXPECT_TRUE(fleet.run_until_converged());
}

TEST(Membership, FailsNoMemberOverFlappingLink) {
    Fleet fleet(6);
    fleet.is_link_cut = [&](MemberId from, MemberId to) {
        return (from == 0) != (to == 0) && std::fmod(fleet.now(), 2000) < 700;
    };
    fleet.run_for(2 * kMinute);
    EXPECT_EQ(fleet.failures(), 0U);
}

// Stalls of 75 to 270 ms, as on the platform, cause no failures. The others detect a stall of 10 s, and the
// stalled member sets no other member to failed when it resumes.
TEST(Membership, FailsNoMemberAfterOwnStall) {
    Fleet fleet(12);
    Random random(4);
    for (int i = 0; i < 400; ++i) {
        const auto id = static_cast<MemberId>(random.below(12));
        fleet.stall(id);
        fleet.run_for(75 + 195 * random.uniform());
        fleet.resume(id);
        fleet.run_for(200 * random.uniform());
    }
    EXPECT_EQ(fleet.failures(), 0U);
    fleet.stall(7);
    fleet.run_for(10000);
    EXPECT_TRUE(fleet.all_hold_state(7, MemberState::failed));
    const auto before = fleet[7].counters().failures;
    fleet.resume(7);
    fleet.run_for(10000);
    EXPECT_EQ(fleet[7].counters().failures, before);
    EXPECT_TRUE(fleet.run_until_converged());
}

TEST(Membership, FailsNoMemberWhenAllMembersStallAtOnce) {
    Fleet fleet(12);
    for (int round = 0; round < 20; ++round) {
        for (MemberId id = 0; id < 12; ++id) fleet.stall(id);
        fleet.run_for(3000);
        for (MemberId id = 0; id < 12; ++id) fleet.resume(id);
        fleet.run_for(300);
    }
    EXPECT_EQ(fleet.failures(), 0U);
    // The members run for such a short time that answers arrive only during the next stall.
    for (int round = 0; round < 50; ++round) {
        for (MemberId id = 0; id < 12; ++id) fleet.stall(id);
        fleet.run_for(2000);
        for (MemberId id = 0; id < 12; ++id) fleet.resume(id);
        fleet.run_for(5);
    }
    EXPECT_EQ(fleet.failures(), 0U);
    std::uint64_t suspicions = 0;
    for (MemberId id = 0; id < 12; ++id) suspicions += fleet[id].counters().suspicions;
    EXPECT_EQ(suspicions, 0U) << "members must detect their own stall before they suspect others";
    EXPECT_TRUE(fleet.run_until_converged());
}

// A process restarts three times in a second, while datagrams of its earlier runs are still in transit. It
// then restarts with its wall clock set back by ten minutes.
TEST(Membership, RestartedProcessReplacesEarlierProcessForAnyClock) {
    Fleet fleet(6);
    fleet.net.max_delay = 900;
    for (int i = 0; i < 3; ++i) {
        fleet.kill(2);
        fleet.start(2);
        fleet.run_for(300);
    }
    fleet.net = {};
    EXPECT_TRUE(fleet.run_until_converged(15000));
    const Incarnation before = fleet[0].member(2).incarnation;
    fleet.kill(2);
    fleet.start(2, -10 * kMinute);
    EXPECT_LT(fleet[2].member(2).incarnation, before);
    EXPECT_TRUE(fleet.run_until(
        [&] {
            const Incarnation now = fleet[2].member(2).incarnation;
            return fleet.is_accurate() && now > before && fleet[0].member(2).incarnation == now;
        },
        15000));
}

// If two processes with different addresses have the same id, the older one yields.
TEST(Membership, YieldsToYoungerProcessWithSameId) {
    for (const Millis clock_offset : {0.0, -5 * kMinute, 5 * kMinute}) {
        Fleet fleet(6);
        fleet.kill(5);
        fleet.run_for(60 * kMinute / 60);
        // Starts a process with the id 2 at the address of member 5.
        fleet.start(5, clock_offset, 2);
        EXPECT_TRUE(fleet.run_until([&] { return fleet[2].yielded() || fleet[5].yielded(); }, kMinute))
            << clock_offset;
        EXPECT_TRUE(fleet[2].yielded()) << clock_offset;
        fleet.run_for(10000);
        EXPECT_FALSE(fleet[5].yielded());
        EXPECT_EQ(fleet[0].member(2).incarnation, fleet[5].member(2).incarnation);
        EXPECT_EQ(fleet[0].member(2).address_index, 5U);
    }
}

TEST(Membership, CorrectsWrongPeerAddressesBySenderId) {
    VirtualFleet fleet(8);
    fleet.member_at_address = [](MemberId owner, std::uint32_t address_index) {
        // Member 3 has the addresses of members 0 and 1 swapped.
        return owner == 3 && address_index < 2 ? 1 - address_index : address_index;
    };
    fleet.start_all();
    fleet.run_for(kMinute);
    EXPECT_TRUE(fleet.is_accurate() && fleet.digests_agree());
    EXPECT_EQ(fleet[3].member(0).address_index, 1U);
    std::uint64_t failures = 0;
    for (MemberId id = 0; id < 8; ++id) failures += fleet[id].counters().failures;
    EXPECT_EQ(failures, 0U);
}

// A peer repeatedly reports that all other members have terminated or failed, and old datagrams are replayed.
TEST(Membership, RefutesForgedAndReplayedDatagramsAtBoundedRate) {
    Fleet fleet(12);
    std::vector<std::string> sent_datagrams;
    for (int round = 0; round < 60; ++round) {
        Message forged;
        forged.from = 11;
        forged.incarnation = fleet[11].member(11).incarnation;
        forged.state = MemberState::alive;
        for (MemberId id = 0; id < 11; ++id)
            forged.updates.push_back(
                {id,
                 {fleet[id].member(id).incarnation.counter, fleet[id].member(id).incarnation.nonce},
                 round % 2 ? MemberState::terminated : MemberState::failed,
                 0});
        sent_datagrams.push_back(encode(forged));
        for (MemberId id = 0; id < 11; ++id) {
            fleet.inject(id, 11, sent_datagrams.back());
            EXPECT_GE(fleet[id].update_siblings(fleet.now()), 3U);
        }
        fleet.run_for(500);
    }
    EXPECT_TRUE(fleet.run_until_converged(15000));
    for (const std::string& bytes : sent_datagrams)
        for (MemberId id = 0; id < 11; ++id) fleet.inject(id, 11, bytes);
    EXPECT_TRUE(fleet.is_accurate());
    // An update whose counter is far ahead of any clock is ignored, as no higher counter could refute it.
    Message implausible;
    implausible.from = 11;
    implausible.incarnation = fleet[11].member(11).incarnation;
    implausible.updates.push_back({3, {UINT32_MAX, 5}, MemberState::failed, 0});
    fleet.inject(0, 11, encode(implausible));
    EXPECT_EQ(fleet.state_at(0, 3), MemberState::alive);
    // A datagram from an unknown address, and one that is not a message, are dropped and counted.
    const auto before = fleet[0].counters();
    fleet.inject(0, {}, sent_datagrams.front());
    fleet.inject(0, 4, "nonsense");
    EXPECT_EQ(fleet[0].counters().unknown_senders, before.unknown_senders + 1);
    EXPECT_EQ(fleet[0].counters().malformed, before.malformed + 1);
    EXPECT_EQ(fleet[0].counters().received, before.received);
}

// Members leave, crash and start on both sides of a partition of 20 s. The views are correct during the
// partition, and all tables agree after it.
TEST(Membership, DetectsPartitionOnBothSidesAndRecovers) {
    Fleet fleet(24);
    const auto side = [](MemberId id) { return id % 3 == 0; };
    fleet.kill(20);
    EXPECT_TRUE(fleet.run_until([&] { return fleet.all_hold_state(20, MemberState::terminated); }, 8000));
    fleet.is_link_cut = [&](MemberId from, MemberId to) { return side(from) != side(to); };
    const auto views_match_partition = [&] {
        for (MemberId observer = 0; observer < 24; ++observer)
            for (MemberId id = 0; fleet.is_running(observer) && id < 24; ++id) {
                const bool is_counted_present = fleet.state_at(observer, id) <= MemberState::suspect;
                const bool is_on_same_side = side(observer) == side(id);
                if (fleet.is_running(id) && is_counted_present != is_on_same_side) return false;
            }
        return true;
    };
    EXPECT_TRUE(fleet.run_until(views_match_partition, 20000));
    fleet.leave(3);
    fleet.kill(4);
    fleet.start(20);
    fleet.run_for(8000);
    EXPECT_TRUE(views_match_partition());
    EXPECT_TRUE(fleet.all_have_view(View::partial));
    fleet.is_link_cut = [](MemberId, MemberId) { return false; };
    EXPECT_TRUE(fleet.run_until_converged(15000));
    EXPECT_TRUE(fleet.all_have_view(View::complete));
    // A member that is cut off from all others has the view isolated.
    fleet.is_link_cut = [](MemberId from, MemberId to) { return from == 7 || to == 7; };
    EXPECT_TRUE(fleet.run_until([&] { return fleet.view(7) == View::isolated; }, 8000));
    fleet.run_for(30000);
    EXPECT_EQ(fleet[7].member_counts().failed, 0U) << "an isolated member must not set the others to failed";
    EXPECT_EQ(fleet[7].update_siblings(fleet.now()), 24U);
    fleet.is_link_cut = [](MemberId, MemberId) { return false; };
    EXPECT_TRUE(fleet.run_until_converged(15000));
}

// 28 of 40 members crash and return during a partition. In the first case their hosts report the crashes, in
// the second they do not. At no step do the shares of the running members add up to more than 1 +
// kMaxTakeoverFraction.
TEST(Membership, KeepsSumOfSharesWithinMaxTakeoverFraction) {
    for (const bool hosts_report_closed_ports : {true, false}) {
        Fleet fleet(40);
        fleet.hosts_report_closed_ports = hosts_report_closed_ports;
        double max_sum = 0;
        fleet.after_step = [&] {
            double sum = 0;
            for (MemberId id = 0; id < 40; ++id)
                if (fleet.is_running(id)) sum += 1.0 / fleet[id].update_siblings(fleet.now());
            max_sum = std::max(max_sum, sum);
        };
        for (MemberId id = 0; id < 28; ++id) fleet.kill(id);
        fleet.run_for(25000);
        const std::uint32_t siblings = fleet[39].update_siblings(fleet.now());
        if (hosts_report_closed_ports) {
            EXPECT_LT(siblings, 20U);  // 12 of 40 remain: 40 / (1 + 0.4 * 40 / 12) = 17.2
        } else {
            // The members that do not answer may be on the other side of a partition.
            EXPECT_EQ(siblings, 40U);
        }
        for (MemberId id = 0; id < 28; ++id) fleet.start(id);
        fleet.is_link_cut = [](MemberId from, MemberId to) { return (from < 20) != (to < 20); };
        fleet.run_for(20000);
        fleet.is_link_cut = [](MemberId, MemberId) { return false; };
        fleet.run_for(30000);
        EXPECT_EQ(fleet[39].update_siblings(fleet.now()), 40U);
        EXPECT_LE(max_sum, 1 + SiblingEstimate::kMaxTakeoverFraction + 1e-9);
        EXPECT_GT(max_sum, hosts_report_closed_ports ? 1.2 : 0.99);
    }
}

// Applies a random event to a random member. Does nothing if the event is not possible for that member.
// restarts: by id, the number of restarts of the member.
void apply_random_event(VirtualFleet& fleet, std::vector<std::uint64_t>& restarts) {
    const auto id = *rc::gen::inRange<MemberId>(0, fleet.count());
    const auto group = *rc::gen::arbitrary<std::uint32_t>();
    switch (*rc::gen::inRange(0, 8)) {
        case 0:
            if (fleet.is_running(id)) fleet.kill(id);
            break;
        case 1:
            if (!fleet.is_running(id)) {
                ++restarts[id];
                fleet.start(id, 1000.0 * *rc::gen::inRange(-600, 600));
            }
            break;
        case 2:
            if (fleet.is_running(id) && !fleet.is_stalled(id)) fleet.leave(id);
            break;
        case 3:
            fleet.stall(id);
            break;
        case 4:
            fleet.resume(id);
            break;
        case 5:
            fleet.is_link_cut = [group](MemberId from, MemberId to) {
                return (group >> from & 1U) != (group >> to & 1U);
            };
            break;
        case 6:
            fleet.net.loss = *rc::gen::inRange(0, 5) / 10.0;
            fleet.net.duplication = 0.2;
            fleet.net.max_delay = *rc::gen::inRange(14, 800);
            break;
        default:
            fleet.is_link_cut = [group](MemberId from, MemberId to) {
                return (group >> (from * 4 + to) % 32 & 3U) == 3;
            };
    }
}

// For any schedule of events, the counts of each table add up after each step, and no two runs of a member
// have an incarnation in common. After the faults end, all tables agree and list exactly the running members
// as present.
TEST(Membership, ConvergesAfterAnyRandomSchedule) {
    EXPECT_TRUE(rc::check([] {
        const auto count = *rc::gen::inRange<std::uint32_t>(2, 9);
        VirtualFleet fleet(count, *rc::gen::arbitrary<std::uint64_t>());
        fleet.start_all();
        std::map<std::pair<MemberId, Incarnation>, std::uint64_t> incarnation_owner;
        std::vector<std::uint64_t> restarts(count, 0);
        fleet.after_step = [&] {
            for (MemberId id = 0; id < count; ++id) {
                if (!fleet.is_running(id)) continue;
                const MemberCounts counts = fleet[id].member_counts();
                RC_ASSERT(counts.present + counts.failed + counts.ended == count);
                RC_ASSERT(fleet.state_at(id, id) <= MemberState::alive);
                const auto [owner, is_new] =
                    incarnation_owner.try_emplace({id, fleet[id].member(id).incarnation}, restarts[id]);
                RC_ASSERT(is_new || owner->second == restarts[id]);
            }
        };
        const int steps = *rc::gen::inRange(5, 25);
        for (int i = 0; i < steps; ++i) {
            apply_random_event(fleet, restarts);
            fleet.run_for(*rc::gen::inRange(1, 8000));
        }
        fleet.is_link_cut = [](MemberId, MemberId) { return false; };
        fleet.net = {};
        for (MemberId id = 0; id < count; ++id) fleet.resume(id);
        RC_ASSERT(fleet.run_until([&] { return fleet.is_accurate() && fleet.digests_agree(); }, 90000));
    }));
}

}  // namespace
}  // namespace elmbay::cluster
