// The engine without sockets and clock: one outcome each, whatever order things come in.
#include "engine/engine.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <set>
#include <stdexcept>

namespace elmbay::engine {
namespace {

using namespace elmbay::balancer;

// Notes what the engine wants; a test may hang something on a call.
struct TestPort : ActionHandler {
    struct Started {
        AttemptKey key;
        ServerId server;
        Millis until;
    };
    void start(AttemptKey key, ServerId server, Millis until, Millis) override {
        started.push_back({key, server, until});
    }
    void cancel(AttemptKey key) override {
        cancelled.push_back(key);
        if (on_cancel) on_cancel(key);
    }
    void finish(RequestId id, const FinalOutcome& outcome) override {
        outcomes[id].push_back(outcome);
        if (on_finish) on_finish(id);
    }
    void forget(RequestId id) override { forgotten.insert(id); }
    void set_timer(Millis at, TimerToken token) override { timers.emplace(at, token); }
    void subscribe(bool active) override { subscribed = active; }

    std::vector<Started> started;
    std::vector<AttemptKey> cancelled;
    std::map<RequestId, std::vector<FinalOutcome>> outcomes;
    std::multiset<RequestId> forgotten;
    std::multimap<Millis, TimerToken> timers;
    bool subscribed = false;
    std::function<void(AttemptKey)> on_cancel;
    std::function<void(RequestId)> on_finish;
};

Settings settings() {
    Settings s;
    RequestClass safe, once;
    safe.idempotency = Idempotency::idempotent;
    safe.latency_objective = once.latency_objective = 400;
    once.idempotency = Idempotency::non_idempotent;
    s.classes = {safe, once};
    s.max_attempts = 4;
    return s;
}

struct EngineTest : testing::Test {
    TestPort port;
    Engine engine{settings(), 1, port};
    Millis now = 1e6;

