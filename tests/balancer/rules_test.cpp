// Tests rules 1 to 3 with seeded random sequences of valid events, and in situations where violating a rule
// would be an advantage. Outcomes are drawn at random; servers are not modelled.
#include <cmath>

#include "rig.hpp"

namespace elmbay::balancer::test {
namespace {

// A small random number generator that is independent of the module's generator.
class RandomGenerator {
public:
    explicit RandomGenerator(std::uint64_t seed) : state_(seed * 2654435761u + 1) {}
    std::uint32_t below(std::uint32_t bound) {
        state_ = state_ * 6364136223846793005u + 1442695040888963407u;
        return static_cast<std::uint32_t>(state_ >> 33) % bound;
    }

private:
    std::uint64_t state_;
};

Settings mixed_settings(bool allow_hedging) {
    Settings settings =
        make_settings({make_class(Idempotency::idempotent), make_class(Idempotency::non_idempotent),
                       make_class(Idempotency::idempotency_key, DedupScope::all, 700),
                       make_class(Idempotency::idempotency_key, DedupScope::zone, 700),
                       make_class(Idempotency::idempotency_key, DedupScope::cell, 700)});
    settings.allow_hedging = allow_hedging;
    return settings;
}

void end_random_attempt(Rig& rig, RandomGenerator& random) {
    std::vector<std::pair<RequestId, std::uint32_t>> in_flight_attempts;
    for (const auto& [id, request] : rig.requests) {
        for (std::uint32_t i = 0; i < request.attempts.size(); ++i) {
            if (request.attempts[i].in_flight) in_flight_attempts.emplace_back(id, i);
        }
    }
    if (in_flight_attempts.empty()) return;
    const auto [id, attempt] =
        in_flight_attempts[random.below(static_cast<std::uint32_t>(in_flight_attempts.size()))];
    static const Outcome outcomes[] = {Outcome::success,          Outcome::success,        Outcome::success,
                                       Outcome::error_response,   Outcome::rejected,       Outcome::timed_out,
                                       Outcome::connection_reset, Outcome::connect_failed, Outcome::not_sent};
    const bool closed = rig.is_closed(rig.requests.at(id));
    rig.end_attempt(id, attempt, closed ? Outcome::cancelled : outcomes[random.below(9)]);
}

void change_list(Rig& rig, RandomGenerator& random) {
    const ServerId id = 1 + random.below(10);
    const EndpointState states[] = {EndpointState::active, EndpointState::active, EndpointState::draining,
                                    EndpointState::removed};
    const Millis online_since = random.below(2) ? rig.now - random.below(5000) : 0;
    if (random.below(5)) {
        rig.apply_list(ListKind::incremental,
                       {{id, id % 3, 0, id % 2, states[random.below(4)], online_since}});
    } else {
        std::vector<ServerInfo> servers;
        for (ServerId server = 1; server <= 10; ++server) {
            if (random.below(3))
                servers.push_back({server, server % 3, 0, server % 2, EndpointState::active, 0});
        }
        rig.apply_list(random.below(4) ? ListKind::snapshot : ListKind::failed, servers);
    }
}

void feed_random_events(Rig& rig, RandomGenerator& random, int steps) {
    rig.handle(Started{});
    rig.apply_list(ListKind::cached, make_servers(6));
    for (int i = 0; i < steps; ++i) {
        const std::uint32_t kind = random.below(100);
        if (kind < 45) {
            rig.request(random.below(6), 20 + random.below(1500));  // class 5 is unknown
        } else if (kind < 85) {
            end_random_attempt(rig, random);
        } else if (kind < 88) {
            change_list(rig, random);
        } else if (kind < 90 && !rig.requests.empty()) {
            auto entry = rig.requests.begin();
            std::advance(entry, random.below(static_cast<std::uint32_t>(rig.requests.size())));
            if (!rig.is_closed(entry->second)) {
                entry->second.client_disconnected = true;
                rig.handle(ClientDisconnected{entry->first});
            }
        } else {
            rig.advance(random.below(kind == 99 ? 4000 : 60));
        }
        // Removes the requests that have ended; a short map keeps the test fast.
        for (auto entry = rig.requests.begin(); entry != rig.requests.end();) {
            entry = rig.is_closed(entry->second) && !rig.is_in_flight(entry->first)
                        ? rig.requests.erase(entry)
                        : std::next(entry);
        }
    }
}

TEST(Rules, HoldOverRandomLegalEvents) {
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        SCOPED_TRACE(seed);
        Rig rig(mixed_settings(seed % 2), seed);
        RandomGenerator random(seed);
        feed_random_events(rig, random, 1500);
        rig.finish_all();
        if (::testing::Test::HasFailure()) return;
    }
}

TEST(Rules, SameEventsGiveTheSameActions) {
    std::vector<std::string> traces;
    for (int run = 0; run < 2; ++run) {
        Rig rig(mixed_settings(false), 5);
        RandomGenerator random(5);
        std::string trace;
        rig.apply_list(ListKind::snapshot, make_servers(6));
        for (int i = 0; i < 500; ++i) {
            const RequestId id = rig.request(random.below(5));
            trace += rig.is_in_flight(id) ? std::to_string(rig.last_server(id)) + "," : "-,";
            end_random_attempt(rig, random);
            rig.now += 1;
        }
        traces.push_back(trace);
    }
    EXPECT_EQ(traces[0], traces[1]);
}

TEST(Rules, MemoryStaysBoundedOverALongRun) {
    Rig rig(mixed_settings(false), 3);
    RandomGenerator random(3);
    ServerId new_server = 100;
    for (int round = 0; round < 60; ++round) {
        feed_random_events(rig, random, 300);
        rig.apply_list(ListKind::snapshot, {{new_server, 0, 0, 0, EndpointState::active, 0},
                                            {new_server + 1, 1, 0, 1, EndpointState::active, 0}});
        new_server += 2;
        rig.advance(10000);
    }
    rig.finish_all();
    EXPECT_EQ(rig.balancer.resource_usage().requests, 0U);
    EXPECT_LE(rig.balancer.resource_usage().servers, 2U);
    EXPECT_LE(rig.balancer.resource_usage().timers, 1U);
}

// ---- Each rule where a violation would help -------------------------------------------------------------

Rig three_servers(RequestClass request_class, std::uint64_t seed = 1) {
    Rig rig(make_settings({request_class}), seed);
    rig.apply_list(ListKind::snapshot, make_servers(3));
    return rig;
}

TEST(Rule2, NeitherRetriesNorRejectsNonIdempotentRequestThatMayHaveRun) {
    for (const Outcome outcome : {Outcome::error_response, Outcome::timed_out, Outcome::connection_reset}) {
        Rig rig = three_servers(make_class(Idempotency::non_idempotent));
        const RequestId id = rig.request();
        rig.end(id, outcome);
        EXPECT_EQ(rig.attempt_count(id), 1U);
        EXPECT_EQ(rig.requests.at(id).responses, 1);
        EXPECT_FALSE(rig.requests.at(id).rejected);
    }
}

TEST(Rule2, TreatsUnknownClassAsNonIdempotent) {
    Rig rig = three_servers(make_class(Idempotency::idempotent));
    const RequestId id = rig.request(9);
    rig.end(id, Outcome::error_response);
    EXPECT_EQ(rig.attempt_count(id), 1U);
    EXPECT_FALSE(rig.requests.at(id).rejected);
}

TEST(Rule2, RetriesIdempotentRequestAfterAnyFailure) {
    for (const Outcome outcome : {Outcome::error_response, Outcome::connection_reset, Outcome::rejected}) {
        Rig rig = three_servers(make_class(Idempotency::idempotent));
        const RequestId id = rig.request();
        rig.end(id, outcome);
        EXPECT_EQ(rig.attempt_count(id), 2U);
    }
}

TEST(Rule2, RetriesWithIdempotencyKeyWithinZoneAndWindow) {
    Rig rig(make_settings({make_class(Idempotency::idempotency_key, DedupScope::zone, 300)}));
    rig.apply_list(ListKind::snapshot, make_servers(9));
    for (int i = 0; i < 30; ++i) {
        const RequestId id = rig.request();
        const ServerId first = rig.last_server(id);
        rig.end(id, i % 2 ? Outcome::error_response : Outcome::connection_reset, i % 3 ? 10 : 400);
        if (i % 3) {
            EXPECT_EQ(rig.last_server(id) % 3, first % 3);
        } else {
            EXPECT_EQ(rig.attempt_count(id), 1U) << "the window has passed";
        }
        while (rig.is_in_flight(id)) rig.end(id, Outcome::success, 1);
    }
}

TEST(Rule2, RejectsAfterAPossibleRunOnlyWhenAllServersDeduplicate) {
    for (const DedupScope scope : {DedupScope::zone, DedupScope::all}) {
        Rig rig(make_settings({make_class(Idempotency::idempotency_key, scope)}));
        rig.apply_list(ListKind::snapshot, make_servers(1));
        const RequestId id = rig.request(0, 300);
        rig.end(id, Outcome::error_response, 10);
        while (rig.is_in_flight(id)) rig.end(id, Outcome::error_response, 10);
        rig.finish_all();
        EXPECT_EQ(rig.requests.at(id).rejected, scope == DedupScope::all);
    }
}

// The driver may be suspended between the decision and the write. StartAttempt therefore includes the time by
// which the write must happen.
TEST(Rule2, RetryHasAWriteDeadlineWithinTheDeduplicationWindow) {
    for (const Idempotency idempotency : {Idempotency::idempotency_key, Idempotency::idempotent}) {
        Rig rig(make_settings({make_class(idempotency, DedupScope::all, 300)}));
        rig.apply_list(ListKind::snapshot, make_servers(3));
        const Millis first = rig.now;
        const RequestId id = rig.request();
        const auto write_by = [&rig] {
            for (const Action& a : rig.last_actions) {
                if (const auto* send = std::get_if<StartAttempt>(&a)) return send->write_by;
            }
            return 0.0;
        };
        EXPECT_TRUE(std::isinf(write_by())) << "no earlier attempt";
        rig.end(id, Outcome::error_response, 100);
        ASSERT_EQ(rig.attempt_count(id), 2U);
        EXPECT_EQ(std::isinf(write_by()), idempotency == Idempotency::idempotent);
        if (idempotency == Idempotency::idempotency_key) {
            EXPECT_LE(write_by(), first + 300 - 150) << "a write that is delayed by 150 ms is in time";
            EXPECT_GT(write_by(), first + 300 - 200);
        }
        // The attempt was not written in time, and no other attempt may be written either, so the final
        // response must not wait.
        if (idempotency != Idempotency::idempotency_key) continue;
        rig.end(id, Outcome::not_sent, 190);
        EXPECT_EQ(rig.requests.at(id).responses, 1);
        EXPECT_FALSE(rig.requests.at(id).rejected) << "the client's retry could be executed as well";
    }
}

// A rejection states that a retry is harmless. This must be true at the time of the retry.
TEST(Rule2, DoesNotRejectWhenTheClientsRetryWouldMissTheWindow) {
    for (const Millis after : {20.0, 200.0}) {
        Rig rig(make_settings({make_class(Idempotency::idempotency_key, DedupScope::all, 400)}));
        rig.apply_list(ListKind::snapshot, make_servers(1));
        const RequestId id = rig.request(0, 1000);
        rig.end(id, Outcome::error_response, after - 3);
        for (int i = 0; i < 3; ++i) rig.end(id, Outcome::rejected, 1);  // all attempts are used up
        EXPECT_EQ(rig.requests.at(id).responses, 1);
        EXPECT_EQ(rig.requests.at(id).rejected, after == 20) << after;
    }
}

TEST(Rule3, SendsNothingToADrainingServer) {
    Rig rig = three_servers(make_class(Idempotency::idempotent));
    rig.apply_list(ListKind::incremental, {{1, 0, 0, 0, EndpointState::draining, 0}});
    for (int i = 0; i < 50; ++i) {
        const RequestId id = rig.request();
        EXPECT_NE(rig.last_server(id), 1U);
        rig.end(id, Outcome::success);
    }
}

TEST(Rule1, RespondsToWaitingRequestBeforeItsDeadline) {
    Rig rig(make_settings({make_class(Idempotency::non_idempotent)}));
    const RequestId id = rig.request(0, 50);
    EXPECT_EQ(rig.requests.at(id).responses, 0);
    rig.finish_all();
    EXPECT_EQ(rig.requests.at(id).responses, 1);
    EXPECT_TRUE(rig.requests.at(id).rejected) << "the request was never sent, so a retry is harmless";
}

}  // namespace
}  // namespace elmbay::balancer::test
