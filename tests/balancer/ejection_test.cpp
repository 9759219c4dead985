// When a server is ejected and when it is restored (OutlierEjection).
#include "balancer/ejection.hpp"

#include <gtest/gtest.h>

#include <vector>

#include "samples.hpp"

namespace elmbay::balancer::test {
namespace {

// Healthy servers that are all in the pool.
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
    // An attempt at servers[index] ends while `ejected` servers are ejected.
    OutlierEjection::Verdict record(std::size_t index, Outcome outcome, bool late = false,
                                    std::size_t ejected = 0) {
        return ejection.record_outcome(servers[index], {outcome, false, late, servers.size(), ejected}, kNow);
    }
};
using Verdict = OutlierEjection::Verdict;

TEST(OutlierEjectionTest, EjectsAfterTwoFailuresOfFewOutcomesNotAfterOne) {
    Pool pool(8);
    EXPECT_EQ(pool.record(0, Outcome::error_response), Verdict::none) << "9 of 10 is not below 0.9";
    EXPECT_EQ(pool.record(0, Outcome::error_response), Verdict::ejected);
    EXPECT_FALSE(pool.ejection.probe_due(pool.servers[0], kNow + OutlierEjection::kEjectionTime - 1));
    EXPECT_TRUE(pool.ejection.probe_due(pool.servers[0], kNow + OutlierEjection::kEjectionTime));
}

TEST(OutlierEjectionTest, IgnoresCancelledAndUnsentAttemptsAndCountsLateOnesAsFailures) {
    Pool pool(8);
    for (int i = 0; i < 10; ++i) {
        EXPECT_EQ(pool.record(0, Outcome::cancelled), Verdict::none);
        EXPECT_EQ(pool.record(0, Outcome::not_sent), Verdict::none);
    }
    EXPECT_EQ(pool.servers[0].window.filled(), 0U);
    pool.record(0, Outcome::success, true);
    EXPECT_EQ(pool.record(0, Outcome::success, true), Verdict::ejected);
}

TEST(OutlierEjectionTest, EjectsNobodyWhenAllServersFailAlike) {
    Pool pool(8);
    for (int i = 0; i < 20; ++i) {
        const Outcome outcome = i % 3 == 0 ? Outcome::error_response : Outcome::success;
        for (std::size_t server = 0; server < 8; ++server) {
            EXPECT_EQ(pool.record(server, outcome), Verdict::none);
        }
    }
}

// A sidecar is cut off from most of its pool. Earlier responses, and that most servers fail alike, excuse
// none.
TEST(OutlierEjectionTest, EjectsUnreachableServerWhateverItsRecordAndOthersFailures) {
    Pool pool(8);
    for (int i = 0; i < 20; ++i) {
        for (std::size_t server = 0; server < 8; ++server) pool.record(server, Outcome::success);
    }
    for (std::size_t server = 0; server < 4; ++server) {
        EXPECT_EQ(pool.record(server, Outcome::connect_failed, false, server), Verdict::none)
            << "one failure may be chance";
    }
    for (std::size_t server = 0; server < 4; ++server) {
        EXPECT_EQ(pool.record(server, Outcome::connect_failed, false, server), Verdict::ejected) << server;
    }
    EXPECT_EQ(pool.record(4, Outcome::connect_failed, false, 4), Verdict::none);
    EXPECT_EQ(pool.record(4, Outcome::connect_failed, false, 4), Verdict::none) << "half of the servers stay";
    pool.record(5, Outcome::connect_failed, false, 0);
    pool.record(5, Outcome::success);
    EXPECT_EQ(pool.record(5, Outcome::connect_failed, false, 0), Verdict::none)
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
    EXPECT_EQ(errors.record(0, Outcome::error_response, false, 3), Verdict::ejected);
    EXPECT_EQ(slow.servers[0].ejection_state, EjectionState::healthy);
    EXPECT_EQ(slow.record(0, Outcome::timed_out, false, 1), Verdict::ejected);
}

TEST(OutlierEjectionTest, ProbeRestoresOnSuccessAndEjectsAgainOnFailure) {
    Pool pool(8);
    Server& server = pool.servers[0];
    const auto probe = [&](Outcome outcome) {
        OutlierEjection::begin_probe(server);
        return pool.ejection.record_outcome(server, {outcome, true, false, 8, 1}, kNow);
    };
    server.ejection_state = EjectionState::ejected;
    EXPECT_EQ(probe(Outcome::cancelled), Verdict::none);
    EXPECT_EQ(server.ejection_state, EjectionState::ejected) << "undecided: the next request is the probe";
    EXPECT_EQ(probe(Outcome::error_response), Verdict::ejected_again);
    EXPECT_EQ(probe(Outcome::success), Verdict::restored);
    EXPECT_EQ(server.window.filled(), 0U);
}

}  // namespace
}  // namespace elmbay::balancer::test
