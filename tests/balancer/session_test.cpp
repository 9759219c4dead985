// Sessions: their upgrades obey the rules of requests, and what they hold is counted apart from attempts.
#include <stdexcept>

#include "rig.hpp"

namespace elmbay::balancer::test {
namespace {

// Indices of the classes: idempotent, non-idempotent, with an idempotency key.
constexpr std::uint32_t kListen = 0;
constexpr std::uint32_t kDeposit = 1;
constexpr std::uint32_t kAnnotate = 2;

Settings settings_with_sessions(std::uint32_t max_sessions = 100000,
                                std::uint32_t max_per_server = UINT32_MAX) {
    Settings settings =
        make_settings({make_class(Idempotency::idempotent), make_class(Idempotency::non_idempotent),
                       make_class(Idempotency::idempotency_key)});
    settings.max_sessions = max_sessions;
    settings.max_sessions_per_server = max_per_server;
    return settings;
}

struct SessionRig : Rig {
    explicit SessionRig(Settings settings = settings_with_sessions(), ServerId servers = 12)
        : Rig(std::move(settings)) {
        handle(Started{});
        apply_list(ListKind::snapshot, make_servers(servers));
    }
    RequestId upgrade(std::uint32_t class_index = kListen) { return request(class_index, 1000, false, true); }
    // Starts a session and counts it at its server.
    RequestId session() {
        const RequestId id = upgrade();
        if (!is_in_flight(id)) throw std::runtime_error("no server for session " + std::to_string(id));
        end(id, Outcome::success, 5);
        ++held[last_server(id)];
        return id;
    }
    std::map<ServerId, int> held;  // sessions started, by server
};

// A balancer with a thousand sessions, and one of the same seed with none, send the same requests.
TEST(SessionTest, SessionsTakeNoCapacityFromRequests) {
    SessionRig with, without;
    for (int i = 0; i < 1000; ++i) with.session();
    without.now = with.now;
    EXPECT_EQ(with.balancer.resource_usage().sessions, 1000U);
    EXPECT_EQ(with.balancer.resource_usage().requests, 0U) << "nothing is left of the upgrades";
    EXPECT_EQ(with.count_in_flight(with.burst(2000)), without.count_in_flight(without.burst(2000)));
}

// Upgrades take a few ms while work takes long. The servers are as busy as before.
TEST(SessionTest, QuickUpgradesDoNotLowerTheLoadRatio) {
    SessionRig rig;
    for (int i = 0; i < 40; ++i) rig.end(rig.request(), Outcome::success, 390);
    const double load_ratio = rig.balancer.learned_state(rig.now).load_ratio.value;
    ASSERT_GT(load_ratio, 0.9);
    for (int i = 0; i < 200; ++i) rig.session();
    EXPECT_EQ(rig.balancer.learned_state(rig.now).load_ratio.value, load_ratio);
}

TEST(SessionTest, SpreadsSessionsByTheNumberHeld) {
    SessionRig rig;
    for (int i = 0; i < 1200; ++i) rig.session();
    EXPECT_EQ(rig.held.size(), 12U);
    for (const auto& [server, n] : rig.held) EXPECT_NEAR(n, 100, 8) << server;
}

// Sessions at a server are no reason to send it fewer requests, nor the other way round.
TEST(SessionTest, SpreadsRequestsByInFlightWhateverSessionsAreHeld) {
    SessionRig rig(settings_with_sessions(), 2);
    std::vector<RequestId> first;
    for (int i = 0; i < 400; ++i) first.push_back(rig.session());
    for (const RequestId id : first) {
        if (rig.last_server(id) == 1) rig.end_session(id);  // server 2 holds 200, server 1 none
    }
    std::map<ServerId, int> work;
    const auto burst = rig.burst(16);
    for (const RequestId id : burst) ++work[rig.last_server(id)];
    EXPECT_EQ(work[1], work[2]);
    for (const RequestId id : burst) {
        if (rig.last_server(id) == 2) rig.end(id, Outcome::success, 1);  // server 1 still has its requests
    }
    for (int i = 0; i < 50; ++i) EXPECT_EQ(rig.last_server(rig.session()), 1U);
}

TEST(SessionTest, ManySessionsWidenThePool) {
    Settings settings = settings_with_sessions();
    settings.siblings = 1000;
    SessionRig rig(settings, 100);
    for (int i = 0; i < 640; ++i) {
        rig.session();
        rig.advance(50);
    }
    EXPECT_GE(rig.held.size(), 35U) << "four servers would hold 160 each";
}

TEST(SessionTest, RejectsBeyondMaxSessionsUntilOneEnds) {
    SessionRig rig(settings_with_sessions(3));
    const RequestId first = rig.session(), second = rig.session(), upgrading = rig.upgrade();
    const RequestId fourth = rig.upgrade();
    EXPECT_TRUE(rig.requests.at(fourth).rejected) << "an upgrade in flight counts";
    rig.end(upgrading, Outcome::success);
    rig.end_session(first);
    rig.end_session(first);  // ended twice: gives one place back
    const RequestId fifth = rig.upgrade();
    EXPECT_TRUE(rig.is_in_flight(fifth));
    EXPECT_TRUE(rig.requests.at(rig.upgrade()).rejected);
    rig.end(fifth, Outcome::error_response);
    rig.advance(2000);
    EXPECT_TRUE(rig.is_in_flight(rig.upgrade())) << "a failed upgrade holds nothing";
    rig.end_session(second);
    rig.end_session(987654321);
}

TEST(SessionTest, OneServerHoldsAtMostMaxSessionsPerServer) {
    SessionRig rig(settings_with_sessions(1000, 10), 4);
    for (int i = 0; i < 20; ++i) {  // a failed upgrade holds nothing
        for (const RequestId id = rig.upgrade(kDeposit); rig.is_in_flight(id);) {
            rig.end(id, Outcome::not_sent, 1);
        }
    }
    for (int i = 0; i < 40; ++i) rig.session();
    for (const auto& [server, n] : rig.held) EXPECT_EQ(n, 10) << server;
    const RequestId more = rig.upgrade();
    rig.advance(400);
    EXPECT_TRUE(rig.requests.at(more).rejected);
    EXPECT_TRUE(rig.is_in_flight(rig.request())) << "requests go on";
}

TEST(SessionTest, RejectsEachWhenMaxSessionsIsZero) {
    SessionRig rig(settings_with_sessions(0));
    EXPECT_TRUE(rig.requests.at(rig.upgrade()).rejected);
    EXPECT_EQ(rig.balancer.resource_usage().requests, 0U);
}

// The server took the upgrade and its response was lost: it may have run.
TEST(SessionTest, RetriesUpgradeAfterResetWhereTheClassAllows) {
    SessionRig rig;
    const RequestId listen = rig.upgrade(kListen), deposit = rig.upgrade(kDeposit),
                    annotate = rig.upgrade(kAnnotate);
    for (const RequestId id : {listen, deposit, annotate}) rig.end(id, Outcome::connection_reset);
    EXPECT_EQ(rig.attempt_count(listen), 2U);
    EXPECT_EQ(rig.attempt_count(deposit), 1U);
    EXPECT_TRUE(rig.is_closed(rig.requests.at(deposit)));
    EXPECT_FALSE(rig.requests.at(deposit).rejected) << "the session may stand at the server";
    EXPECT_EQ(rig.attempt_count(annotate), 2U);
    // A rejected upgrade never ran: any class is retried.
    const RequestId other = rig.upgrade(kDeposit);
    rig.end(other, Outcome::rejected);
    EXPECT_EQ(rig.attempt_count(other), 2U);
}

TEST(SessionTest, HoldsNoSessionForAClientThatHasGone) {
    SessionRig rig;
    const RequestId id = rig.upgrade();
    rig.requests.at(id).client_disconnected = true;
    rig.handle(ClientDisconnected{id});
    rig.end(id, Outcome::success);  // its success and the cancellation have crossed
    EXPECT_EQ(rig.balancer.resource_usage().sessions, 0U);
    EXPECT_EQ(rig.balancer.resource_usage().requests, 0U);
}

TEST(SessionTest, StartsNoSessionAtADrainingServer) {
    SessionRig rig(settings_with_sessions(), 2);
    for (int i = 0; i < 20; ++i) rig.session();
    rig.apply_list(ListKind::incremental, {{1, 1, 0, 1, EndpointState::draining, 0}});
    for (int i = 0; i < 100; ++i) EXPECT_EQ(rig.last_server(rig.session()), 2U);
}

// A server that has restarted holds none. Only what slow start allows goes there.
TEST(SessionTest, SlowStartLimitsUpgradesToARestartedServer) {
    SessionRig rig;
    for (int i = 0; i < 600; ++i) rig.end(rig.request(), Outcome::success, 5);
    std::vector<RequestId> broken;
    for (int i = 0; i < 600; ++i) {
        if (const RequestId id = rig.session(); rig.last_server(id) == 3) broken.push_back(id);
    }
    for (const RequestId id : broken) rig.end_session(id, true);
    const Millis boot = rig.now;
    rig.apply_list(ListKind::incremental, {{3, 0, 0, 1, EndpointState::active, boot}});
    int there = 0;
    for (int i = 0; i < 200; ++i) there += rig.last_server(rig.session()) == 3;
    EXPECT_LE(there, 200 / 12) << "a fifth of a warm server's share, rising, in a second";
}

TEST(SessionTest, EjectsServerThatBreaksSessionsNotOneThatClosesThem) {
    SessionRig rig;
    std::map<ServerId, std::vector<RequestId>> at;
    for (int i = 0; i < 600; ++i) {
        const RequestId id = rig.session();
        at[rig.last_server(id)].push_back(id);
    }
    for (const RequestId id : at[5]) rig.end_session(id, false);
    EXPECT_EQ(rig.ejection_count(), 0);
    for (const RequestId id : at[7]) rig.end_session(id, true);
    EXPECT_EQ(rig.ejection_count(), 1) << "once, for all sessions of a process that died";
    for (int i = 0; i < 100; ++i) EXPECT_NE(rig.last_server(rig.session()), 7U);
}

// A server that has left the list is known until its last session has ended, and no longer.
TEST(SessionTest, ForgetsUnlistedServerWithItsLastSession) {
    SessionRig rig(settings_with_sessions(), 1);
    const RequestId one = rig.session(), two = rig.session();
    rig.apply_list(ListKind::snapshot, {});
    EXPECT_EQ(rig.balancer.resource_usage().servers, 1U);
    rig.end_session(one);
    EXPECT_EQ(rig.balancer.resource_usage().servers, 1U);
    rig.end_session(two, true);
    EXPECT_EQ(rig.balancer.resource_usage().servers, 0U);
}

}  // namespace
}  // namespace elmbay::balancer::test
