// Tests the contract that the header of EndpointRegistry documents.
#include "sidecar/endpoint_registry.hpp"

#include <gtest/gtest.h>

#include <boost/asio/ip/address_v4.hpp>

namespace elmbay {
namespace {

using balancer::EndpointState;
using balancer::ListKind;
using balancer::ServerId;

constexpr std::size_t kFleetSize = 3200;
// Finding, withdrawing and listing one server, and a second server that it displaces.
constexpr std::uint64_t kMaxVisitsPerChange = 8;

Endpoint address(std::size_t index) {
    const auto host = static_cast<std::uint32_t>(0x7f010000U + index);
    return {boost::asio::ip::address_v4(host), 8080};
}

Target target(std::size_t index, EndpointState state = EndpointState::active, Millis online_since = 0) {
    Target result;
    result.uid = "s-" + std::to_string(index);
    result.endpoint = address(index);
    result.zone = "a";
    result.machine_type = "m";
    result.state = state;
    result.online_since = online_since;
    return result;
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
    registry.apply(ListKind::snapshot, fleet(kFleetSize));
    registry.remove_withdrawn(no_attempts_in_flight);
    ASSERT_EQ(registry.listed_count(), kFleetSize);

    Target successor = target(9000, EndpointState::active, 5);
    successor.endpoint = address(7);
    for (const Target& change : {target(3199, EndpointState::draining), target(3199, EndpointState::removed),
                                 target(9001), successor}) {
        const std::uint64_t before = registry.visit_count();
        registry.apply(ListKind::incremental, {change});
        registry.remove_withdrawn(no_attempts_in_flight);
        EXPECT_LE(registry.visit_count() - before, kMaxVisitsPerChange) << change.uid;
    }
    EXPECT_EQ(registry.listed_count(), kFleetSize) << "one server left, one was added, one was replaced";
}

TEST(EndpointRegistry, VisitsEntriesInProportionToLengthOfCompleteList) {
    EndpointRegistry registry;
    registry.apply(ListKind::snapshot, fleet(kFleetSize));
    const std::uint64_t before = registry.visit_count();
    registry.apply(ListKind::snapshot, fleet(kFleetSize));
    EXPECT_LE(registry.visit_count() - before, kMaxVisitsPerChange * kFleetSize);
}

TEST(EndpointRegistry, GivesAddressToProcessThatAppearedInListsLast) {
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

    // The third process started earlier according to its own wall clock, which may have been stepped
    // backward.
    const auto third_update = registry.apply(ListKind::incremental, {third});
    ASSERT_EQ(third_update.changes.size(), 2U);
    EXPECT_EQ(third_update.changes[0].info.id, 2U);
    EXPECT_FALSE(third_update.changes[0].may_send);
    EXPECT_TRUE(third_update.changes[1].may_send);
    EXPECT_TRUE(registry.find(3)->listed);

    // A repeated entry of an earlier process does not make it the latest process.
    const auto repeated = registry.apply(ListKind::incremental, {second});
    ASSERT_EQ(repeated.changes.size(), 1U);
    EXPECT_EQ(repeated.changes[0].info.state, EndpointState::removed);
    EXPECT_FALSE(repeated.changes[0].may_send);
    EXPECT_TRUE(registry.find(3)->listed);
}

TEST(EndpointRegistry, GivesAddressToLaterStartWhenOneListContainsBoth) {
    Target earlier = target(1, EndpointState::active, 100), later = target(2, EndpointState::active, 200);
    later.endpoint = earlier.endpoint = address(1);
    for (const auto& list : {std::vector<Target>{earlier, later}, std::vector<Target>{later, earlier}}) {
        EndpointRegistry registry;
        registry.apply(ListKind::snapshot, list);
        EXPECT_EQ(registry.listed_count(), 1U);
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
    EXPECT_EQ(update.changes.size(), 1U) << "the update displaces no server";
    EXPECT_EQ(registry.find(1)->endpoint, address(2));
    EXPECT_EQ(registry.listed_count(), 2U);
}

TEST(EndpointRegistry, UsesReservedNumberWhenListAddsServer) {
    EndpointRegistry registry;
    const ServerId first = registry.reserve_number("s-1"), second = registry.reserve_number("s-2");
    registry.apply(ListKind::cached, {target(1)});
    EXPECT_TRUE(registry.find(first)->listed);
    registry.apply(ListKind::snapshot, {target(1)});
    registry.apply(ListKind::incremental, {target(2)});
    ASSERT_NE(registry.find(second), nullptr);
    EXPECT_TRUE(registry.find(second)->listed);
    EXPECT_EQ(registry.listed_count(), 2U);
}

TEST(EndpointRegistry, RestoresNumberOfServerThatIsListedAgain) {
    EndpointRegistry registry;
    registry.apply(ListKind::snapshot, {target(1), target(2)});
    const ServerId before = registry.entries().at(target(1).uid).info.id;
    registry.apply(ListKind::incremental, {target(1, EndpointState::removed)});
    registry.remove_withdrawn([](ServerId) { return true; });
    EXPECT_EQ(registry.find(before), nullptr);
    registry.apply(ListKind::incremental, {target(1)});
    ASSERT_NE(registry.find(before), nullptr);
    EXPECT_TRUE(registry.find(before)->listed);
}

TEST(EndpointRegistry, AddsServerAfterAnotherLeftWithAttemptsInFlight) {
    EndpointRegistry registry;
    registry.apply(ListKind::snapshot, fleet(EndpointRegistry::kMaxListed));
    registry.apply(ListKind::incremental, {target(0, EndpointState::removed)});
    registry.remove_withdrawn(attempts_in_flight_everywhere);
    const auto update = registry.apply(ListKind::incremental, {target(9000)});
    EXPECT_EQ(update.skipped, 0U);
    EXPECT_EQ(registry.listed_count(), EndpointRegistry::kMaxListed);
}

TEST(EndpointRegistry, ReplacesEveryServerByCompleteListWhileAttemptsAreInFlight) {
    EndpointRegistry registry;
    constexpr std::size_t kMaxListed = EndpointRegistry::kMaxListed;
    registry.apply(ListKind::snapshot, fleet(kMaxListed));
    const auto update = registry.apply(ListKind::snapshot, fleet(kMaxListed, 10000));
    EXPECT_EQ(update.skipped, 0U);
    EXPECT_EQ(update.withdrawn.size(), kMaxListed);
    registry.remove_withdrawn(attempts_in_flight_everywhere);
    EXPECT_EQ(registry.listed_count(), kMaxListed);
    EXPECT_EQ(registry.entries().size(), 2 * kMaxListed);
    registry.remove_withdrawn(no_attempts_in_flight);
    EXPECT_EQ(registry.entries().size(), kMaxListed);
    EXPECT_EQ(registry.find(1), nullptr);
}

TEST(EndpointRegistry, SkipsAndCountsServersBeyondLimits) {
    EndpointRegistry registry;
    constexpr std::size_t kMaxListed = EndpointRegistry::kMaxListed;
    EXPECT_EQ(registry.apply(ListKind::snapshot, fleet(kMaxListed + 5)).skipped, 5U);
    EXPECT_EQ(registry.listed_count(), kMaxListed);
    // Servers whose attempts never end are never removed, but their number is bounded.
    for (std::size_t round = 1; round < 6; ++round) {
        registry.apply(ListKind::snapshot, fleet(kMaxListed, round * 10000));
        registry.remove_withdrawn(attempts_in_flight_everywhere);
    }
    EXPECT_EQ(registry.entries().size(), EndpointRegistry::kMaxEntries);

    EndpointRegistry fresh;
    Target long_name = target(1);
    long_name.uid.assign(EndpointRegistry::kMaxUidBytes + 1, 'x');
    EXPECT_EQ(fresh.apply(ListKind::snapshot, {long_name, target(2)}).skipped, 1U);
    EXPECT_EQ(fresh.listed_count(), 1U);
}

}  // namespace
}  // namespace elmbay
