// Tests of sessions: their upgrades follow the rules for requests, and sessions are counted separately from
// attempts.
#include <stdexcept>

#include "rig.hpp"

namespace elmbay::balancer::test {
namespace {

// Indices of the request classes.
constexpr std::uint32_t kIdempotentClass = 0;
constexpr std::uint32_t kNonIdempotentClass = 1;
constexpr std::uint32_t kIdempotencyKeyClass = 2;

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
    RequestId upgrade(std::uint32_t class_index = kIdempotentClass) {
        return request(class_index, 1000, false, true);
    }
    // Starts a session and counts it for its server.
    RequestId session() {
        const RequestId id = upgrade();
        if (!is_in_flight(id)) throw std::runtime_error("no server for session " + std::to_string(id));
        end(id, Outcome::success, 5);
        ++sessions_by_server[last_server(id)];
        return id;
    }
    std::map<ServerId, int> sessions_by_server;  // number of sessions started
};

// A balancer with a thousand sessions and one with the same seed and no sessions must admit the same number
// of requests.
TEST(SessionTest, SessionsTakeNoCapacityFromRequests) {
    SessionRig with_sessions, without_sessions;
    for (int i = 0; i < 1000; ++i) with_sessions.session();
    without_sessions.now = with_sessions.now;
    EXPECT_EQ(with_sessions.balancer.resource_usage().sessions, 1000U);
    EXPECT_EQ(with_sessions.balancer.resource_usage().requests, 0U)
        << "no upgrade remains in the request table";
    EXPECT_EQ(with_sessions.count_in_flight(with_sessions.burst(2000)),
              without_sessions.count_in_flight(without_sessions.burst(2000)));
}

// Upgrades take a few milliseconds while request processing takes long. The load ratio of the servers must
// not change.
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
    EXPECT_EQ(rig.sessions_by_server.size(), 12U);
    for (const auto& [server, count] : rig.sessions_by_server) EXPECT_NEAR(count, 100, 8) << server;
}

