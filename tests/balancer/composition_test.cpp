// Tests the components that hold requests, servers and timers, each one separately against the contract in
// its header.
#include <gtest/gtest.h>

#include <limits>
#include <variant>
#include <vector>

#include "balancer/event_context.hpp"
#include "balancer/final_responder.hpp"
#include "balancer/request_table.hpp"
#include "balancer/server_table.hpp"
#include "balancer/sessions.hpp"
#include "balancer/subscription_backoff.hpp"
#include "balancer/timer_table.hpp"
#include "balancer/wait_queue.hpp"
#include "base/random.hpp"

namespace elmbay::balancer::test {
namespace {

constexpr Millis kNow = 5000;

Settings settings_with_sessions(std::uint32_t max_sessions) {
    Settings settings;
    settings.max_sessions = max_sessions;
    return settings;
}

Attempt attempt_in_flight() {
    Attempt attempt;
    attempt.server = 1;
    return attempt;
}

// ---- EventContext ---------------------------------------------------------------------------------------

TEST(EventContextTest, TimeNeverGoesBackAndIgnoresNonFiniteReadings) {
    EventContext context;
    std::vector<Action> actions;
    context.begin(kNow, actions);
    context.begin(kNow - 1, actions);
    EXPECT_EQ(context.now(), kNow);
    context.begin(std::numeric_limits<Millis>::infinity(), actions);
    EXPECT_EQ(context.now(), kNow);
    context.begin(std::numeric_limits<Millis>::quiet_NaN(), actions);
    EXPECT_EQ(context.now(), kNow);
}

// ---- TimerTable -----------------------------------------------------------------------------------------

TEST(TimerTableTest, IssuesNewTokensThatFireOnce) {
    EventContext context;
    std::vector<Action> actions;
    context.begin(kNow, actions);
    TimerTable timers(context);
    timers.set_timer(kNow + 10, RequestId{7});
    timers.set_timer(kNow + 20, std::nullopt);
    ASSERT_EQ(actions.size(), 2U);
    const auto first = std::get<SetTimer>(actions[0]);
    const auto second = std::get<SetTimer>(actions[1]);
    EXPECT_EQ(first.at, kNow + 10);
    EXPECT_EQ(first.token, 1U);
    EXPECT_EQ(second.token, 2U);

    const auto fired = timers.take(first.token);
    ASSERT_TRUE(fired.has_value());
    EXPECT_EQ(fired->request, std::optional(RequestId{7}));
    EXPECT_FALSE(timers.take(first.token).has_value());
    EXPECT_FALSE(timers.take(99).has_value());
    const auto subscription_timer = timers.take(second.token);
    ASSERT_TRUE(subscription_timer.has_value());
    EXPECT_FALSE(subscription_timer->request.has_value());
    EXPECT_EQ(timers.size(), 0U);
}

// ---- SubscriptionBackoff --------------------------------------------------------------------------------

TEST(SubscriptionBackoffTest, DoublesUpToBoundAndResetsAfterASuccessfulCall) {
    Random random(1);
    SubscriptionBackoff backoff;
    for (Millis mean = SubscriptionBackoff::kInitialMeanDelay; mean < SubscriptionBackoff::kMaxMeanDelay;
         mean *= 2) {
        const Millis wait = backoff.next_delay(random);
        EXPECT_GE(wait, mean / 2);
        EXPECT_LT(wait, mean * 1.5);
    }
    for (int call = 0; call < 20; ++call) {
        const Millis wait = backoff.next_delay(random);
        EXPECT_GE(wait, SubscriptionBackoff::kMaxMeanDelay / 2);
        EXPECT_LT(wait, SubscriptionBackoff::kMaxMeanDelay * 1.5);
    }
    backoff.reset();
    EXPECT_LT(backoff.next_delay(random), SubscriptionBackoff::kInitialMeanDelay * 1.5);
}

// ---- RequestTable ---------------------------------------------------------------------------------------

TEST(RequestTableTest, AddsEachIdOnceInOrderOfArrival) {
    RequestTable requests;
    const Request* first = requests.add(9);
    ASSERT_NE(first, nullptr);
    EXPECT_EQ(requests.add(9), nullptr);
    const Request* second = requests.add(4);
    ASSERT_NE(second, nullptr);
    EXPECT_EQ(first->id, 9U);
    EXPECT_LT(first->arrival_order, second->arrival_order);
    EXPECT_EQ(requests.find(5), nullptr);
    EXPECT_EQ(requests.size(), 2U);
}

TEST(RequestTableTest, RemovesEndedRequestOnceNothingIsInFlight) {
    Sessions sessions(settings_with_sessions(1));
    RequestTable requests;
    Request& waiting_request = *requests.add(1);
    Request& with_attempt = *requests.add(2);
    Request& ended_session = *requests.add(3);
    with_attempt.ended = true;
    with_attempt.attempts.push_back(attempt_in_flight());
    sessions.begin_upgrade();
    ended_session.session = true;
    ended_session.ended = true;
    for (const RequestId id : {1, 2, 3, 3, 77}) requests.mark_for_removal(id);

    requests.remove_ended(sessions);
    EXPECT_EQ(requests.find(1), &waiting_request);
    EXPECT_EQ(requests.find(2), &with_attempt);
    EXPECT_EQ(requests.find(3), nullptr);
    EXPECT_TRUE(sessions.has_capacity()) << "the capacity is released exactly once";

    with_attempt.attempts.front().in_flight = false;
    requests.mark_for_removal(2);
    requests.remove_ended(sessions);
    EXPECT_EQ(requests.find(2), nullptr);
    EXPECT_EQ(requests.size(), 1U);
}

// ---- WaitQueue ------------------------------------------------------------------------------------------

TEST(WaitQueueTest, TakesHighestWeightFirstThenNewest) {
    RequestTable requests;
    WaitQueue queue;
    for (RequestId id = 1; id <= 4; ++id) {
        requests.add(id)->request_class.priority_weight = id == 2 ? 5 : 1;
        queue.push(id);
    }
    EXPECT_EQ(queue.take(requests), (std::vector<RequestId>{2, 4, 3, 1}));
    EXPECT_TRUE(queue.empty());
}

TEST(WaitQueueTest, OmitsEndedAndInFlightRequests) {
    RequestTable requests;
    WaitQueue queue;
    for (RequestId id = 1; id <= 3; ++id) {
        requests.add(id);
        queue.push(id);
    }
    queue.push(99);  // unknown
    requests.at(1).ended = true;
    requests.at(2).attempts.push_back(attempt_in_flight());
    EXPECT_EQ(queue.take(requests), std::vector<RequestId>{3});
}

TEST(WaitQueueTest, LengthIsBoundedByTheRequestTable) {
    RequestTable requests;
    WaitQueue queue;
    requests.add(1);
    queue.push(1);
    for (RequestId id = 2; id < 1000; ++id) {
        queue.push(id);  // ended and removed before it was dispatched
        queue.purge_ended(requests);
        ASSERT_LE(queue.size(), 2 * requests.size() + WaitQueue::kMaxExtraEntries);
    }
    EXPECT_EQ(queue.take(requests), std::vector<RequestId>{1});
}

// ---- ServerTable ----------------------------------------------------------------------------------------

class ServerTableTest : public testing::Test {
protected:
    static ServerList list_of(ListKind kind, std::vector<ServerId> ids) {
        ServerList list;
        list.kind = kind;
        for (const ServerId id : ids) {
            ServerInfo info;
            info.id = id;
            list.servers.push_back(info);
        }
        return list;
    }

