// Tests that the invariant checker reports each violation of the four invariants, and accepts legitimate
// behaviour that resembles one.
#include "simulation/checking/invariant_checker.hpp"

#include <gtest/gtest.h>

namespace elmbay::simulation {
namespace {

// Provides requests of each class. The tests report observations about them to the checker.
class InvariantCheckerTest : public testing::Test {
protected:
    Scenario scenario = parse_scenario(
        "length = \"10s\"\n[callers]\nrate = 100\n"
        "[[class]]\nname = \"a\"\neffect = \"safe\"\n[[class]]\nname = \"b\"\neffect = \"unsafe\"\n"
        "[[class]]\nname = \"c\"\neffect = \"keyed\"\nwindow = \"1s\"\n",
        "f");
    ClientModel clients{scenario};
    InvariantChecker checker{scenario, clients, 0};

    ClientRequestId send_request(std::uint32_t class_index, Millis at = 0) {
        static OperationId next = 0;
        while (clients.arrival_of(next % clients.arrivals().size()).class_index != class_index) ++next;
        const ClientRequestId id = client_request_id(next++ % clients.arrivals().size(), 0);
        checker.on_request_sent(at, {id, at, 5000, 0});
        return id;
    }
    std::uint32_t start_attempt(ClientRequestId id, Millis at, std::uint32_t server = 1,
                                InvariantChecker::Delivery delivery = InvariantChecker::Delivery::accepted) {
        const std::uint32_t attempt =
            checker.on_attempt_started(at, id, server, clients.arrival_of(operation_of(id)).sidecar);
        checker.on_attempt_delivered(at, id, attempt, delivery);
        return attempt;
    }
    std::uint64_t violations(Invariant invariant) const { return checker.finding(invariant).violations; }

    // Delivers requests to server 1, which is cold, until it is overloaded. That has to happen at the 35th
    // request.
    void overload_cold_server() {
        // Its capacity is 0.8 ms of work per ms. 2.5 times that is 2,000 ms in a second, or N = 25 requests
        // of 80 ms. Random variation is allowed 3 x sqrt(N) + 3 more requests, so the limit is 3,440 ms.
        const ServerLoad load{100, 0.8, kColdServerStart, true};
        for (int i = 0; i < 34; ++i) EXPECT_FALSE(deliver_to_cold_server(200 + i, load)) << i;
        EXPECT_TRUE(deliver_to_cold_server(240, load));
    }
    bool deliver_to_cold_server(Millis at, const ServerLoad& load) {
        const ClientRequestId id = send_request(0, 200);
        const auto attempt = checker.on_attempt_started(at, id, 1, 0);
        return checker.on_attempt_delivered(at, id, attempt, InvariantChecker::Delivery::accepted, load);
    }