    void SetUp() override {
        engine.begin(now);
        ServerList list{ListKind::snapshot, {}};
        for (ServerId id = 1; id <= 4; ++id) list.servers.push_back({id, 0, 0, 0, EndpointState::active, 0});
        engine.on_endpoint_list(now, list);
    }
    void take(RequestId id, std::uint32_t class_index = 0, Millis left = 1000) {
        RequestArrived e;
        e.id = id;
        e.class_index = class_index;
        e.time_left = left;
        engine.on_request(now, e);
    }
    void end(std::size_t nth, Outcome outcome) {
        engine.on_attempt_ended(now += 10, port.started.at(nth).key, outcome, 10);
    }
    void pass(Millis span) {
        now += span;
        while (!port.timers.empty() && port.timers.begin()->first <= now) {
            const TimerToken token = port.timers.begin()->second;
            port.timers.erase(port.timers.begin());
            engine.on_timer(now, token);
        }
    }
};

TEST_F(EngineTest, ServesOnceAndLeavesNoTrace) {
    take(1);
    ASSERT_EQ(port.started.size(), 1U);
    EXPECT_EQ(engine.requests(), 1U);
    end(0, Outcome::success);
    ASSERT_EQ(port.outcomes[1].size(), 1U);
    EXPECT_EQ(port.outcomes[1][0].kind, FinalOutcome::Kind::success);
    EXPECT_EQ(engine.requests(), 0U);
    EXPECT_EQ(port.forgotten.count(1), 1U);
    end(0, Outcome::success);  // told twice
    pass(5000);
    EXPECT_EQ(port.outcomes[1].size(), 1U);
}

// An upgrade is an attempt with one outcome; the session after it is the client's, and its end gives the
// place back once.
TEST_F(EngineTest, ASessionHoldsItsPlaceUntilItEnds) {
    Settings one = settings();
    one.max_sessions = 1;
    TestPort own;
    Engine sessions(one, 1, own);
    sessions.begin(now);
    sessions.on_endpoint_list(now, {ListKind::snapshot, {{1, 0, 0, 0, EndpointState::active, 0}}});
    const auto upgrade = [&](RequestId id) {
        RequestArrived e;
        e.id = id, e.time_left = 1000, e.session = true;
        sessions.on_request(now, e);
    };
    upgrade(1);
    ASSERT_EQ(own.started.size(), 1U);
    sessions.on_attempt_ended(now, own.started[0].key, Outcome::success, 5);
    EXPECT_EQ(own.outcomes[1].at(0).kind, FinalOutcome::Kind::success);
    EXPECT_EQ(own.forgotten.count(1), 1U);
    EXPECT_EQ(sessions.requests(), 0U);
    upgrade(2);
    EXPECT_EQ(own.outcomes[2].at(0).kind, FinalOutcome::Kind::rejected);
    sessions.on_session_ended(now, 1, false);
    sessions.on_session_ended(now, 1, false);
    upgrade(3);
    upgrade(4);
    EXPECT_EQ(own.started.size(), 2U) << "one place, however often the end is told";
    EXPECT_EQ(own.outcomes[4].at(0).kind, FinalOutcome::Kind::rejected);
}

TEST_F(EngineTest, TheSameIdAgainChangesNothing) {
    take(1);
    take(1);
    EXPECT_EQ(port.started.size(), 1U);
    end(0, Outcome::success);
    EXPECT_EQ(port.outcomes[1].size(), 1U);
}

TEST_F(EngineTest, AnAnswerAfterTheCallerHasGoneIsNobodys) {
    take(1);
    engine.on_client_disconnected(now, 1);
    EXPECT_EQ(port.cancelled.size(), 1U);
    EXPECT_EQ(port.forgotten.count(1), 0U);  // its attempt is still out
    end(0, Outcome::success);
    EXPECT_TRUE(port.outcomes[1].empty());
    EXPECT_EQ(port.forgotten.count(1), 1U);
    engine.on_client_disconnected(now, 1);
    engine.on_client_disconnected(now, 99);
}

TEST_F(EngineTest, TimeOutsAreToldApartFromOtherFailures) {
    take(1, 1);
    end(0, Outcome::error_response);
    ASSERT_EQ(port.outcomes[1].size(), 1U);
    EXPECT_EQ(port.outcomes[1][0].kind, FinalOutcome::Kind::failed);
    EXPECT_FALSE(port.outcomes[1][0].timed_out);
    take(2, 1);
    pass(1000);
    ASSERT_EQ(port.outcomes[2].size(), 1U);
    EXPECT_TRUE(port.outcomes[2][0].timed_out);
    EXPECT_EQ(engine.requests(), 1U);  // until its attempt has ended
    end(1, Outcome::cancelled);
    EXPECT_EQ(engine.requests(), 0U);
}

TEST_F(EngineTest, WhatACancelBringsAboutComesAfterTheOtherActions) {
    port.on_cancel = [this](AttemptKey key) { engine.on_attempt_ended(now, key, Outcome::cancelled, 10); };
    take(1, 1);
    pass(1000);  // cancels, then gives up: the outcome must be there, once
    ASSERT_EQ(port.outcomes[1].size(), 1U);
    EXPECT_EQ(port.forgotten.count(1), 1U);
    EXPECT_EQ(engine.requests(), 0U);
}

TEST_F(EngineTest, ACallerThatAsksAgainFromWithinItsOutcomeIsTaken) {
    port.on_finish = [this](RequestId id) {
        if (id < 5) take(id + 1);
    };
    take(1);
    for (std::size_t i = 0; i < 5; ++i) end(i, Outcome::success);
    for (RequestId id = 1; id <= 5; ++id) EXPECT_EQ(port.outcomes[id].size(), 1U) << id;
    EXPECT_EQ(engine.requests(), 0U);
}

TEST_F(EngineTest, AThrowFromThePortLosesNoLaterEvent) {
    port.on_cancel = [](AttemptKey) { throw std::runtime_error("no"); };
    take(1);
    EXPECT_THROW(engine.on_client_disconnected(now, 1), std::runtime_error);
    port.on_cancel = {};
    take(2);
    ASSERT_EQ(port.started.size(), 2U);
    end(1, Outcome::success);
    EXPECT_EQ(port.outcomes[2].size(), 1U);
}

// Everything at random, also nonsense: each taken request ends once or its caller has gone, and nothing is
// left.
TEST_F(EngineTest, WhateverComesEachEndsOnce) {
    std::uint64_t state = 7;
    const auto draw = [&](std::uint64_t n) {
        state = state * 6364136223846793005ULL + 1442695040888963407ULL;
        return (state >> 33) % n;
    };
    std::set<RequestId> gone;
    std::set<std::size_t> ended;
    RequestId last = 0;
    for (int i = 0; i < 20000; ++i) {
        switch (draw(5)) {
            case 0:
                take(++last, static_cast<std::uint32_t>(draw(3)), 1 + static_cast<Millis>(draw(900)));
                break;
            case 1:
                if (last > 0) {
                    const RequestId id = 1 + draw(last);
                    if (port.outcomes[id].empty()) gone.insert(id);
                    engine.on_client_disconnected(now, id);
                }
                break;
            case 2:
                pass(static_cast<Millis>(draw(50)));
                break;
            default:
                if (!port.started.empty()) {
                    const std::size_t nth =
                        port.started.size() - 1 - draw(std::min<std::size_t>(8, port.started.size()));
                    if (ended.insert(nth).second) end(nth, static_cast<Outcome>(draw(7)));
                }
        }
    }
    for (std::size_t i = 0; i < port.started.size(); ++i)
        if (ended.insert(i).second) end(i, Outcome::connection_reset);
    pass(10000);
    for (std::size_t i = 0; i < port.started.size(); ++i)
        if (ended.insert(i).second) end(i, Outcome::connection_reset);
    for (RequestId id = 1; id <= last; ++id) {
        EXPECT_EQ(port.outcomes[id].size(), gone.contains(id) ? 0U : 1U) << id;
        EXPECT_EQ(port.forgotten.count(id), 1U) << id;
    }
    EXPECT_EQ(engine.requests(), 0U);
}

}  // namespace
}  // namespace elmbay::engine