    Settings settings_;
    Random random_{1};
    LatencyEstimate latency_;
    LearnedStateRestorer restorer_;
    SlowStart slow_start_{settings_};
    Aperture aperture_{1, slow_start_};
    ServerAges ages_;
    ServerTable servers_{random_, latency_, restorer_, aperture_, ages_};
};

TEST_F(ServerTableTest, SnapshotReplacesAndIncrementalListAdds) {
    servers_.apply(list_of(ListKind::snapshot, {1, 2}), kNow);
    servers_.apply(list_of(ListKind::incremental, {3}), kNow);
    EXPECT_EQ(servers_.size(), 3U);
    servers_.apply(list_of(ListKind::snapshot, {2}), kNow);
    EXPECT_EQ(servers_.size(), 1U);
    EXPECT_NE(servers_.find(2), nullptr);
}

TEST_F(ServerTableTest, KeepsUnlistedServerUntilNothingIsInFlightThere) {
    servers_.apply(list_of(ListKind::snapshot, {1}), kNow);
    servers_.find(1)->in_flight = 1;
    servers_.apply(list_of(ListKind::snapshot, {}), kNow);
    Server* server = servers_.find(1);
    ASSERT_NE(server, nullptr);
    EXPECT_FALSE(server->accepts_requests());
    servers_.remove_if_unused(*server);
    ASSERT_EQ(servers_.find(1), server);
    server->in_flight = 0;
    servers_.remove_if_unused(*server);
    EXPECT_TRUE(servers_.empty());
}

// ---- FinalResponder -------------------------------------------------------------------------------------

class FinalResponderTest : public testing::Test {
protected:
    FinalResponderTest() { context_.begin(kNow, actions_); }

    Request& add(Idempotency idempotency) {
        Request& request = *requests_.add(next_id_++);
        request.request_class.idempotency = idempotency;
        request.request_class.latency_objective = 400;
        request.deadline = kNow + 1000;
        return request;
    }

    Settings settings_;
    EventContext context_;
    std::vector<Action> actions_;
    Admission admission_{settings_};
    RequestTable requests_;
    FinalResponder responder_{settings_, context_, admission_, requests_};
    RequestId next_id_ = 1;
};

TEST_F(FinalResponderTest, GivesOneFinalResponse) {
    Request& request = add(Idempotency::idempotent);
    responder_.finish(request);
    responder_.finish(request);
    ASSERT_EQ(actions_.size(), 1U);
    const auto& rejection = std::get<Reject>(actions_.front());
    EXPECT_EQ(rejection.id, request.id);
    EXPECT_GE(rejection.retry_after, 400 * FinalResponder::kMaxWaitShare);
    EXPECT_TRUE(request.ended);
}

TEST_F(FinalResponderTest, FailsRequestThatMayHaveRunAndCancelsItsAttempts) {
    Request& request = add(Idempotency::non_idempotent);
    request.attempts.push_back(attempt_in_flight());
    responder_.finish(request);
    ASSERT_EQ(actions_.size(), 2U);
    EXPECT_TRUE(std::holds_alternative<Cancel>(actions_[0]));
    EXPECT_TRUE(std::holds_alternative<Fail>(actions_[1]));
    EXPECT_FALSE(request.attempts.front().timed_out) << "the attempt ended before the client's deadline";
}

TEST_F(FinalResponderTest, HasNoEffectOnStreamingRequest) {
    Request& request = add(Idempotency::idempotent);
    request.streaming = true;
    responder_.finish(request);
    EXPECT_TRUE(actions_.empty());
    EXPECT_FALSE(request.ended);
}

}  // namespace
}  // namespace elmbay::balancer::test