    static constexpr Millis kColdServerStart = 50;
};

TEST_F(InvariantCheckerTest, AcceptsOneResponseInTimeAndReportsASecond) {
    const ClientRequestId id = send_request(0);
    checker.on_attempt_ended(50, id, start_attempt(id, 1));
    checker.on_response(50, id, ResponseKind::served);
    EXPECT_TRUE(checker.all_hold());
    checker.on_response(60, id, ResponseKind::failed);
    EXPECT_EQ(violations(Invariant::one_final_outcome), 1U);
}

TEST_F(InvariantCheckerTest, ReportsMissingLateAndForeignResponses) {
    checker.on_response(5000, send_request(0), ResponseKind::none);
    EXPECT_EQ(violations(Invariant::one_final_outcome), 1U);
    checker.on_response(5001, send_request(0), ResponseKind::rejected);
    EXPECT_EQ(violations(Invariant::one_final_outcome), 2U);
    checker.on_response(10, send_request(0), ResponseKind::served);  // no server has received it
    EXPECT_EQ(violations(Invariant::one_final_outcome), 3U);
    const ClientRequestId other = send_request(0);
    checker.on_attempt_ended(9, other, start_attempt(other, 1));
    checker.on_response(10, other, ResponseKind::served, false);  // the body of another request
    EXPECT_EQ(violations(Invariant::one_final_outcome), 4U);
    send_request(0);
    checker.finish(9000);
    EXPECT_EQ(violations(Invariant::one_final_outcome), 5U);
}

TEST_F(InvariantCheckerTest, ExcusesRequestsWhoseClientLeftOrSidecarWasKilled) {
    checker.on_client_left(10, send_request(0));
    const ClientRequestId id = send_request(0);
    checker.on_sidecar_killed(clients.arrival_of(operation_of(id)).sidecar);
    checker.on_response(20, id, ResponseKind::none);
    checker.finish(9000);
    EXPECT_TRUE(checker.all_hold());
}

TEST_F(InvariantCheckerTest, ReportsAttemptStartedAfterClientLeft) {
    const ClientRequestId id = send_request(0);
    checker.on_attempt_ended(5, id, start_attempt(id, 1));
    checker.on_client_left(10, id);
    start_attempt(id, 11, 2);
    EXPECT_EQ(violations(Invariant::one_final_outcome), 1U);
}

TEST_F(InvariantCheckerTest, ReportsConnectionClosedWithoutResponseOnlyAfterAnAttempt) {
    checker.on_connection_closed(10, send_request(0));
    EXPECT_TRUE(checker.all_hold());
    const ClientRequestId id = send_request(0);
    checker.on_attempt_ended(9, id, start_attempt(id, 1));
    checker.on_connection_closed(10, id);
    EXPECT_EQ(violations(Invariant::one_final_outcome), 1U);
}

TEST_F(InvariantCheckerTest, ReportsRepeatedNonIdempotentRequestUnlessItNeverRan) {
    const ClientRequestId unprocessed = send_request(1);
    checker.on_attempt_ended(2, unprocessed,
                             start_attempt(unprocessed, 1, 1, InvariantChecker::Delivery::rejected));
    checker.on_attempt_ended(4, unprocessed,
                             start_attempt(unprocessed, 3, 2, InvariantChecker::Delivery::not_received));
    checker.on_attempt_ended(9, unprocessed, start_attempt(unprocessed, 5, 3));
    checker.on_response(10, unprocessed, ResponseKind::served);
    EXPECT_TRUE(checker.all_hold());
    const ClientRequestId id = send_request(1);
    checker.on_attempt_ended(2, id, start_attempt(id, 1));
    start_attempt(id, 3, 2);
    EXPECT_EQ(violations(Invariant::no_duplicate_effect), 1U);
}

TEST_F(InvariantCheckerTest, ReportsRejectionOfRequestThatMayHaveRun) {
    const ClientRequestId unsafe = send_request(1);
    checker.on_attempt_ended(2, unsafe, start_attempt(unsafe, 1));
    checker.on_response(3, unsafe, ResponseKind::rejected);
    EXPECT_EQ(violations(Invariant::no_duplicate_effect), 1U);
    const ClientRequestId keyed = send_request(2);
    checker.on_attempt_ended(2, keyed, start_attempt(keyed, 1));
    checker.on_response(900, keyed, ResponseKind::rejected);  // within the deduplication window
    EXPECT_EQ(violations(Invariant::no_duplicate_effect), 1U);
    const ClientRequestId late = send_request(2);
    checker.on_attempt_ended(2, late, start_attempt(late, 1));
    checker.on_response(1200, late, ResponseKind::rejected);
    EXPECT_EQ(violations(Invariant::no_duplicate_effect), 2U);
}

TEST_F(InvariantCheckerTest, ReportsRepeatedKeyedRequestAfterItsDedupWindow) {
    const ClientRequestId id = send_request(2);
    checker.on_attempt_ended(2, id, start_attempt(id, 1));
    checker.on_attempt_ended(902, id, start_attempt(id, 900));
    EXPECT_TRUE(checker.all_hold());
    start_attempt(id, 1100);
    EXPECT_EQ(violations(Invariant::no_duplicate_effect), 1U);
}

TEST_F(InvariantCheckerTest, ReportsConcurrentAttemptsButNotSimultaneousEndAndStart) {
    const ClientRequestId id = send_request(0);
    const auto first = start_attempt(id, 1);
    start_attempt(id, 5, 2);
    checker.on_attempt_ended(5, id, first);  // at the time when the other one starts
    EXPECT_TRUE(checker.all_hold());
    const ClientRequestId twice = send_request(0);
    const auto slow = start_attempt(twice, 1);
    start_attempt(twice, 5, 2);
    checker.on_attempt_ended(30, twice, slow);
    EXPECT_EQ(violations(Invariant::no_duplicate_effect), 1U);
    const ClientRequestId unended = send_request(0);
    start_attempt(unended, 1), start_attempt(unended, 2, 2);
    checker.finish(100);
    EXPECT_EQ(violations(Invariant::no_duplicate_effect), 2U);
}

TEST_F(InvariantCheckerTest, ReportsMoreAttemptsThanAllowed) {
    const ClientRequestId id = send_request(0);
    for (int i = 0; i < 4; ++i) checker.on_attempt_ended(10 * i + 1, id, start_attempt(id, 10 * i));
    EXPECT_TRUE(checker.all_hold());
    start_attempt(id, 50);
    EXPECT_EQ(violations(Invariant::no_duplicate_effect), 1U);
}

TEST_F(InvariantCheckerTest, ReportsAttemptToDrainingServerAfterGracePeriod) {
    const ClientRequestId id = send_request(0);
    const std::uint32_t sidecar = clients.arrival_of(operation_of(id)).sidecar;
    checker.on_endpoint_update(1000, sidecar, 1, balancer::EndpointState::draining, 0);
    // The grace period starts with the first notice and not with this one.
    checker.on_endpoint_update(1400, sidecar, 1, balancer::EndpointState::removed, 0);
    checker.on_attempt_ended(1500, id, start_attempt(id, 1499));
    EXPECT_TRUE(checker.all_hold());
    const ClientRequestId other = send_request(0, 1500);
    checker.on_attempt_started(1501, other, 1, sidecar);
    EXPECT_EQ(violations(Invariant::drain_respected), 1U);
    checker.on_endpoint_update(1600, sidecar, 1, balancer::EndpointState::active, 1550);  // it has returned
    checker.on_attempt_started(3000, send_request(0, 2999), 1, sidecar);
    EXPECT_EQ(violations(Invariant::drain_respected), 1U);
}

TEST_F(InvariantCheckerTest, ReportsOverloadedColdServerIfSidecarsWereNotifiedOfItsStart) {
    for (std::uint32_t sidecar = 0; sidecar < 4; ++sidecar) {
        checker.on_endpoint_update(100, sidecar, 1, balancer::EndpointState::active, kColdServerStart);
    }
    overload_cold_server();
    EXPECT_EQ(violations(Invariant::cold_server_not_overloaded), 1U);
    EXPECT_EQ(checker.overloaded_servers(), 1U);
}

TEST_F(InvariantCheckerTest, OnlyCountsOverloadedColdServerIfSidecarsWereNotNotifiedOfItsStart) {
    overload_cold_server();
    EXPECT_EQ(violations(Invariant::cold_server_not_overloaded), 0U);
    EXPECT_EQ(checker.overloaded_servers(), 1U);
}

TEST_F(InvariantCheckerTest, CountsDelayedFailures) {
    checker.on_response(20, send_request(0), ResponseKind::rejected);
    const ClientRequestId delayed = send_request(0);
    checker.on_attempt_ended(2, delayed, start_attempt(delayed, 1));
    checker.on_response(900, delayed, ResponseKind::failed);
    EXPECT_EQ(checker.delayed_failures(), 1U);
}

}  // namespace
}  // namespace elmbay::simulation
