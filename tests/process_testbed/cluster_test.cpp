// The sidecars know each other: processes of the program, datagrams between them, and faults on both. Each
// asks the processes what they believe; waits are for events.
#include <boost/asio/ip/udp.hpp>

#include "scenarios.hpp"

namespace elmbay::process_testbed {
namespace {

using fault_proxy::FaultType;
using fault_proxy::Rule;

Options knowing(std::size_t sidecars) {
    Options options = few(sidecars, 2);
    options.cluster = true;
    return options;
}

json cluster_of(ProcessTestbed& testbed, std::size_t i) {
    const json status = testbed.status(i);  // null while it starts
    return status.is_object() ? status.value("cluster", json::object()) : json::object();
}
std::string state(ProcessTestbed& testbed, std::size_t by, std::size_t of) {
    const json c = cluster_of(testbed, by);
    return c.contains("members") ? c["members"][of]["state"].get<std::string>() : "";
}
bool view(ProcessTestbed& testbed, std::size_t by, const char* wanted) {
    return cluster_of(testbed, by).value("view", "") == wanted;
}
// What all of them hold of one.
bool all_hold(ProcessTestbed& testbed, std::size_t of, const char* wanted) {
    for (std::size_t i = 0; i < testbed.sidecar_count(); ++i)
        if (i != of && testbed.is_running(i) && !testbed.process(i).is_frozen() &&
            state(testbed, i, of) != wanted)
            return false;
    return true;
}
bool agree(ProcessTestbed& testbed) {
    std::set<std::uint64_t> digests;
    for (std::size_t i = 0; i < testbed.sidecar_count(); ++i)
        if (testbed.is_running(i)) digests.insert(cluster_of(testbed, i).value("digest", std::uint64_t{i}));
    return digests.size() == 1;
}
bool whole(ProcessTestbed& testbed) {
    for (std::size_t i = 0; i < testbed.sidecar_count(); ++i)
        if (!view(testbed, i, "whole") || !all_hold(testbed, i, "alive")) return false;
    return agree(testbed);
}
void serves(ProcessTestbed& testbed, std::size_t i) {
    const std::string id = testbed.send_request(i, "deposit");
    ASSERT_TRUE(testbed.run_until([&] { return testbed.has_ended(id); })) << testbed.describe_failure();
    EXPECT_EQ(testbed.outcome(id), RequestHistory::Outcome::served) << testbed.describe_failure(id);
}
Rule cut(std::vector<std::string> from, std::vector<std::string> to) {
    Rule r;
    r.name = "cut", r.type = FaultType::cut, r.from = std::move(from), r.to = std::move(to);
    return r;
}

TEST(Cluster, DistinguishesKilledLeavingAndFrozenMembersAndTakesThemBack) {
    ProcessTestbed testbed(knowing(5));
    testbed.start();
    ASSERT_TRUE(testbed.run_until([&] { return whole(testbed); })) << testbed.describe_failure();
    EXPECT_EQ(testbed.status(0)["siblings"], 5);
    testbed.kill(1);
    ASSERT_TRUE(testbed.run_until([&] { return all_hold(testbed, 1, "gone"); }))
        << testbed.describe_failure();
    testbed.terminate(2);
    ASSERT_TRUE(testbed.run_until([&] { return all_hold(testbed, 2, "left"); }))
        << testbed.describe_failure();
    EXPECT_TRUE(view(testbed, 0, "whole")) << "nobody is missed";
    // Three of five are there: their module divides by fewer, at most by what is spared.
    ASSERT_TRUE(testbed.run_until([&] { return cluster_of(testbed, 0)["siblings"] == 3; }))
        << cluster_of(testbed, 0).dump(1);
    testbed.freeze(3);
    ASSERT_TRUE(testbed.run_until([&] { return all_hold(testbed, 3, "failed"); }))
        << testbed.describe_failure();
    EXPECT_TRUE(view(testbed, 0, "part"));
    serves(testbed, 0);
    const auto failures = cluster_of(testbed, 4)["failures"].get<int>();
    testbed.thaw(3);
    ASSERT_TRUE(testbed.run_until([&] { return all_hold(testbed, 3, "alive"); }))
        << testbed.describe_failure();
    EXPECT_EQ(cluster_of(testbed, 4)["failures"], failures);
    EXPECT_EQ(cluster_of(testbed, 3)["failures"], 0) << "who wakes takes nobody for dead";
    testbed.restart(1), testbed.restart(2);
    ASSERT_TRUE(testbed.run_until([&] { return whole(testbed); })) << testbed.describe_failure();
    EXPECT_EQ(cluster_of(testbed, 0)["siblings"], 5);
    ASSERT_TRUE(testbed.run_until_idle()) << testbed.describe_failure();
}

// A split of both sides, one of them a single sidecar: each serves, none divides by fewer, and all agree
// after it.
TEST(Cluster, ServesOnBothSidesOfAPartitionAndAgreesAfterIt) {
    ProcessTestbed testbed(knowing(5));
    testbed.start();
    ASSERT_TRUE(testbed.run_until([&] { return whole(testbed); })) << testbed.describe_failure();
    Rule split;
    split.name = "split", split.groups = {{"n-0"}, {"n-1", "n-2", "n-3", "n-4"}};
    testbed.context().put_rule(split);
    ASSERT_TRUE(testbed.run_until([&] { return view(testbed, 0, "alone"); })) << testbed.describe_failure();
    for (std::size_t i = 1; i < 5; ++i) {
        ASSERT_TRUE(testbed.run_until([&] {
            return view(testbed, i, "part") && state(testbed, i, 0) == "failed";
        })) << i;
    }
    for (std::size_t i = 0; i < 5; ++i) {
        serves(testbed, i);
        EXPECT_EQ(cluster_of(testbed, i)["siblings"], 5);
    }
    EXPECT_EQ(cluster_of(testbed, 0)["count"]["silent"], 0) << "it is not the others that are silent";
    testbed.context().remove_rule("split");
    ASSERT_TRUE(testbed.run_until([&] { return whole(testbed); })) << testbed.describe_failure();
    ASSERT_TRUE(testbed.run_until_idle()) << testbed.describe_failure();
}

// One hears another only by way of the rest, and a third of all datagrams are lost, some repeated and late.
TEST(Cluster, DeclaresNobodyFailedUnderLossAndAOneWayCut) {
    ProcessTestbed testbed(knowing(4));
    Rule lost = cut({"n-*"}, {"n-*"}), late = lost, twice = lost;
    lost.name = "lost", lost.type = FaultType::drop, lost.probability = 0.3;
    late.name = "late", late.type = FaultType::delay, late.delay = 30, late.jitter = 30,
    late.distribution = fault_proxy::DelayDistribution::uniform;
    twice.name = "twice", twice.type = FaultType::duplicate, twice.probability = 0.2;
    for (Rule* r : {&lost, &late, &twice})
        r->medium = fault_proxy::Medium::datagram, testbed.context().put_rule(*r);
    testbed.context().put_rule(cut({"n-0"}, {"n-1"}));
    testbed.start();
    ASSERT_TRUE(testbed.run_until([&] {
        for (std::size_t i = 0; i < 4; ++i)
            if (!view(testbed, i, "whole")) return false;
        return true;
    })) << testbed.describe_failure();
    // Until each has sent some hundred.
    ASSERT_TRUE(testbed.run_until([&] {
        for (std::size_t i = 0; i < 4; ++i)
            if (cluster_of(testbed, i)["messages"]["sent"] < 120) return false;
        return true;
    })) << testbed.describe_failure();
    for (std::size_t i = 0; i < 4; ++i)
        EXPECT_EQ(cluster_of(testbed, i)["failures"], 0) << cluster_of(testbed, i).dump(1);
    ASSERT_TRUE(testbed.run_until_idle()) << testbed.describe_failure();
}

// Three lives in a row, as quickly as they come up, the last with its clock ten minutes behind.
TEST(Cluster, AcceptsTheLatestRestartEvenIfItsClockIsBehind) {
    ProcessTestbed testbed(knowing(3));
    testbed.start();
    ASSERT_TRUE(testbed.run_until([&] { return whole(testbed); })) << testbed.describe_failure();
    for (int i = 0; i < 3; ++i) {
        testbed.kill(1);
        testbed.restart(1, "", i == 2 ? "[proof]\nclock_behind = \"10m\"\n" : "");
        ASSERT_TRUE(testbed.run_until([&] { return testbed.is_ready(1); })) << testbed.describe_failure();
    }
    ASSERT_TRUE(testbed.run_until([&] { return whole(testbed); })) << testbed.describe_failure();
    ASSERT_TRUE(testbed.run_until_idle()) << testbed.describe_failure();
}

// A flood from an address that is no peer's, and nonsense from a peer's own: dropped, counted, and requests
// go on.
TEST(Cluster, DropsDatagramsOfUnknownSendersAndServesMeanwhile) {
    ProcessTestbed testbed(knowing(2));
    testbed.start();
    ASSERT_TRUE(testbed.run_until([&] { return whole(testbed); })) << testbed.describe_failure();
    asio::io_context io;
    udp::socket stranger(io, {asio::ip::address_v4::loopback(), 0});
    const std::string noise(200, 'x');
    boost::system::error_code ignored;
    for (int round = 0; round < 20; ++round) {
        for (int i = 0; i < 500; ++i)
            stranger.send_to(asio::buffer(noise), testbed.cluster_endpoint(0), 0, ignored);
        serves(testbed, 0);
    }
    const json messages = cluster_of(testbed, 0)["messages"];
    EXPECT_GT(messages["strangers"], 100);
    EXPECT_EQ(messages["unreadable"], 0);
    ASSERT_TRUE(testbed.run_until([&] { return whole(testbed); })) << testbed.describe_failure();
    ASSERT_TRUE(testbed.run_until_idle()) << testbed.describe_failure();
}

}  // namespace
}  // namespace elmbay::process_testbed
