// Tests cluster membership with real processes, datagrams between them, and faults on both. Each test reads
// the membership state from the status sockets, and waits for events.
#include <boost/asio/ip/udp.hpp>

#include "scenarios.hpp"

namespace elmbay::process_testbed {
namespace {

using fault_proxy::FaultType;
using fault_proxy::Rule;

Options cluster_options(std::size_t sidecars) {
    Options options = small_testbed(sidecars, 2);
    options.cluster = true;
    return options;
}

json cluster_of(ProcessTestbed& testbed, std::size_t sidecar) {
    const json status = testbed.status(sidecar);  // null while the sidecar starts
    return status.is_object() ? status.value("cluster", json::object()) : json::object();
}
std::string member_state(ProcessTestbed& testbed, std::size_t observer, std::size_t member) {
    const json cluster = cluster_of(testbed, observer);
    return cluster.contains("members") ? cluster["members"][member]["state"].get<std::string>() : "";
}
bool has_view(ProcessTestbed& testbed, std::size_t observer, const char* expected) {
    return cluster_of(testbed, observer).value("view", "") == expected;
}
// Returns whether all other running sidecars report this state of the member.
bool all_report(ProcessTestbed& testbed, std::size_t member, const char* expected) {
    for (std::size_t sidecar = 0; sidecar < testbed.sidecar_count(); ++sidecar)
        if (sidecar != member && testbed.is_running(sidecar) && !testbed.process(sidecar).is_frozen() &&
            member_state(testbed, sidecar, member) != expected)
            return false;
    return true;
}
bool digests_agree(ProcessTestbed& testbed) {
    std::set<std::uint64_t> digests;
    for (std::size_t sidecar = 0; sidecar < testbed.sidecar_count(); ++sidecar)
        if (testbed.is_running(sidecar))
            digests.insert(cluster_of(testbed, sidecar).value("digest", std::uint64_t{sidecar}));
    return digests.size() == 1;
}
bool has_converged(ProcessTestbed& testbed) {
    for (std::size_t sidecar = 0; sidecar < testbed.sidecar_count(); ++sidecar)
        if (!has_view(testbed, sidecar, "whole") || !all_report(testbed, sidecar, "alive")) return false;
    return digests_agree(testbed);
}
void expect_served(ProcessTestbed& testbed, std::size_t sidecar) {
    const std::string id = testbed.send_request(sidecar, "deposit");
    ASSERT_TRUE(testbed.run_until([&] { return testbed.has_ended(id); })) << testbed.describe_failure();
    EXPECT_EQ(testbed.outcome(id), RequestHistory::Outcome::served) << testbed.describe_failure(id);
}
Rule cut_rule(std::vector<std::string> from, std::vector<std::string> to) {
    Rule rule;
    rule.name = "cut", rule.type = FaultType::cut, rule.from = std::move(from), rule.to = std::move(to);
    return rule;
}

TEST(Cluster, DistinguishesKilledLeavingAndFrozenMembersAndReadmitsThem) {
    ProcessTestbed testbed(cluster_options(5));
    testbed.start();
    ASSERT_TRUE(testbed.run_until([&] { return has_converged(testbed); })) << testbed.describe_failure();
    EXPECT_EQ(testbed.status(0)["siblings"], 5);
    testbed.kill(1);
    ASSERT_TRUE(testbed.run_until([&] { return all_report(testbed, 1, "gone"); }))
        << testbed.describe_failure();
    testbed.terminate(2);
    ASSERT_TRUE(testbed.run_until([&] { return all_report(testbed, 2, "left"); }))
        << testbed.describe_failure();
    EXPECT_TRUE(has_view(testbed, 0, "whole")) << "a member that has left counts as missing";
    // Three of five members are present, so the fleet size that the sidecars divide by decreases, at most by
    // the spared count.
    ASSERT_TRUE(testbed.run_until([&] { return cluster_of(testbed, 0)["siblings"] == 3; }))
        << cluster_of(testbed, 0).dump(1);
    testbed.freeze(3);
    ASSERT_TRUE(testbed.run_until([&] { return all_report(testbed, 3, "failed"); }))
        << testbed.describe_failure();
    EXPECT_TRUE(has_view(testbed, 0, "part"));
    expect_served(testbed, 0);
    const auto failures = cluster_of(testbed, 4)["failures"].get<int>();
    testbed.thaw(3);
    ASSERT_TRUE(testbed.run_until([&] { return all_report(testbed, 3, "alive"); }))
        << testbed.describe_failure();
    EXPECT_EQ(cluster_of(testbed, 4)["failures"], failures);
    EXPECT_EQ(cluster_of(testbed, 3)["failures"], 0) << "the resumed member declared another one failed";
    testbed.restart(1), testbed.restart(2);
    ASSERT_TRUE(testbed.run_until([&] { return has_converged(testbed); })) << testbed.describe_failure();
    EXPECT_EQ(cluster_of(testbed, 0)["siblings"], 5);
    ASSERT_TRUE(testbed.run_until_idle()) << testbed.describe_failure();
}

// In a partition that isolates one sidecar, both sides serve, no sidecar divides by a smaller fleet, and all
// agree after the partition has healed.
TEST(Cluster, ServesOnBothSidesOfAPartitionAndAgreesAfterIt) {
    ProcessTestbed testbed(cluster_options(5));
    testbed.start();
    ASSERT_TRUE(testbed.run_until([&] { return has_converged(testbed); })) << testbed.describe_failure();
    Rule partition;
    partition.name = "split", partition.groups = {{"n-0"}, {"n-1", "n-2", "n-3", "n-4"}};
    testbed.context().put_rule(partition);
    ASSERT_TRUE(testbed.run_until([&] { return has_view(testbed, 0, "alone"); }))
        << testbed.describe_failure();
    for (std::size_t sidecar = 1; sidecar < 5; ++sidecar) {
        ASSERT_TRUE(testbed.run_until([&] {
            return has_view(testbed, sidecar, "part") && member_state(testbed, sidecar, 0) == "failed";
        })) << sidecar;
    }
    for (std::size_t sidecar = 0; sidecar < 5; ++sidecar) {
        expect_served(testbed, sidecar);
        EXPECT_EQ(cluster_of(testbed, sidecar)["siblings"], 5);
    }
    EXPECT_EQ(cluster_of(testbed, 0)["count"]["silent"], 0)
        << "an isolated member counts the other members as silent";
    testbed.context().remove_rule("split");
    ASSERT_TRUE(testbed.run_until([&] { return has_converged(testbed); })) << testbed.describe_failure();
    ASSERT_TRUE(testbed.run_until_idle()) << testbed.describe_failure();
}

// One member receives another's messages only through the others. Of all datagrams 30% are dropped; some are
// duplicated or delayed.
TEST(Cluster, DeclaresNoMemberFailedUnderLossAndAOneWayCut) {
    ProcessTestbed testbed(cluster_options(4));
    Rule dropped = cut_rule({"n-*"}, {"n-*"}), delayed = dropped, duplicated = dropped;
    dropped.name = "lost", dropped.type = FaultType::drop, dropped.probability = 0.3;
    delayed.name = "late", delayed.type = FaultType::delay, delayed.delay = 30, delayed.jitter = 30,
    delayed.distribution = fault_proxy::DelayDistribution::uniform;
    duplicated.name = "twice", duplicated.type = FaultType::duplicate, duplicated.probability = 0.2;
    for (Rule* rule : {&dropped, &delayed, &duplicated})
        rule->medium = fault_proxy::Medium::datagram, testbed.context().put_rule(*rule);
    testbed.context().put_rule(cut_rule({"n-0"}, {"n-1"}));
    testbed.start();
    ASSERT_TRUE(testbed.run_until([&] {
        for (std::size_t sidecar = 0; sidecar < 4; ++sidecar)
            if (!has_view(testbed, sidecar, "whole")) return false;
        return true;
    })) << testbed.describe_failure();
    // Waits until each sidecar has sent more than a hundred messages.
    ASSERT_TRUE(testbed.run_until([&] {
        for (std::size_t sidecar = 0; sidecar < 4; ++sidecar)
            if (cluster_of(testbed, sidecar)["messages"]["sent"] < 120) return false;
        return true;
    })) << testbed.describe_failure();
    for (std::size_t sidecar = 0; sidecar < 4; ++sidecar)
        EXPECT_EQ(cluster_of(testbed, sidecar)["failures"], 0) << cluster_of(testbed, sidecar).dump(1);
    ASSERT_TRUE(testbed.run_until_idle()) << testbed.describe_failure();
}

// Restarts a member three times as quickly as it becomes ready, the last time with its clock ten minutes
// behind.
TEST(Cluster, AcceptsTheLatestRestartEvenIfItsClockIsBehind) {
    ProcessTestbed testbed(cluster_options(3));
    testbed.start();
    ASSERT_TRUE(testbed.run_until([&] { return has_converged(testbed); })) << testbed.describe_failure();
    for (int run = 0; run < 3; ++run) {
        testbed.kill(1);
        testbed.restart(1, "", run == 2 ? "[proof]\nclock_behind = \"10m\"\n" : "");
        ASSERT_TRUE(testbed.run_until([&] { return testbed.is_ready(1); })) << testbed.describe_failure();
    }
    ASSERT_TRUE(testbed.run_until([&] { return has_converged(testbed); })) << testbed.describe_failure();
    ASSERT_TRUE(testbed.run_until_idle()) << testbed.describe_failure();
}

// Floods a sidecar with datagrams from an address that belongs to no peer. It must drop and count them, and
// keep serving requests.
TEST(Cluster, DropsDatagramsOfUnknownSendersAndServesMeanwhile) {
    ProcessTestbed testbed(cluster_options(2));
    testbed.start();
    ASSERT_TRUE(testbed.run_until([&] { return has_converged(testbed); })) << testbed.describe_failure();
    asio::io_context io;
    udp::socket unknown_sender(io, {asio::ip::address_v4::loopback(), 0});
    const std::string unreadable_datagram(200, 'x');
    boost::system::error_code ignored;
    for (int round = 0; round < 20; ++round) {
        for (int i = 0; i < 500; ++i)
            unknown_sender.send_to(asio::buffer(unreadable_datagram), testbed.cluster_endpoint(0), 0,
                                   ignored);
        expect_served(testbed, 0);
    }
    const json messages = cluster_of(testbed, 0)["messages"];
    EXPECT_GT(messages["strangers"], 100);
    EXPECT_EQ(messages["unreadable"], 0);
    ASSERT_TRUE(testbed.run_until([&] { return has_converged(testbed); })) << testbed.describe_failure();
    ASSERT_TRUE(testbed.run_until_idle()) << testbed.describe_failure();
}

}  // namespace
}  // namespace elmbay::process_testbed
