// Tests of Request: when a request may be sent or rejected by rules 1 to 3.
#include "balancer/request.hpp"

#include <gtest/gtest.h>

#include "samples.hpp"

namespace elmbay::balancer::test {
namespace {

// Returns a request with one second left and a deduplication window of 500 ms.
Request request_of(Idempotency idempotency, DedupScope scope = DedupScope::all) {
    Request request;
    request.request_class.idempotency = idempotency;
    request.request_class.dedup_scope = scope;
    request.request_class.dedup_window = 500;
    request.deadline = kNow + 1000;
    return request;
}

TEST(RequestTest, MayNotBeSentAfterDeadlineOrFinalResponse) {
    const Settings settings = settings_of(1);
    const Server server = server_of(1);
    Request request = request_of(Idempotency::idempotent);
    EXPECT_TRUE(request.may_be_sent_to(server, settings, kNow));
    EXPECT_FALSE(request.may_be_sent_to(server, settings, kNow + 1000));
    request.streaming = true;
    EXPECT_FALSE(request.may_be_sent_to(server, settings, kNow));
    request.streaming = false;
    request.ended = true;
    EXPECT_FALSE(request.may_be_sent_to(server, settings, kNow));
}

TEST(RequestTest, LimitsAttemptsAndAllowsTwoInFlightOnlyWithHedging) {
    Settings settings = settings_of(1);
    const Server server = server_of(2);
    Request request = request_of(Idempotency::idempotent);
    request.attempts.push_back(attempt_at(1, true, true));
    EXPECT_FALSE(request.may_be_sent_to(server, settings, kNow));
    settings.allow_hedging = true;
    EXPECT_TRUE(request.may_be_sent_to(server, settings, kNow));
    request.attempts.assign(settings.max_attempts, attempt_at(1, false, true));
    EXPECT_FALSE(request.may_be_sent_to(server, settings, kNow));
}

TEST(RequestTest, RetriesNonIdempotentRequestOnlyIfItNeverRan) {
    const Settings settings = settings_of(1);
    Request request = request_of(Idempotency::non_idempotent);
    request.attempts.push_back(attempt_at(1, false, false));
    EXPECT_TRUE(request.may_be_sent_to(server_of(2), settings, kNow));
    EXPECT_TRUE(request.may_be_rejected(kNow));
    request.attempts.push_back(attempt_at(1, false, true));
    EXPECT_FALSE(request.may_be_sent_to(server_of(2), settings, kNow));
    EXPECT_FALSE(request.may_be_rejected(kNow));
}

TEST(RequestTest, RetriesWithIdempotencyKeyOnlyWithinWindowAndScope) {
    const Settings settings = settings_of(1);
    Server other = server_of(2);
    other.info.zone = 1;
    other.info.cell = 1;
    for (const DedupScope scope : {DedupScope::all, DedupScope::zone, DedupScope::cell}) {
        Request request = request_of(Idempotency::idempotency_key, scope);
        request.attempts.push_back(attempt_at(1, false, true));
        EXPECT_EQ(request.may_be_sent_to(other, settings, kNow), scope == DedupScope::all);
        EXPECT_TRUE(request.may_be_sent_to(server_of(3), settings, kNow)) << "the same zone and cell";
        EXPECT_FALSE(request.may_be_sent_to(server_of(3), settings, kNow + 400)) << "the window is over";
        EXPECT_EQ(request.may_be_rejected(kNow), scope == DedupScope::all);
        EXPECT_FALSE(request.may_be_rejected(kNow + 400));
    }
}

TEST(RequestTest, MayNotBeSentToDrainingOrRemovedServer) {
    const Settings settings = settings_of(1);
    Request request = request_of(Idempotency::idempotent);
    Server server = server_of(1);
    server.info.state = EndpointState::draining;
    EXPECT_FALSE(request.may_be_sent_to(server, settings, kNow));
    server.info.state = EndpointState::active;
    server.listed = false;
    EXPECT_FALSE(request.may_be_sent_to(server, settings, kNow));
}

}  // namespace
}  // namespace elmbay::balancer::test
