// Tests of OutlierEjection: when a server is ejected and when it is restored.
#include "balancer/ejection.hpp"

#include <gtest/gtest.h>

#include <vector>

#include "samples.hpp"

namespace elmbay::balancer::test {
namespace {

// Healthy servers, all of them in the pool.
struct Pool {
    OutlierEjection ejection;
    std::vector<Server> servers;
    explicit Pool(std::size_t count) {
        std::vector<Server*> pool;
        for (ServerId id = 1; id <= count; ++id) servers.push_back(server_of(id));
        for (Server& server : servers) {
            server.in_pool = true;
            pool.push_back(&server);
        }
        ejection.compare_with_pool(pool);
    }
    // Records the end of an attempt at servers[index] while `ejected` servers are ejected.
    OutlierEjection::Transition record(std::size_t index, Outcome outcome, bool late = false,
                                       std::size_t ejected = 0) {
        return ejection.record_outcome(servers[index], {outcome, false, late, servers.size(), ejected}, kNow);
    }
};
using Transition = OutlierEjection::Transition;

TEST(OutlierEjectionTest, EjectsAfterTwoFailuresOfFewOutcomesNotAfterOne) {
    Pool pool(8);
    EXPECT_EQ(pool.record(0, Outcome::error_response), Transition::none) << "9 of 10 is not below 0.9";
    EXPECT_EQ(pool.record(0, Outcome::error_response), Transition::ejected);
    EXPECT_FALSE(pool.ejection.probe_due(pool.servers[0], kNow + OutlierEjection::kEjectionTime - 1));
    EXPECT_TRUE(pool.ejection.probe_due(pool.servers[0], kNow + OutlierEjection::kEjectionTime));
}

TEST(OutlierEjectionTest, IgnoresCancelledAndUnsentAttemptsAndCountsLateOnesAsFailures) {
    Pool pool(8);
    for (int i = 0; i < 10; ++i) {
        EXPECT_EQ(pool.record(0, Outcome::cancelled), Transition::none);
        EXPECT_EQ(pool.record(0, Outcome::not_sent), Transition::none);
    }
    EXPECT_EQ(pool.servers[0].window.filled(), 0U);
    pool.record(0, Outcome::success, true);
    EXPECT_EQ(pool.record(0, Outcome::success, true), Transition::ejected);
}

TEST(OutlierEjectionTest, EjectsNoServerWhenAllServersFailAlike) {
    Pool pool(8);
    for (int i = 0; i < 20; ++i) {
        const Outcome outcome = i % 3 == 0 ? Outcome::error_response : Outcome::success;
        for (std::size_t server = 0; server < 8; ++server) {
            EXPECT_EQ(pool.record(server, outcome), Transition::none);
        }
    }
}

// A sidecar loses the connection to most of its pool. Neither earlier successes nor similar failures of most
// servers prevent an ejection.
TEST(OutlierEjectionTest, EjectsUnreachableServerDespiteEarlierSuccessesAndFailuresOfOthers) {
    Pool pool(8);
    for (int i = 0; i < 20; ++i) {
        for (std::size_t server = 0; server < 8; ++server) pool.record(server, Outcome::success);
    }
    for (std::size_t server = 0; server < 4; ++server) {
        EXPECT_EQ(pool.record(server, Outcome::connect_failed, false, server), Transition::none)
            << "one failure may be random";
    }
    for (std::size_t server = 0; server < 4; ++server) {
        EXPECT_EQ(pool.record(server, Outcome::connect_failed, false, server), Transition::ejected) << server;
    }
    EXPECT_EQ(pool.record(4, Outcome::connect_failed, false, 4), Transition::none);
    EXPECT_EQ(pool.record(4, Outcome::connect_failed, false, 4), Transition::none)
        << "half of the servers stay in the pool";
    pool.record(5, Outcome::connect_failed, false, 0);
    pool.record(5, Outcome::success);
    EXPECT_EQ(pool.record(5, Outcome::connect_failed, false, 0), Transition::none)
        << "a connection succeeded in between";
}

TEST(OutlierEjectionTest, KeepsHalfOfTheServersAndThreeQuartersForSlowness) {
    Pool errors(8);
    Pool slow(8);
    for (int i = 0; i < 4; ++i) {
        errors.record(0, Outcome::error_response, false, 4);
        slow.record(0, Outcome::timed_out, false, 2);
    }
    EXPECT_EQ(errors.servers[0].ejection_state, EjectionState::healthy);
    EXPECT_EQ(errors.record(0, Outcome::error_response, false, 3), Transition::ejected);
    EXPECT_EQ(slow.servers[0].ejection_state, EjectionState::healthy);
    EXPECT_EQ(slow.record(0, Outcome::timed_out, false, 1), Transition::ejected);
}

TEST(OutlierEjectionTest, ProbeRestoresOnSuccessAndEjectsAgainOnFailure) {
    Pool pool(8);
    Server& server = pool.servers[0];
    const auto probe = [&](Outcome outcome) {
        OutlierEjection::begin_probe(server);
        return pool.ejection.record_outcome(server, {outcome, true, false, 8, 1}, kNow);
    };
    server.ejection_state = EjectionState::ejected;
    EXPECT_EQ(probe(Outcome::cancelled), Transition::none);
    EXPECT_EQ(server.ejection_state, EjectionState::ejected)
        << "no result: the next request becomes the probe";
    EXPECT_EQ(probe(Outcome::error_response), Transition::ejected_again);
    EXPECT_EQ(probe(Outcome::success), Transition::restored);
    EXPECT_EQ(server.window.filled(), 0U);
}

}  // namespace
}  // namespace elmbay::balancer::test
