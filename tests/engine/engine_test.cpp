// Tests the engine without sockets and clock. Each request gets one outcome, whatever the order of events.
#include "engine/engine.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <set>
#include <stdexcept>

namespace elmbay::engine {
namespace {

using namespace elmbay::balancer;

// Records the actions of the engine. A test may set callbacks that run within cancel_attempt() and
// finish_request().
struct RecordingHandler : ActionHandler {
    struct Started {
        AttemptKey key;
        ServerId server;
        Millis attempt_deadline;
    };
    void start_attempt(AttemptKey key, ServerId server, Millis attempt_deadline, Millis) override {
        started.push_back({key, server, attempt_deadline});
    }
    void cancel_attempt(AttemptKey key) override {
        cancelled.push_back(key);
        if (on_cancel) on_cancel(key);
    }
    void finish_request(RequestId id, const FinalOutcome& outcome) override {
        outcomes[id].push_back(outcome);
        if (on_finish) on_finish(id);
    }
    void release_request(RequestId id) override { released.insert(id); }
    void set_timer(Millis at, TimerToken token) override { timers.emplace(at, token); }
    void subscribe(bool active) override { subscribed = active; }

    std::vector<Started> started;
    std::vector<AttemptKey> cancelled;
    std::map<RequestId, std::vector<FinalOutcome>> outcomes;
    std::multiset<RequestId> released;
    std::multimap<Millis, TimerToken> timers;
    bool subscribed = false;
    std::function<void(AttemptKey)> on_cancel;
    std::function<void(RequestId)> on_finish;
};

Settings settings() {
    Settings result;
    RequestClass idempotent, non_idempotent;
    idempotent.idempotency = Idempotency::idempotent;
    idempotent.latency_objective = non_idempotent.latency_objective = 400;
    non_idempotent.idempotency = Idempotency::non_idempotent;
    result.classes = {idempotent, non_idempotent};
    result.max_attempts = 4;
    return result;
}

struct EngineTest : testing::Test {
    RecordingHandler handler;
    Engine engine{settings(), 1, handler};
    Millis now = 1e6;

