// The engine without sockets and clock: one outcome for each request, whatever the order of events.
#include "engine/engine.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <set>
#include <stdexcept>

namespace elmbay::engine {
namespace {

using namespace elmbay::balancer;

// Records the engine's actions. A test may react to a cancel or an outcome from within the call.
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
    RequestClass safe, once;
    safe.idempotency = Idempotency::idempotent;
    safe.latency_objective = once.latency_objective = 400;
    once.idempotency = Idempotency::non_idempotent;
    result.classes = {safe, once};
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
    void request_arrives(RequestId id, std::uint32_t class_index = 0, Millis left = 1000) {
        RequestArrived event;
        event.id = id;
        event.class_index = class_index;
        event.time_left = left;
        engine.on_request(now, event);
    }
    void attempt_ends(std::size_t nth, Outcome outcome) {
        engine.on_attempt_ended(now += 10, handler.started.at(nth).key, outcome, 10);
    }
    void time_passes(Millis span) {
        now += span;
        while (!handler.timers.empty() && handler.timers.begin()->first <= now) {
            const TimerToken token = handler.timers.begin()->second;
            handler.timers.erase(handler.timers.begin());
            engine.on_timer(now, token);
        }
    }
};

TEST_F(EngineTest, ReportsOneSuccessAndReleasesTheRequest) {
    request_arrives(1);
    ASSERT_EQ(handler.started.size(), 1U);
    EXPECT_EQ(engine.requests(), 1U);
    attempt_ends(0, Outcome::success);
    ASSERT_EQ(handler.outcomes[1].size(), 1U);
    EXPECT_EQ(handler.outcomes[1][0].kind, FinalOutcome::Kind::success);
    EXPECT_EQ(engine.requests(), 0U);
    EXPECT_EQ(handler.released.count(1), 1U);
    attempt_ends(0, Outcome::success);  // reported twice
    time_passes(5000);
    EXPECT_EQ(handler.outcomes[1].size(), 1U);
}

// The upgrade is an attempt with one outcome. The session after it counts until its end is first reported.
TEST_F(EngineTest, CountsSessionAgainstLimitUntilItEndsOnce) {
    Settings one = settings();
    one.max_sessions = 1;
    RecordingHandler session_handler;
    Engine sessions(one, 1, session_handler);
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
    EXPECT_EQ(session_handler.started.size(), 2U) << "one session ended, however often that is reported";
    EXPECT_EQ(session_handler.outcomes[4].at(0).kind, FinalOutcome::Kind::rejected);
}

TEST_F(EngineTest, IgnoresRequestWhoseIdIsInTheTable) {
    request_arrives(1);
    request_arrives(1);
    EXPECT_EQ(handler.started.size(), 1U);
    attempt_ends(0, Outcome::success);
    EXPECT_EQ(handler.outcomes[1].size(), 1U);
}

TEST_F(EngineTest, ReportsNoOutcomeAfterClientDisconnected) {
    request_arrives(1);
    engine.on_client_disconnected(now, 1);
    EXPECT_EQ(handler.cancelled.size(), 1U);
    EXPECT_EQ(handler.released.count(1), 0U);  // its attempt is still in flight
    attempt_ends(0, Outcome::success);
    EXPECT_TRUE(handler.outcomes[1].empty());
    EXPECT_EQ(handler.released.count(1), 1U);
    engine.on_client_disconnected(now, 1);
    engine.on_client_disconnected(now, 99);
}

TEST_F(EngineTest, MarksFailureAsTimedOutOnlyWithoutTimelyResponse) {
    request_arrives(1, 1);
    attempt_ends(0, Outcome::error_response);
    ASSERT_EQ(handler.outcomes[1].size(), 1U);
    EXPECT_EQ(handler.outcomes[1][0].kind, FinalOutcome::Kind::failed);
    EXPECT_FALSE(handler.outcomes[1][0].timed_out);
    request_arrives(2, 1);
    time_passes(1000);
    ASSERT_EQ(handler.outcomes[2].size(), 1U);
    EXPECT_TRUE(handler.outcomes[2][0].timed_out);
    EXPECT_EQ(engine.requests(), 1U);  // until its attempt has ended
    attempt_ends(1, Outcome::cancelled);
    EXPECT_EQ(engine.requests(), 0U);
}

TEST_F(EngineTest, HandlesEventCausedByCancelAfterOtherActions) {
    handler.on_cancel = [this](AttemptKey key) { engine.on_attempt_ended(now, key, Outcome::cancelled, 10); };
    request_arrives(1, 1);
    time_passes(1000);  // cancels the attempt, then fails the request: one outcome
    ASSERT_EQ(handler.outcomes[1].size(), 1U);
    EXPECT_EQ(handler.released.count(1), 1U);
    EXPECT_EQ(engine.requests(), 0U);
}

TEST_F(EngineTest, AcceptsNewRequestFromWithinFinishRequest) {
    handler.on_finish = [this](RequestId id) {
        if (id < 5) request_arrives(id + 1);
    };
    request_arrives(1);
    for (std::size_t i = 0; i < 5; ++i) attempt_ends(i, Outcome::success);
    for (RequestId id = 1; id <= 5; ++id) EXPECT_EQ(handler.outcomes[id].size(), 1U) << id;
    EXPECT_EQ(engine.requests(), 0U);
}

TEST_F(EngineTest, HandlesLaterEventsAfterHandlerThrows) {
    handler.on_cancel = [](AttemptKey) { throw std::runtime_error("no"); };
    request_arrives(1);
    EXPECT_THROW(engine.on_client_disconnected(now, 1), std::runtime_error);
    handler.on_cancel = {};
    request_arrives(2);
    ASSERT_EQ(handler.started.size(), 2U);
    attempt_ends(1, Outcome::success);
    EXPECT_EQ(handler.outcomes[2].size(), 1U);
}

// Random events, impossible ones among them: each request ends once or its client has disconnected, and all
// are released.
TEST_F(EngineTest, ReportsOneOutcomeUnlessClientDisconnectedForAnyOrderOfEvents) {
    std::uint64_t state = 7;
    const auto draw = [&](std::uint64_t n) {
        state = state * 6364136223846793005ULL + 1442695040888963407ULL;
        return (state >> 33) % n;
    };
    std::set<RequestId> disconnected;
    std::set<std::size_t> ended;
    RequestId last = 0;
    for (int i = 0; i < 20000; ++i) {
        switch (draw(5)) {
            case 0:
                request_arrives(++last, static_cast<std::uint32_t>(draw(3)),
                                1 + static_cast<Millis>(draw(900)));
                break;
            case 1:
                if (last > 0) {
                    const RequestId id = 1 + draw(last);
                    if (handler.outcomes[id].empty()) disconnected.insert(id);
                    engine.on_client_disconnected(now, id);
                }
                break;
            case 2:
                time_passes(static_cast<Millis>(draw(50)));
                break;
            default:
                if (!handler.started.empty()) {
                    const std::size_t nth =
                        handler.started.size() - 1 - draw(std::min<std::size_t>(8, handler.started.size()));
                    if (ended.insert(nth).second) attempt_ends(nth, static_cast<Outcome>(draw(7)));
                }
        }
    }
    for (std::size_t i = 0; i < handler.started.size(); ++i)
        if (ended.insert(i).second) attempt_ends(i, Outcome::connection_reset);
    time_passes(10000);
    for (std::size_t i = 0; i < handler.started.size(); ++i)
        if (ended.insert(i).second) attempt_ends(i, Outcome::connection_reset);
    for (RequestId id = 1; id <= last; ++id) {
        EXPECT_EQ(handler.outcomes[id].size(), disconnected.contains(id) ? 0U : 1U) << id;
        EXPECT_EQ(handler.released.count(id), 1U) << id;
    }
    EXPECT_EQ(engine.requests(), 0U);
}

}  // namespace
}  // namespace elmbay::engine