// Sessions at a server do not reduce its requests, and requests do not reduce its sessions.
TEST(SessionTest, SpreadsRequestsByInFlightRegardlessOfSessions) {
    SessionRig rig(settings_with_sessions(), 2);
    std::vector<RequestId> first;
    for (int i = 0; i < 400; ++i) first.push_back(rig.session());
    for (const RequestId id : first) {
        if (rig.last_server(id) == 1) rig.end_session(id);  // server 2 has 200 sessions, server 1 none
    }
    std::map<ServerId, int> work;
    const auto burst = rig.burst(16);
    for (const RequestId id : burst) ++work[rig.last_server(id)];
    EXPECT_EQ(work[1], work[2]);
    for (const RequestId id : burst) {
        // Server 1 still has its requests in flight.
        if (rig.last_server(id) == 2) rig.end(id, Outcome::success, 1);
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
    EXPECT_GE(rig.sessions_by_server.size(), 35U) << "four servers would have 160 sessions each";
}

TEST(SessionTest, RejectsBeyondMaxSessionsUntilOneEnds) {
    SessionRig rig(settings_with_sessions(3));
    const RequestId first = rig.session(), second = rig.session(), upgrading = rig.upgrade();
    const RequestId fourth = rig.upgrade();
    EXPECT_TRUE(rig.requests.at(fourth).rejected) << "an upgrade in flight counts";
    rig.end(upgrading, Outcome::success);
    rig.end_session(first);
    rig.end_session(first);  // a second end of one session releases no further capacity
    const RequestId fifth = rig.upgrade();
    EXPECT_TRUE(rig.is_in_flight(fifth));
    EXPECT_TRUE(rig.requests.at(rig.upgrade()).rejected);
    rig.end(fifth, Outcome::error_response);
    rig.advance(2000);
    EXPECT_TRUE(rig.is_in_flight(rig.upgrade())) << "a failed upgrade does not count as a session";
    rig.end_session(second);
    rig.end_session(987654321);
}

TEST(SessionTest, OneServerHoldsAtMostMaxSessionsPerServer) {
    SessionRig rig(settings_with_sessions(1000, 10), 4);
    for (int i = 0; i < 20; ++i) {  // a failed upgrade does not count as a session
        for (const RequestId id = rig.upgrade(kNonIdempotentClass); rig.is_in_flight(id);) {
            rig.end(id, Outcome::not_sent, 1);
        }
    }
    for (int i = 0; i < 40; ++i) rig.session();
    for (const auto& [server, count] : rig.sessions_by_server) EXPECT_EQ(count, 10) << server;
    const RequestId more = rig.upgrade();
    rig.advance(400);
    EXPECT_TRUE(rig.requests.at(more).rejected);
    EXPECT_TRUE(rig.is_in_flight(rig.request())) << "requests are still sent";
}

TEST(SessionTest, RejectsEveryUpgradeWhenMaxSessionsIsZero) {
    SessionRig rig(settings_with_sessions(0));
    EXPECT_TRUE(rig.requests.at(rig.upgrade()).rejected);
    EXPECT_EQ(rig.balancer.resource_usage().requests, 0U);
}

// The server may have accepted the upgrade although its response was lost: the attempt may have run.
TEST(SessionTest, RetriesUpgradeAfterResetIfTheClassAllows) {
    SessionRig rig;
    const RequestId idempotent = rig.upgrade(kIdempotentClass),
                    non_idempotent = rig.upgrade(kNonIdempotentClass),
                    with_key = rig.upgrade(kIdempotencyKeyClass);
    for (const RequestId id : {idempotent, non_idempotent, with_key}) rig.end(id, Outcome::connection_reset);
    EXPECT_EQ(rig.attempt_count(idempotent), 2U);
    EXPECT_EQ(rig.attempt_count(non_idempotent), 1U);
    EXPECT_TRUE(rig.is_closed(rig.requests.at(non_idempotent)));
    EXPECT_FALSE(rig.requests.at(non_idempotent).rejected) << "the session may exist at the server";
    EXPECT_EQ(rig.attempt_count(with_key), 2U);
    // A rejected upgrade never ran, so it is retried for every class.
    const RequestId other = rig.upgrade(kNonIdempotentClass);
    rig.end(other, Outcome::rejected);
    EXPECT_EQ(rig.attempt_count(other), 2U);
}

TEST(SessionTest, HoldsNoSessionForADisconnectedClient) {
    SessionRig rig;
    const RequestId id = rig.upgrade();
    rig.requests.at(id).client_disconnected = true;
    rig.handle(ClientDisconnected{id});
    rig.end(id, Outcome::success);  // the success and the cancellation cross on the way
    EXPECT_EQ(rig.balancer.resource_usage().sessions, 0U);
    EXPECT_EQ(rig.balancer.resource_usage().requests, 0U);
}

TEST(SessionTest, StartsNoSessionAtADrainingServer) {
    SessionRig rig(settings_with_sessions(), 2);
    for (int i = 0; i < 20; ++i) rig.session();
    rig.apply_list(ListKind::incremental, {{1, 1, 0, 1, EndpointState::draining, 0}});
    for (int i = 0; i < 100; ++i) EXPECT_EQ(rig.last_server(rig.session()), 2U);
}

// A restarted server has no sessions. It must receive only the upgrades that slow start permits.
TEST(SessionTest, SlowStartLimitsUpgradesToARestartedServer) {
    SessionRig rig;
    for (int i = 0; i < 600; ++i) rig.end(rig.request(), Outcome::success, 5);
    std::vector<RequestId> broken;
    for (int i = 0; i < 600; ++i) {
        if (const RequestId id = rig.session(); rig.last_server(id) == 3) broken.push_back(id);
    }
    for (const RequestId id : broken) rig.end_session(id, true);
    const Millis restarted_at = rig.now;
    rig.apply_list(ListKind::incremental, {{3, 0, 0, 1, EndpointState::active, restarted_at}});
    int sent_to_restarted = 0;
    for (int i = 0; i < 200; ++i) sent_to_restarted += rig.last_server(rig.session()) == 3;
    EXPECT_LE(sent_to_restarted, 200 / 12)
        << "in one second, a server in slow start receives a fifth of a warm server's share or slightly more";
}

TEST(SessionTest, EjectsServerThatBreaksSessionsNotOneThatClosesThem) {
    SessionRig rig;
    std::map<ServerId, std::vector<RequestId>> sessions_at;
    for (int i = 0; i < 600; ++i) {
        const RequestId id = rig.session();
        sessions_at[rig.last_server(id)].push_back(id);
    }
    for (const RequestId id : sessions_at[5]) rig.end_session(id, false);
    EXPECT_EQ(rig.ejection_count(), 0);
    for (const RequestId id : sessions_at[7]) rig.end_session(id, true);
    EXPECT_EQ(rig.ejection_count(), 1) << "one ejection for all sessions of a failed process";
    for (int i = 0; i < 100; ++i) EXPECT_NE(rig.last_server(rig.session()), 7U);
}

// An unlisted server is kept until its last session has ended and is then removed.
TEST(SessionTest, RemovesUnlistedServerAfterItsLastSessionEnds) {
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