    void SetUp() override {
        engine.begin(now);
        ServerList list{ListKind::snapshot, {}};
        for (ServerId id = 1; id <= 4; ++id) list.servers.push_back({id, 0, 0, 0, EndpointState::active, 0});
        engine.on_endpoint_list(now, list);
    }
    void receive_request(RequestId id, std::uint32_t class_index = 0, Millis time_left = 1000) {
        RequestArrived event;
        event.id = id;
        event.class_index = class_index;
        event.time_left = time_left;
        engine.on_request(now, event);
    }
    void end_attempt(std::size_t attempt_index, Outcome outcome) {
        engine.on_attempt_ended(now += 10, handler.started.at(attempt_index).key, outcome, 10);
    }
    void advance_time(Millis duration) {
        now += duration;
        while (!handler.timers.empty() && handler.timers.begin()->first <= now) {
            const TimerToken token = handler.timers.begin()->second;
            handler.timers.erase(handler.timers.begin());
            engine.on_timer(now, token);
        }
    }
};

TEST_F(EngineTest, ReportsOneSuccessAndReleasesTheRequest) {
    receive_request(1);
    ASSERT_EQ(handler.started.size(), 1U);
    EXPECT_EQ(engine.requests(), 1U);
    end_attempt(0, Outcome::success);
    ASSERT_EQ(handler.outcomes[1].size(), 1U);
    EXPECT_EQ(handler.outcomes[1][0].kind, FinalOutcome::Kind::success);
    EXPECT_EQ(engine.requests(), 0U);
    EXPECT_EQ(handler.released.count(1), 1U);
    end_attempt(0, Outcome::success);  // the end is reported twice
    advance_time(5000);
    EXPECT_EQ(handler.outcomes[1].size(), 1U);
}

// An upgrade is an attempt with one outcome. The session that follows counts against the limit until its end
// is reported for the first time.
TEST_F(EngineTest, CountsSessionAgainstLimitUntilItEndsOnce) {
    Settings one_session = settings();
    one_session.max_sessions = 1;
    RecordingHandler session_handler;
    Engine sessions(one_session, 1, session_handler);
    sessions.begin(now);
    sessions.on_endpoint_list(now, {ListKind::snapshot, {{1, 0, 0, 0, EndpointState::active, 0}}});
    const auto upgrade = [&](RequestId id) {
        RequestArrived event;
        event.id = id;
        event.time_left = 1000;
        event.session = true;
        sessions.on_request(now, event);
    };
    upgrade(1);
    ASSERT_EQ(session_handler.started.size(), 1U);
    sessions.on_attempt_ended(now, session_handler.started[0].key, Outcome::success, 5);
    EXPECT_EQ(session_handler.outcomes[1].at(0).kind, FinalOutcome::Kind::success);
    EXPECT_EQ(session_handler.released.count(1), 1U);
    EXPECT_EQ(sessions.requests(), 0U);
    upgrade(2);
    EXPECT_EQ(session_handler.outcomes[2].at(0).kind, FinalOutcome::Kind::rejected);
    sessions.on_session_ended(now, 1, false);
    sessions.on_session_ended(now, 1, false);
    upgrade(3);
    upgrade(4);
    EXPECT_EQ(session_handler.started.size(), 2U) << "one session ended, although its end is reported twice";
    EXPECT_EQ(session_handler.outcomes[4].at(0).kind, FinalOutcome::Kind::rejected);
}

TEST_F(EngineTest, IgnoresRequestWhoseIdIsInTheTable) {
    receive_request(1);
    receive_request(1);
    EXPECT_EQ(handler.started.size(), 1U);
    end_attempt(0, Outcome::success);
    EXPECT_EQ(handler.outcomes[1].size(), 1U);
}

TEST_F(EngineTest, ReportsNoOutcomeAfterClientDisconnected) {
    receive_request(1);
    engine.on_client_disconnected(now, 1);
    EXPECT_EQ(handler.cancelled.size(), 1U);
    EXPECT_EQ(handler.released.count(1), 0U);  // the attempt is still in flight
    end_attempt(0, Outcome::success);
    EXPECT_TRUE(handler.outcomes[1].empty());
    EXPECT_EQ(handler.released.count(1), 1U);
    engine.on_client_disconnected(now, 1);
    engine.on_client_disconnected(now, 99);
}

TEST_F(EngineTest, MarksFailureAsTimedOutOnlyWithoutTimelyResponse) {
    receive_request(1, 1);
    end_attempt(0, Outcome::error_response);
    ASSERT_EQ(handler.outcomes[1].size(), 1U);
    EXPECT_EQ(handler.outcomes[1][0].kind, FinalOutcome::Kind::failed);
    EXPECT_FALSE(handler.outcomes[1][0].timed_out);
    receive_request(2, 1);
    advance_time(1000);
    ASSERT_EQ(handler.outcomes[2].size(), 1U);
    EXPECT_TRUE(handler.outcomes[2][0].timed_out);
    EXPECT_EQ(engine.requests(), 1U);  // the attempt has not ended
    end_attempt(1, Outcome::cancelled);
    EXPECT_EQ(engine.requests(), 0U);
}

TEST_F(EngineTest, HandlesEventCausedByCancelAfterOtherActions) {
    handler.on_cancel = [this](AttemptKey key) { engine.on_attempt_ended(now, key, Outcome::cancelled, 10); };
    receive_request(1, 1);
    advance_time(1000);  // cancels the attempt and then fails the request, with one outcome
    ASSERT_EQ(handler.outcomes[1].size(), 1U);
    EXPECT_EQ(handler.released.count(1), 1U);
    EXPECT_EQ(engine.requests(), 0U);
}

TEST_F(EngineTest, AcceptsNewRequestFromWithinFinishRequest) {
    handler.on_finish = [this](RequestId id) {
        if (id < 5) receive_request(id + 1);
    };
    receive_request(1);
    for (std::size_t i = 0; i < 5; ++i) end_attempt(i, Outcome::success);
    for (RequestId id = 1; id <= 5; ++id) EXPECT_EQ(handler.outcomes[id].size(), 1U) << id;
    EXPECT_EQ(engine.requests(), 0U);
}

TEST_F(EngineTest, HandlesLaterEventsAfterHandlerThrows) {
    handler.on_cancel = [](AttemptKey) { throw std::runtime_error("handler failed"); };
    receive_request(1);
    EXPECT_THROW(engine.on_client_disconnected(now, 1), std::runtime_error);
    handler.on_cancel = {};
    receive_request(2);
    ASSERT_EQ(handler.started.size(), 2U);
    end_attempt(1, Outcome::success);
    EXPECT_EQ(handler.outcomes[2].size(), 1U);
}

// Applies random events, including events that no real frontend or backend reports. Each request must either
// get one outcome or have a disconnected client, and the engine must release all requests.
TEST_F(EngineTest, ReportsOneOutcomeUnlessClientDisconnectedForAnyOrderOfEvents) {
    std::uint64_t state = 7;
    const auto random_below = [&](std::uint64_t bound) {
        state = state * 6364136223846793005ULL + 1442695040888963407ULL;
        return (state >> 33) % bound;
    };
    std::set<RequestId> disconnected;
    std::set<std::size_t> ended_attempts;
    RequestId last_id = 0;
    for (int i = 0; i < 20000; ++i) {
        switch (random_below(5)) {
            case 0:
                receive_request(++last_id, static_cast<std::uint32_t>(random_below(3)),
                                1 + static_cast<Millis>(random_below(900)));
                break;
            case 1:
                if (last_id > 0) {
                    const RequestId id = 1 + random_below(last_id);
                    if (handler.outcomes[id].empty()) disconnected.insert(id);
                    engine.on_client_disconnected(now, id);
                }
                break;
            case 2:
                advance_time(static_cast<Millis>(random_below(50)));
                break;
            default:
                if (!handler.started.empty()) {
                    const std::size_t attempt_index =
                        handler.started.size() - 1 -
                        random_below(std::min<std::size_t>(8, handler.started.size()));
                    if (ended_attempts.insert(attempt_index).second)
                        end_attempt(attempt_index, static_cast<Outcome>(random_below(7)));
                }
        }
    }
    for (std::size_t i = 0; i < handler.started.size(); ++i)
        if (ended_attempts.insert(i).second) end_attempt(i, Outcome::connection_reset);
    advance_time(10000);
    for (std::size_t i = 0; i < handler.started.size(); ++i)
        if (ended_attempts.insert(i).second) end_attempt(i, Outcome::connection_reset);
    for (RequestId id = 1; id <= last_id; ++id) {
        EXPECT_EQ(handler.outcomes[id].size(), disconnected.contains(id) ? 0U : 1U) << id;
        EXPECT_EQ(handler.released.count(id), 1U) << id;
    }
    EXPECT_EQ(engine.requests(), 0U);
}

}  // namespace
}  // namespace elmbay::engine
