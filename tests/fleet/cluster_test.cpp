// The sidecars know each other: processes of the program, datagrams between them, and faults on both. Each
// asks the processes what they believe; waits are for events.
#include <boost/asio/ip/udp.hpp>

#include "scenarios.hpp"

namespace elmbay::fleet {
namespace {

using fault_proxy::Act;
using fault_proxy::Rule;

Options knowing(std::size_t sidecars) {
    Options options = few(sidecars, 2);
    options.cluster = true;
    return options;
}

json cluster_of(Fleet& fleet, std::size_t i) {
    const json status = fleet.status(i);  // null while it starts
    return status.is_object() ? status.value("cluster", json::object()) : json::object();
}
std::string state(Fleet& fleet, std::size_t by, std::size_t of) {
    const json c = cluster_of(fleet, by);
    return c.contains("members") ? c["members"][of]["state"].get<std::string>() : "";
}
bool view(Fleet& fleet, std::size_t by, const char* wanted) {
    return cluster_of(fleet, by).value("view", "") == wanted;
}
// What all of them hold of one.
bool all_hold(Fleet& fleet, std::size_t of, const char* wanted) {
    for (std::size_t i = 0; i < fleet.sidecars(); ++i)
        if (i != of && fleet.running(i) && !fleet.process(i).frozen() && state(fleet, i, of) != wanted)
            return false;
    return true;
}
bool agree(Fleet& fleet) {
    std::set<std::uint64_t> digests;
    for (std::size_t i = 0; i < fleet.sidecars(); ++i)
        if (fleet.running(i)) digests.insert(cluster_of(fleet, i).value("digest", std::uint64_t{i}));
    return digests.size() == 1;
}
bool whole(Fleet& fleet) {
    for (std::size_t i = 0; i < fleet.sidecars(); ++i)
        if (!view(fleet, i, "whole") || !all_hold(fleet, i, "alive")) return false;
    return agree(fleet);
}
void serves(Fleet& fleet, std::size_t i) {
    const std::string id = fleet.ask(i, "deposit");
    ASSERT_TRUE(fleet.until([&] { return fleet.ended(id); })) << fleet.story();
    EXPECT_EQ(fleet.answer(id), Ledger::Answer::served) << fleet.story(id);
}
Rule cut(std::vector<std::string> from, std::vector<std::string> to) {
    Rule r;
    r.name = "cut", r.act = Act::cut, r.from = std::move(from), r.to = std::move(to);
    return r;
}

TEST(Cluster, AKillAnEndAndAFreezeAreToldApartAndTakenBack) {
    Fleet fleet(knowing(5));
    fleet.start();
    ASSERT_TRUE(fleet.until([&] { return whole(fleet); })) << fleet.story();
    EXPECT_EQ(fleet.status(0)["siblings"], 5);
    fleet.kill(1);
    ASSERT_TRUE(fleet.until([&] { return all_hold(fleet, 1, "gone"); })) << fleet.story();
    fleet.terminate(2);
    ASSERT_TRUE(fleet.until([&] { return all_hold(fleet, 2, "left"); })) << fleet.story();
    EXPECT_TRUE(view(fleet, 0, "whole")) << "nobody is missed";
    // Three of five are there: their module divides by fewer, at most by what is spared.
    ASSERT_TRUE(fleet.until([&] { return cluster_of(fleet, 0)["siblings"] == 3; }))
        << cluster_of(fleet, 0).dump(1);
    fleet.freeze(3);
    ASSERT_TRUE(fleet.until([&] { return all_hold(fleet, 3, "failed"); })) << fleet.story();
    EXPECT_TRUE(view(fleet, 0, "part"));
    serves(fleet, 0);
    const auto failures = cluster_of(fleet, 4)["failures"].get<int>();
    fleet.thaw(3);
    ASSERT_TRUE(fleet.until([&] { return all_hold(fleet, 3, "alive"); })) << fleet.story();
    EXPECT_EQ(cluster_of(fleet, 4)["failures"], failures);
    EXPECT_EQ(cluster_of(fleet, 3)["failures"], 0) << "who wakes takes nobody for dead";
    fleet.restart(1), fleet.restart(2);
    ASSERT_TRUE(fleet.until([&] { return whole(fleet); })) << fleet.story();
    EXPECT_EQ(cluster_of(fleet, 0)["siblings"], 5);
    ASSERT_TRUE(fleet.settle()) << fleet.story();
}

// A split of both sides, one of them a single sidecar: each serves, none divides by fewer, and all agree
// after it.
TEST(Cluster, EachSideOfASplitServesAndTheyAgreeAfterIt) {
    Fleet fleet(knowing(5));
    fleet.start();
    ASSERT_TRUE(fleet.until([&] { return whole(fleet); })) << fleet.story();
    Rule split;
    split.name = "split", split.groups = {{"n-0"}, {"n-1", "n-2", "n-3", "n-4"}};
    fleet.ground().put(split);
    ASSERT_TRUE(fleet.until([&] { return view(fleet, 0, "alone"); })) << fleet.story();
    for (std::size_t i = 1; i < 5; ++i) {
        ASSERT_TRUE(fleet.until([&] { return view(fleet, i, "part") && state(fleet, i, 0) == "failed"; }))
            << i;
    }
    for (std::size_t i = 0; i < 5; ++i) {
        serves(fleet, i);
        EXPECT_EQ(cluster_of(fleet, i)["siblings"], 5);
    }
    EXPECT_EQ(cluster_of(fleet, 0)["count"]["silent"], 0) << "it is not the others that are silent";
    fleet.ground().take_away("split");
    ASSERT_TRUE(fleet.until([&] { return whole(fleet); })) << fleet.story();
    ASSERT_TRUE(fleet.settle()) << fleet.story();
}

// One hears another only by way of the rest, and a third of all datagrams are lost, some repeated and late.
TEST(Cluster, OneWayLinksAndLossFailNobody) {
    Fleet fleet(knowing(4));
    Rule lost = cut({"n-*"}, {"n-*"}), late = lost, twice = lost;
    lost.name = "lost", lost.act = Act::lose, lost.chance = 0.3;
    late.name = "late", late.act = Act::delay, late.span = 30, late.jitter = 30,
    late.law = fault_proxy::Law::uniform;
    twice.name = "twice", twice.act = Act::repeat, twice.chance = 0.2;
    for (Rule* r : {&lost, &late, &twice}) r->medium = fault_proxy::Medium::datagram, fleet.ground().put(*r);
    fleet.ground().put(cut({"n-0"}, {"n-1"}));
    fleet.start();
    ASSERT_TRUE(fleet.until([&] {
        for (std::size_t i = 0; i < 4; ++i)
            if (!view(fleet, i, "whole")) return false;
        return true;
    })) << fleet.story();
    // Until each has sent some hundred.
    ASSERT_TRUE(fleet.until([&] {
        for (std::size_t i = 0; i < 4; ++i)
            if (cluster_of(fleet, i)["messages"]["sent"] < 120) return false;
        return true;
    })) << fleet.story();
    for (std::size_t i = 0; i < 4; ++i)
        EXPECT_EQ(cluster_of(fleet, i)["failures"], 0) << cluster_of(fleet, i).dump(1);
    ASSERT_TRUE(fleet.settle()) << fleet.story();
}

// Three lives in a row, as quickly as they come up, the last with its clock ten minutes behind.
TEST(Cluster, ALaterLifeWinsWhateverItsClockSays) {
    Fleet fleet(knowing(3));
    fleet.start();
    ASSERT_TRUE(fleet.until([&] { return whole(fleet); })) << fleet.story();
    for (int i = 0; i < 3; ++i) {
        fleet.kill(1);
        fleet.restart(1, "", i == 2 ? "[proof]\nclock_behind = \"10m\"\n" : "");
        ASSERT_TRUE(fleet.until([&] { return fleet.ready(1); })) << fleet.story();
    }
    ASSERT_TRUE(fleet.until([&] { return whole(fleet); })) << fleet.story();
    ASSERT_TRUE(fleet.settle()) << fleet.story();
}

// A flood from an address that is no peer's, and nonsense from a peer's own: dropped, counted, and requests
// go on.
TEST(Cluster, AFloodOfStrangersIsDroppedWhileRequestsGoOn) {
    Fleet fleet(knowing(2));
    fleet.start();
    ASSERT_TRUE(fleet.until([&] { return whole(fleet); })) << fleet.story();
    asio::io_context io;
    udp::socket stranger(io, {asio::ip::address_v4::loopback(), 0});
    const std::string noise(200, 'x');
    boost::system::error_code ignored;
    for (int round = 0; round < 20; ++round) {
        for (int i = 0; i < 500; ++i)
            stranger.send_to(asio::buffer(noise), fleet.peer_listen_of(0), 0, ignored);
        serves(fleet, 0);
    }
    const json messages = cluster_of(fleet, 0)["messages"];
    EXPECT_GT(messages["strangers"], 100);
    EXPECT_EQ(messages["unreadable"], 0);
    ASSERT_TRUE(fleet.until([&] { return whole(fleet); })) << fleet.story();
    ASSERT_TRUE(fleet.settle()) << fleet.story();
}

}  // namespace
}  // namespace elmbay::fleet
