// Sessions: their upgrades under the rules of requests, what they hold apart from them.
#include <stdexcept>

#include "rig.hpp"

namespace elmbay::balancer::test {
namespace {

constexpr std::uint32_t kListen = 0, kDeposit = 1, kAnnotate = 2;

Settings with_sessions(std::uint32_t most = 100000, std::uint32_t at_one = UINT32_MAX) {
    Settings s = make_settings({make_class(Idempotency::idempotent), make_class(Idempotency::non_idempotent),
                                make_class(Idempotency::idempotency_key)});
    s.max_sessions = most;
    s.max_sessions_per_server = at_one;
    return s;
}

struct Sessions : Rig {
    explicit Sessions(Settings s = with_sessions(), ServerId servers = 12) : Rig(std::move(s)) {
        give(Started{});
        list(ListKind::snapshot, make_servers(servers));
    }
    RequestId upgrade(std::uint32_t class_index = kListen) { return request(class_index, 1000, false, true); }
    // One that stands; the server that holds it.
    RequestId session() {
        const RequestId id = upgrade();
        if (!out(id)) throw std::runtime_error("no server for session " + std::to_string(id));
        end(id, Outcome::success, 5);
        ++held[where(id)];
        return id;
    }
    std::map<ServerId, int> held;
};

// A balancer with a thousand sessions against one with none, same seed: the same requests in flight.
TEST(Session, AThousandTakeNoRoomFromRequests) {
    Sessions with, without;
    for (int i = 0; i < 1000; ++i) with.session();
    without.now = with.now;
    EXPECT_EQ(with.balancer.resource_usage().sessions, 1000U);
    EXPECT_EQ(with.balancer.resource_usage().requests, 0U) << "nothing but the sessions is left of them";
    EXPECT_EQ(with.still_out(with.burst(2000)), without.still_out(without.burst(2000)));
}

// Upgrades take a few ms, work takes long: a crowd is still a crowd.
TEST(Session, QuickUpgradesDoNotTeachThatWorkIsQuick) {
    Sessions rig;
    for (int i = 0; i < 40; ++i) rig.end(rig.request(), Outcome::success, 390);
    const Millis room = rig.balancer.learned_state(rig.now).load_ratio.value;
    ASSERT_GT(room, 0.9);
    for (int i = 0; i < 200; ++i) rig.session();
    EXPECT_EQ(rig.balancer.learned_state(rig.now).load_ratio.value, room);
}

TEST(Session, NewOnesAreSpreadByThoseHeld) {
    Sessions rig;
    for (int i = 0; i < 1200; ++i) rig.session();
    EXPECT_EQ(rig.held.size(), 12U);
    for (const auto& [server, n] : rig.held) EXPECT_NEAR(n, 100, 8) << server;
}

// What a server holds of the one is no reason to avoid it for the other.
TEST(Session, AndRequestsByThoseOutWhateverIsHeld) {
    Sessions rig(with_sessions(), 2);
    std::vector<RequestId> first;
    for (int i = 0; i < 400; ++i) first.push_back(rig.session());
    for (const RequestId id : first)
        if (rig.where(id) == 1) rig.end_session(id);  // server 2 holds 200, server 1 none
    std::map<ServerId, int> work;
    const auto burst = rig.burst(16);
    for (const RequestId id : burst) ++work[rig.where(id)];
    EXPECT_EQ(work[1], work[2]);
    for (const RequestId id : burst)
        if (rig.where(id) == 2) rig.end(id, Outcome::success, 1);  // server 1 is still at work
    for (int i = 0; i < 50; ++i) EXPECT_EQ(rig.where(rig.session()), 1U);
}

TEST(Session, ManyWidenTheNarrowPoolOfALightSidecar) {
    Settings s = with_sessions();
    s.siblings = 1000;
    Sessions rig(s, 100);
    for (int i = 0; i < 640; ++i) rig.session(), rig.pass(50);
    EXPECT_GE(rig.held.size(), 35U) << "four servers would hold 160 each";
}

TEST(Session, WithoutAPlaceTheyAreRefusedAndAnEndGivesOneBack) {
    Sessions rig(with_sessions(3));
    const RequestId first = rig.session(), second = rig.session(), upgrading = rig.upgrade();
    const RequestId fourth = rig.upgrade();
    EXPECT_TRUE(rig.requests.at(fourth).refused) << "an upgrade under way has its place";
    rig.end(upgrading, Outcome::success);
    rig.end_session(first);
    rig.end_session(first);  // ended twice: one place
    const RequestId fifth = rig.upgrade();
    EXPECT_TRUE(rig.out(fifth));
    EXPECT_TRUE(rig.requests.at(rig.upgrade()).refused);
    rig.end(fifth, Outcome::error_response);
    rig.pass(2000);
    EXPECT_TRUE(rig.out(rig.upgrade())) << "one that failed holds nothing";
    rig.end_session(second);
    rig.end_session(987654321);
}

TEST(Session, OneServerHoldsNoMoreThanItsPart) {
    Sessions rig(with_sessions(1000, 10), 4);
    for (int i = 0; i < 20; ++i)  // what came to nothing holds nothing
        for (const RequestId id = rig.upgrade(kDeposit); rig.out(id);) rig.end(id, Outcome::not_sent, 1);
    for (int i = 0; i < 40; ++i) rig.session();
    for (const auto& [server, n] : rig.held) EXPECT_EQ(n, 10) << server;
    const RequestId more = rig.upgrade();
    rig.pass(400);
    EXPECT_TRUE(rig.requests.at(more).refused);
    EXPECT_TRUE(rig.out(rig.request())) << "requests go on";
}

TEST(Session, OffMeansThatEachIsRefused) {
    Sessions rig(with_sessions(0));
    EXPECT_TRUE(rig.requests.at(rig.upgrade()).refused);
    EXPECT_EQ(rig.balancer.resource_usage().requests, 0U);
}

// The server took it and the reply was lost: it may have run.
TEST(Session, AnUpgradeWhoseReplyIsLostIsTriedAgainWhereTheClassAllows) {
    Sessions rig;
    const RequestId listen = rig.upgrade(kListen), deposit = rig.upgrade(kDeposit),
                    annotate = rig.upgrade(kAnnotate);
    for (const RequestId id : {listen, deposit, annotate}) rig.end(id, Outcome::connection_reset);
    EXPECT_EQ(rig.sends(listen), 2U);
    EXPECT_EQ(rig.sends(deposit), 1U);
    EXPECT_TRUE(rig.closed(rig.requests.at(deposit)));
    EXPECT_FALSE(rig.requests.at(deposit).refused) << "it may stand at the server";
    EXPECT_EQ(rig.sends(annotate), 2U);
    // Turned away, it never ran: any class goes on.
    const RequestId other = rig.upgrade(kDeposit);
    rig.end(other, Outcome::rejected);
    EXPECT_EQ(rig.sends(other), 2U);
}

TEST(Session, NoneIsHeldForAClientThatHasGone) {
    Sessions rig;
    const RequestId id = rig.upgrade();
    rig.requests.at(id).gone = true;
    rig.give(ClientDisconnected{id});
    rig.end(id, Outcome::success);  // the upgrade and the cancel have crossed
    EXPECT_EQ(rig.balancer.resource_usage().sessions, 0U);
    EXPECT_EQ(rig.balancer.resource_usage().requests, 0U);
}

TEST(Session, ADrainingServerGetsNoNewOne) {
    Sessions rig(with_sessions(), 2);
    for (int i = 0; i < 20; ++i) rig.session();
    rig.list(ListKind::incremental, {{1, 1, 0, 1, EndpointState::draining, 0}});
    for (int i = 0; i < 100; ++i) EXPECT_EQ(rig.where(rig.session()), 2U);
}

// Servers that have started anew hold none: only what the cold-start rule allows goes there.
TEST(Session, AColdServerThatHoldsNoneIsNotRunOver) {
    Sessions rig;
    for (int i = 0; i < 600; ++i) rig.end(rig.request(), Outcome::success, 5);
    std::vector<RequestId> broken;
    for (int i = 0; i < 600; ++i)
        if (const RequestId id = rig.session(); rig.where(id) == 3) broken.push_back(id);
    for (const RequestId id : broken) rig.end_session(id, true);
    const Millis boot = rig.now;
    rig.list(ListKind::incremental, {{3, 0, 0, 1, EndpointState::active, boot}});
    int there = 0;
    for (int i = 0; i < 200; ++i) there += rig.where(rig.session()) == 3;
    EXPECT_LE(there, 200 / 12) << "a fifth of a warm server's part, rising, in a second";
}

TEST(Session, AServerThatBreaksWhatItHoldsIsRemovedAndOneThatEndsItInOrderIsNot) {
    Sessions rig;
    std::map<ServerId, std::vector<RequestId>> at;
    for (int i = 0; i < 600; ++i) {
        const RequestId id = rig.session();
        at[rig.where(id)].push_back(id);
    }
    for (const RequestId id : at[5]) rig.end_session(id, false);
    EXPECT_EQ(rig.removals(), 0);
    for (const RequestId id : at[7]) rig.end_session(id, true);
    EXPECT_EQ(rig.removals(), 1) << "a process that died: once, for all of its sessions";
    for (int i = 0; i < 100; ++i) EXPECT_NE(rig.where(rig.session()), 7U);
}

// Gone from the list with sessions: known until the last has ended, and no longer.
TEST(Session, AServerIsForgottenWithItsLastSession) {
    Sessions rig(with_sessions(), 1);
    const RequestId one = rig.session(), two = rig.session();
    rig.list(ListKind::snapshot, {});
    EXPECT_EQ(rig.balancer.resource_usage().servers, 1U);
    rig.end_session(one);
    EXPECT_EQ(rig.balancer.resource_usage().servers, 1U);
    rig.end_session(two, true);
    EXPECT_EQ(rig.balancer.resource_usage().servers, 0U);
}

}  // namespace
}  // namespace elmbay::balancer::test
