// The contract of EndpointRegistry, as its header states it.
#include "sidecar/endpoint_registry.hpp"

#include <gtest/gtest.h>

#include <boost/asio/ip/address_v4.hpp>

namespace elmbay {
namespace {

using balancer::EndpointState;
using balancer::ListKind;
using balancer::ServerId;

constexpr std::size_t kFleet = 3200;
// Looking up, withdrawing and listing one server again, with one more that it displaces.
constexpr std::uint64_t kMaxVisitsOfAChange = 8;

Endpoint address(std::size_t index) {
    const auto host = static_cast<std::uint32_t>(0x7f010000U + index);
    return {boost::asio::ip::address_v4(host), 8080};
}

Target target(std::size_t index, EndpointState state = EndpointState::active, Millis online_since = 0) {
    Target t;
    t.uid = "s-" + std::to_string(index);
    t.endpoint = address(index);
    t.zone = "a";
    t.machine_type = "m";
    t.state = state;
    t.online_since = online_since;
    return t;
}

std::vector<Target> fleet(std::size_t count, std::size_t from = 0) {
    std::vector<Target> targets;
    for (std::size_t i = 0; i < count; ++i) targets.push_back(target(from + i));
    return targets;
}

const auto no_attempts_in_flight = [](ServerId) { return true; };
const auto attempts_in_flight_everywhere = [](ServerId) { return false; };

TEST(EndpointRegistry, VisitsFewEntriesForIncrementalList) {
    EndpointRegistry registry;
    registry.apply(ListKind::snapshot, fleet(kFleet));
    registry.forget_withdrawn(no_attempts_in_flight);
    ASSERT_EQ(registry.listed(), kFleet);

    Target successor = target(9000, EndpointState::active, 5);
    successor.endpoint = address(7);
    for (const Target& change : {target(3199, EndpointState::draining), target(3199, EndpointState::removed),
                                 target(9001), successor}) {
        const std::uint64_t before = registry.visited();
        registry.apply(ListKind::incremental, {change});
        registry.forget_withdrawn(no_attempts_in_flight);
        EXPECT_LE(registry.visited() - before, kMaxVisitsOfAChange) << change.uid;
    }
    EXPECT_EQ(registry.listed(), kFleet) << "one left, one came, one was replaced";
}

TEST(EndpointRegistry, VisitsEntriesInProportionToLengthOfSnapshot) {
    EndpointRegistry registry;
    registry.apply(ListKind::snapshot, fleet(kFleet));
    const std::uint64_t before = registry.visited();
    registry.apply(ListKind::snapshot, fleet(kFleet));
    EXPECT_LE(registry.visited() - before, kMaxVisitsOfAChange * kFleet);
}

TEST(EndpointRegistry, GivesAddressToProcessNamedLastByLists) {
    EndpointRegistry registry;
    registry.apply(ListKind::snapshot, {target(1, EndpointState::active, 100)});
    Target second = target(2, EndpointState::active, 200), third = target(3, EndpointState::active, 50);
    second.endpoint = third.endpoint = address(1);

    const auto displaced = registry.apply(ListKind::incremental, {second});
    ASSERT_EQ(displaced.changes.size(), 2U);
    EXPECT_EQ(displaced.changes[0].info.id, 1U);
    EXPECT_EQ(displaced.changes[0].info.state, EndpointState::removed);
    EXPECT_FALSE(displaced.changes[0].may_send);
    EXPECT_EQ(displaced.changes[1].info.id, 2U);
    EXPECT_TRUE(displaced.changes[1].may_send);
    EXPECT_EQ(displaced.withdrawn, std::vector<ServerId>{1});

    // Its start is earlier by its own wall clock, which may have been set back.
    const auto again = registry.apply(ListKind::incremental, {third});
    ASSERT_EQ(again.changes.size(), 2U);
    EXPECT_EQ(again.changes[0].info.id, 2U);
    EXPECT_FALSE(again.changes[0].may_send);
    EXPECT_TRUE(again.changes[1].may_send);
    EXPECT_TRUE(registry.find(3)->listed);

    // Another word about a process that was told before does not make it the last one.
    const auto refused = registry.apply(ListKind::incremental, {second});
    ASSERT_EQ(refused.changes.size(), 1U);
    EXPECT_EQ(refused.changes[0].info.state, EndpointState::removed);
    EXPECT_FALSE(refused.changes[0].may_send);
    EXPECT_TRUE(registry.find(3)->listed);
}

TEST(EndpointRegistry, GivesAddressToLaterStartWhenOneListNamesBoth) {
    Target earlier = target(1, EndpointState::active, 100), later = target(2, EndpointState::active, 200);
    later.endpoint = earlier.endpoint = address(1);
    for (const auto& list : {std::vector<Target>{earlier, later}, std::vector<Target>{later, earlier}}) {
        EndpointRegistry registry;
        registry.apply(ListKind::snapshot, list);
        EXPECT_EQ(registry.listed(), 1U);
        EXPECT_TRUE(registry.entries().at(later.uid).listed);
    }
}

TEST(EndpointRegistry, ReleasesEarlierAddressWhenServerMoves) {
    EndpointRegistry registry;
    registry.apply(ListKind::snapshot, {target(1)});
    Target moved = target(1);
    moved.endpoint = address(2);
    registry.apply(ListKind::incremental, {moved});
    const auto update = registry.apply(ListKind::incremental, {[] {
                                           Target other = target(3);
                                           other.endpoint = address(1);
                                           return other;
                                       }()});
    EXPECT_EQ(update.changes.size(), 1U) << "no server is displaced";
    EXPECT_EQ(registry.find(1)->endpoint, address(2));
    EXPECT_EQ(registry.listed(), 2U);
}

TEST(EndpointRegistry, UsesReservedNumberOnceListNamesServer) {
    EndpointRegistry registry;
    const ServerId first = registry.reserve_number("s-1"), second = registry.reserve_number("s-2");
    registry.apply(ListKind::cached, {target(1)});
    EXPECT_TRUE(registry.find(first)->listed);
    registry.apply(ListKind::snapshot, {target(1)});
    registry.apply(ListKind::incremental, {target(2)});
    ASSERT_NE(registry.find(second), nullptr);
    EXPECT_TRUE(registry.find(second)->listed);
    EXPECT_EQ(registry.listed(), 2U);
}

TEST(EndpointRegistry, RestoresNumberOfServerThatIsListedAgain) {
    EndpointRegistry registry;
    registry.apply(ListKind::snapshot, {target(1), target(2)});
    const ServerId before = registry.entries().at(target(1).uid).info.id;
    registry.apply(ListKind::incremental, {target(1, EndpointState::removed)});
    registry.forget_withdrawn([](ServerId) { return true; });
    EXPECT_EQ(registry.find(before), nullptr);
    registry.apply(ListKind::incremental, {target(1)});
    ASSERT_NE(registry.find(before), nullptr);
    EXPECT_TRUE(registry.find(before)->listed);
}

TEST(EndpointRegistry, AddsServerAfterAnotherLeftWithAttemptsInFlight) {
    EndpointRegistry registry;
    registry.apply(ListKind::snapshot, fleet(EndpointRegistry::kMaxListed));
    registry.apply(ListKind::incremental, {target(0, EndpointState::removed)});
    registry.forget_withdrawn(attempts_in_flight_everywhere);
    const auto update = registry.apply(ListKind::incremental, {target(9000)});
    EXPECT_EQ(update.skipped, 0U);
    EXPECT_EQ(registry.listed(), EndpointRegistry::kMaxListed);
}

TEST(EndpointRegistry, ReplacesEveryServerBySnapshotWhileAttemptsAreInFlight) {
    EndpointRegistry registry;
    constexpr std::size_t kMost = EndpointRegistry::kMaxListed;
    registry.apply(ListKind::snapshot, fleet(kMost));
    const auto update = registry.apply(ListKind::snapshot, fleet(kMost, 10000));
    EXPECT_EQ(update.skipped, 0U);
    EXPECT_EQ(update.withdrawn.size(), kMost);
    registry.forget_withdrawn(attempts_in_flight_everywhere);
    EXPECT_EQ(registry.listed(), kMost);
    EXPECT_EQ(registry.entries().size(), 2 * kMost);
    registry.forget_withdrawn(no_attempts_in_flight);
    EXPECT_EQ(registry.entries().size(), kMost);
    EXPECT_EQ(registry.find(1), nullptr);
}

TEST(EndpointRegistry, SkipsAndCountsServersBeyondBounds) {
    EndpointRegistry registry;
    constexpr std::size_t kMost = EndpointRegistry::kMaxListed;
    EXPECT_EQ(registry.apply(ListKind::snapshot, fleet(kMost + 5)).skipped, 5U);
    EXPECT_EQ(registry.listed(), kMost);
    // Servers whose attempts never end are never forgotten. Their number is bounded, too.
    for (std::size_t round = 1; round < 6; ++round) {
        registry.apply(ListKind::snapshot, fleet(kMost, round * 10000));
        registry.forget_withdrawn(attempts_in_flight_everywhere);
    }
    EXPECT_EQ(registry.entries().size(), EndpointRegistry::kMaxEntries);

    EndpointRegistry fresh;
    Target long_name = target(1);
    long_name.uid.assign(EndpointRegistry::kMaxUidBytes + 1, 'x');
    EXPECT_EQ(fresh.apply(ListKind::snapshot, {long_name, target(2)}).skipped, 1U);
    EXPECT_EQ(fresh.listed(), 1U);
}

}  // namespace
}  // namespace elmbay
