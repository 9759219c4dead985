// Rules 1 to 3: on every action of seeded random event sequences that are legal, and where breaking each rule
// would pay. Outcomes are drawn at random; no server is modelled.
#include <cmath>

#include "rig.hpp"

namespace elmbay::balancer::test {
namespace {

// A small random generator, other than the module's own.
class Dice {
public:
    explicit Dice(std::uint64_t seed) : state_(seed * 2654435761u + 1) {}
    std::uint32_t below(std::uint32_t n) {
        state_ = state_ * 6364136223846793005u + 1442695040888963407u;
        return static_cast<std::uint32_t>(state_ >> 33) % n;
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

void end_random(Rig& rig, Dice& dice) {
    std::vector<std::pair<RequestId, std::uint32_t>> out;
    for (const auto& [id, request] : rig.requests) {
        for (std::uint32_t i = 0; i < request.attempts.size(); ++i) {
            if (request.attempts[i].in_flight) out.emplace_back(id, i);
        }
    }
    if (out.empty()) return;
    const auto [id, attempt] = out[dice.below(static_cast<std::uint32_t>(out.size()))];
    static const Outcome outcomes[] = {Outcome::success,          Outcome::success,        Outcome::success,
                                       Outcome::error_response,   Outcome::rejected,       Outcome::timed_out,
                                       Outcome::connection_reset, Outcome::connect_failed, Outcome::not_sent};
    const bool closed = rig.is_closed(rig.requests.at(id));
    rig.end_attempt(id, attempt, closed ? Outcome::cancelled : outcomes[dice.below(9)]);
}

void change_list(Rig& rig, Dice& dice) {
    const ServerId id = 1 + dice.below(10);
    const EndpointState states[] = {EndpointState::active, EndpointState::active, EndpointState::draining,
                                    EndpointState::removed};
    const Millis since = dice.below(2) ? rig.now - dice.below(5000) : 0;
    if (dice.below(5)) {
        rig.apply_list(ListKind::incremental, {{id, id % 3, 0, id % 2, states[dice.below(4)], since}});
    } else {
        std::vector<ServerInfo> infos;
        for (ServerId server = 1; server <= 10; ++server) {
            if (dice.below(3)) infos.push_back({server, server % 3, 0, server % 2, EndpointState::active, 0});
        }
        rig.apply_list(dice.below(4) ? ListKind::snapshot : ListKind::failed, infos);
    }
}

void feed_random_events(Rig& rig, Dice& dice, int steps) {
    rig.handle(Started{});
    rig.apply_list(ListKind::cached, make_servers(6));
    for (int i = 0; i < steps; ++i) {
        const std::uint32_t what = dice.below(100);
        if (what < 45) {
            rig.request(dice.below(6), 20 + dice.below(1500));  // class 5 is unknown
        } else if (what < 85) {
            end_random(rig, dice);
        } else if (what < 88) {
            change_list(rig, dice);
        } else if (what < 90 && !rig.requests.empty()) {
            auto entry = rig.requests.begin();
            std::advance(entry, dice.below(static_cast<std::uint32_t>(rig.requests.size())));
            if (!rig.is_closed(entry->second)) {
                entry->second.client_disconnected = true;
                rig.handle(ClientDisconnected{entry->first});
            }
        } else {
            rig.advance(dice.below(what == 99 ? 4000 : 60));
        }
        for (auto entry = rig.requests.begin(); entry != rig.requests.end();) {  // keeps the rig quick
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
        Dice dice(seed);
        feed_random_events(rig, dice, 1500);
        rig.finish_all();
        if (::testing::Test::HasFailure()) return;
    }
}

TEST(Rules, SameEventsGiveTheSameActions) {
    std::vector<std::string> traces;
    for (int run = 0; run < 2; ++run) {
        Rig rig(mixed_settings(false), 5);
        Dice dice(5);
        std::string trace;
        rig.apply_list(ListKind::snapshot, make_servers(6));
        for (int i = 0; i < 500; ++i) {
            const RequestId id = rig.request(dice.below(5));
            trace += rig.is_in_flight(id) ? std::to_string(rig.last_server(id)) + "," : "-,";
            end_random(rig, dice);
            rig.now += 1;
        }
        traces.push_back(trace);
    }
    EXPECT_EQ(traces[0], traces[1]);
}

TEST(Rules, MemoryStaysBoundedOverALongRun) {
    Rig rig(mixed_settings(false), 3);
    Dice dice(3);
    ServerId fresh = 100;
    for (int round = 0; round < 60; ++round) {
        feed_random_events(rig, dice, 300);
        rig.apply_list(ListKind::snapshot, {{fresh, 0, 0, 0, EndpointState::active, 0},
                                            {fresh + 1, 1, 0, 1, EndpointState::active, 0}});
        fresh += 2;
        rig.advance(10000);
    }
    rig.finish_all();
    EXPECT_EQ(rig.balancer.resource_usage().requests, 0U);
    EXPECT_LE(rig.balancer.resource_usage().servers, 2U);
    EXPECT_LE(rig.balancer.resource_usage().timers, 1U);
}

// ---- Each rule where breaking it would pay --------------------------------------------------------------

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

// The driver may be held up between the decision and the write. It is told until when the write may happen.
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
        EXPECT_TRUE(std::isinf(write_by())) << "no attempt came before it";
        rig.end(id, Outcome::error_response, 100);
        ASSERT_EQ(rig.attempt_count(id), 2U);
        EXPECT_EQ(std::isinf(write_by()), idempotency == Idempotency::idempotent);
        if (idempotency == Idempotency::idempotency_key) {
            EXPECT_LE(write_by(), first + 300 - 150) << "a write that is held up for 150 ms is in time";
            EXPECT_GT(write_by(), first + 300 - 200);
        }
        // It was not written in time, and nothing else may be either: the final response does not wait.
        if (idempotency != Idempotency::idempotency_key) continue;
        rig.end(id, Outcome::not_sent, 190);
        EXPECT_EQ(rig.requests.at(id).responses, 1);
        EXPECT_FALSE(rig.requests.at(id).rejected) << "the client's next try could run as well";
    }
}

// A rejection says that the next try is harmless. It has to be when it comes.
TEST(Rule2, DoesNotRejectWhenTheClientsRetryWouldMissTheWindow) {
    for (const Millis after : {20.0, 200.0}) {
        Rig rig(make_settings({make_class(Idempotency::idempotency_key, DedupScope::all, 400)}));
        rig.apply_list(ListKind::snapshot, make_servers(1));
        const RequestId id = rig.request(0, 1000);
        rig.end(id, Outcome::error_response, after - 3);
        for (int i = 0; i < 3; ++i) rig.end(id, Outcome::rejected, 1);  // no attempt is left
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

TEST(Rule1, AnswersWaitingRequestInTime) {
    Rig rig(make_settings({make_class(Idempotency::non_idempotent)}));
    const RequestId id = rig.request(0, 50);
    EXPECT_EQ(rig.requests.at(id).responses, 0);
    rig.finish_all();
    EXPECT_EQ(rig.requests.at(id).responses, 1);
    EXPECT_TRUE(rig.requests.at(id).rejected) << "it was never sent, so trying again is harmless";
}

}  // namespace
}  // namespace elmbay::balancer::test
