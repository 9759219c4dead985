// Tests of ProbeTracker, RelayTracker, ProbeRound and FailureBurst.
#include "cluster/probes.hpp"

#include <gtest/gtest.h>

#include <cmath>
#include <set>

#include "cluster/probe_schedule.hpp"

namespace elmbay::cluster {
namespace {

constexpr Timing kTiming{};

TEST(ProbeTracker, RepeatsPingThenProbesIndirectlyThenExpires) {
    ProbeTracker probes(kTiming);
    probes.start(0, 3, ProbePurpose::regular, 7, 1);
    EXPECT_EQ(probes.next_due(), kTiming.ping_retry_delay);
    EXPECT_TRUE(probes.take_due(kTiming.ping_retry_delay - 1).empty());
    const auto retry = probes.take_due(kTiming.ping_retry_delay);
    ASSERT_EQ(retry.size(), 1U);
    EXPECT_EQ(retry[0].kind, ProbeStep::Kind::ping);
    EXPECT_EQ(retry[0].sequence, 7U);
    const auto indirect = probes.take_due(kTiming.direct_timeout);
    ASSERT_EQ(indirect.size(), 1U);
    EXPECT_EQ(indirect[0].kind, ProbeStep::Kind::indirect_ping);
    probes.set_helpers(7, 2);
    probes.add_nack(7, 3);
    EXPECT_TRUE(probes.take_expired(0.9 * kTiming.probe_period - 1).empty());
    const auto expired = probes.take_expired(0.9 * kTiming.probe_period);
    ASSERT_EQ(expired.size(), 1U);
    EXPECT_EQ(expired[0].helpers, 2U);
    EXPECT_EQ(expired[0].nacks, 1U);
    EXPECT_TRUE(std::isinf(probes.next_due()));
}

TEST(ProbeTracker, CompletesOnlyOnAnswerFromItsTarget) {
    ProbeTracker probes(kTiming);
    probes.start(0, 3, ProbePurpose::final_check, 7, 1);
    EXPECT_TRUE(probes.has_final_probe(3));
    EXPECT_FALSE(probes.complete(7, 4));
    EXPECT_FALSE(probes.complete(8, 3));
    EXPECT_TRUE(probes.complete(7, 3));
    EXPECT_FALSE(probes.complete(7, 3)) << "the answer is a duplicate";
    EXPECT_FALSE(probes.has_final_probe(3));
}

TEST(ProbeTracker, RepeatsRejoinCheckOnceWithoutIndirectPings) {
    ProbeTracker probes(kTiming);
    probes.start(0, 3, ProbePurpose::rejoin_check, 7, 1);
    EXPECT_EQ(probes.take_due(kTiming.ping_retry_delay).size(), 1U);
    EXPECT_TRUE(probes.take_due(kTiming.probe_period).empty());
}

TEST(ProbeTracker, MultipliesTimeoutsOfSlowProcess) {
    ProbeTracker probes(kTiming);
    probes.start(0, 3, ProbePurpose::regular, 7, 3);
    EXPECT_TRUE(probes.take_expired(2 * kTiming.probe_period).empty());
    EXPECT_EQ(probes.take_expired(2.7 * kTiming.probe_period).size(), 1U);
}

TEST(ProbeTracker, IsFullAtMaxProbes) {
    ProbeTracker probes(kTiming);
    for (std::uint32_t i = 0; i < ProbeTracker::kMaxProbes; ++i) {
        EXPECT_FALSE(probes.full());
        probes.start(0, 3, ProbePurpose::regular, i, 1);
    }
    EXPECT_TRUE(probes.full());
}

TEST(RelayTracker, ReturnsOneNackThenExpires) {
    RelayTracker relays(kTiming);
    relays.start(0, 3, 1, 7, 70);
    EXPECT_TRUE(relays.take_due(kTiming.direct_timeout - 1).empty());
    const auto due = relays.take_due(kTiming.direct_timeout);
    ASSERT_EQ(due.size(), 1U);
    EXPECT_EQ(due[0].requester_sequence, 70U);
    EXPECT_TRUE(relays.take_due(kTiming.direct_timeout).empty());
    EXPECT_FALSE(relays.complete(7, 1).has_value());
    const auto answered = relays.complete(7, 3);
    ASSERT_TRUE(answered.has_value());
    EXPECT_EQ(answered->requester, 1U);
    relays.start(0, 3, 1, 8, 71);
    relays.drop_expired(relays.running()[0].ends_at);
    EXPECT_TRUE(relays.running().empty());
}

TEST(ProbeRound, VisitsEachEligibleMemberOncePerRound) {
    ProbeRound round;
    balancer::Random random(5);
    const auto is_eligible = [](MemberId id) { return id != 2; };
    for (int round_number = 0; round_number < 5; ++round_number) {
        std::set<MemberId> visited;
        for (int i = 0; i < 5; ++i) visited.insert(*round.next(random, 6, is_eligible));
        EXPECT_EQ(visited, (std::set<MemberId>{0, 1, 3, 4, 5}));
    }
    EXPECT_FALSE(round.next(random, 6, [](MemberId) { return false; }).has_value());
}

TEST(FailureBurst, AllowsBoundedQuickProbesWhileManyFail) {
    FailureBurst burst;
    EXPECT_FALSE(burst.take_quick_probe(true));
    burst.probe_failed();
    EXPECT_FALSE(burst.take_quick_probe(true)) << "one failure is not a burst";
    for (int i = 0; i < 20; ++i) burst.probe_failed();
    EXPECT_FALSE(burst.take_quick_probe(false));
    std::uint32_t quick_probes = 0;
    while (burst.take_quick_probe(true)) ++quick_probes;
    EXPECT_EQ(quick_probes, FailureBurst::kMaxQuickProbes);
    for (int i = 0; i < 10; ++i) burst.probe_succeeded();
    EXPECT_FALSE(burst.take_quick_probe(true));
}

}  // namespace
}  // namespace elmbay::cluster
