// The learned state of an earlier run: restored with care, never at the price of a rule or of a healthy
// server.
#include <rapidcheck.h>

#include <cmath>
#include <limits>
#include <set>

#include "base/random.hpp"
#include "rig.hpp"

namespace elmbay::balancer::test {
namespace {

constexpr double kNan = std::numeric_limits<double>::quiet_NaN();
constexpr double kInf = std::numeric_limits<double>::infinity();

// Sends requests until `bad`, which fails each, is ejected. Returns the learned state then.
LearnedState state_after_ejecting(ServerId bad, ServerId servers, Rig& rig) {
    rig.handle(Started{});
    rig.apply_list(ListKind::snapshot, make_servers(servers));
    for (int i = 0; i < 400 && rig.ejection_count() == 0; ++i) {
        const RequestId id = rig.request();
        while (rig.is_in_flight(id)) {
            rig.end(id, rig.last_server(id) == bad ? Outcome::error_response : Outcome::success, 20);
        }
    }
    EXPECT_EQ(rig.ejection_count(), 1);
    return rig.balancer.learned_state(rig.now);
}

// A new run of the sidecar, to which the state of the earlier one and the list have been given.
Rig next_run(const LearnedState& known, Millis age, const std::vector<ServerInfo>& servers,
             ListKind kind = ListKind::snapshot) {
    Rig rig(make_settings(), 7);
    rig.handle(Started{});
    rig.handle(StateRestored{known, age});
    rig.apply_list(kind, servers);
    return rig;
}

// The servers that get any of so many requests, each completed well before the next.
std::set<ServerId> servers_used(Rig& rig, int requests, Millis took = 20) {
    std::set<ServerId> who;
    for (int i = 0; i < requests; ++i) {
        const RequestId id = rig.request();
        if (!rig.is_in_flight(id)) continue;
        who.insert(rig.last_server(id));
        rig.end(id, Outcome::success, took);
    }
    return who;
}

TEST(StateRestoredTest, EjectedServerStaysEjectedForTheRemainingTime) {
    Rig first(make_settings());
    const LearnedState known = state_after_ejecting(2, 6, first);
    Rig rig = next_run(known, 4000, make_servers(6));
    EXPECT_FALSE(servers_used(rig, 250).contains(2)) << "5 s of the remaining 6";
    EXPECT_TRUE(servers_used(rig, 70).contains(2)) << "then its probe";
}

TEST(StateRestoredTest, ServerWhoseEjectionIsOverIsProbedAtOnce) {
    Rig first(make_settings());
    const LearnedState known = state_after_ejecting(2, 6, first);
    for (const Millis age : {10000.0, 60000.0, 290000.0}) {
        Rig rig = next_run(known, age, make_servers(6));
        const RequestId trial = rig.request();
        ASSERT_TRUE(rig.is_in_flight(trial));
        EXPECT_EQ(rig.last_server(trial), 2U);
        std::set<ServerId> others;
        for (int i = 0; i < 30; ++i) {
            const RequestId id = rig.request();
            others.insert(rig.last_server(id));
            rig.end(id, Outcome::success, 1);
        }
        EXPECT_FALSE(others.contains(2)) << "one request is its probe";
        rig.end(trial, Outcome::success);
        std::set<ServerId> again;
        for (const RequestId id : rig.burst(12)) again.insert(rig.last_server(id));
        EXPECT_TRUE(again.contains(2)) << "restored";
    }
}

TEST(StateRestoredTest, IgnoresStateThatIsTooOldOrUndated) {
    Rig first(make_settings());
    const LearnedState known = state_after_ejecting(2, 6, first);
    for (const Millis age : {-1.0, -1e9, 300001.0, 5.0 * 24 * 3600 * 1000, kNan, kInf}) {
        Rig rig = next_run(known, age, make_servers(6));
        EXPECT_NE(rig.last_server(rig.request()), 0U);
        const LearnedState state = rig.balancer.learned_state(rig.now);
        for (const LearnedServerState& server : state.servers)
            EXPECT_FALSE(server.ejection_remaining_ms) << age;
        EXPECT_EQ(state.learned_limit, 0) << age;
    }
}

TEST(StateRestoredTest, DoesNotEjectARestartedServer) {
    Rig first(make_settings());
    const LearnedState known = state_after_ejecting(2, 6, first);
    std::vector<ServerInfo> servers = make_servers(6);
    servers[1].online_since = 5000;  // long warm, but started since
    Rig rig = next_run(known, 1000, servers);
    EXPECT_TRUE(servers_used(rig, 60).contains(2));
}

TEST(StateRestoredTest, ForgetsServersThatTheFirstSnapshotDoesNotName) {
    Rig first(make_settings());
    const LearnedState known = state_after_ejecting(2, 6, first);
    Rig rig = next_run(known, 1000, {make_servers(6)[0], make_servers(6)[2], make_servers(6)[3]});
    rig.apply_list(ListKind::snapshot, make_servers(6));
    EXPECT_TRUE(servers_used(rig, 60).contains(2))
        << "a server of that number came later and may be another one";
    // A cached list may be old and short: what it does not name may still come.
    Rig saved = next_run(known, 1000, {make_servers(6)[0]}, ListKind::cached);
    saved.apply_list(ListKind::snapshot, make_servers(6));
    EXPECT_FALSE(servers_used(saved, 100).contains(2));
}

TEST(StateRestoredTest, KeepsHalfOfTheListWhateverTheState) {
    LearnedState known;
    for (ServerId id = 1; id <= 8; ++id) known.servers.push_back({id, 0, 0, 20, 9000.0, 1});
    Rig rig = next_run(known, 0, make_servers(8));
    EXPECT_EQ(servers_used(rig, 200).size(), 4U);
    Rig shrunk = next_run(known, 0, make_servers(1));
    EXPECT_EQ(servers_used(shrunk, 3).size(), 1U) << "the only server there is";
}

TEST(StateRestoredTest, RestoresOutcomeWindowAndLetsItDecay) {
    LearnedState known;
    // 18 successes and two failures: the next failure ejects it.
    known.servers.push_back({1, 0, 0b11111111111111110011, 20, {}, 1});
    const auto failures_until_ejection = [&](Millis age) {
        Rig rig = next_run(known, age, make_servers(4));
        int failed = 0;
        for (int i = 0; i < 400 && rig.ejection_count() == 0; ++i) {
            const RequestId id = rig.request();
            failed += rig.last_server(id) == 1;
            while (rig.is_in_flight(id)) {
                rig.end(id, rig.last_server(id) == 1 ? Outcome::error_response : Outcome::success, 1);
            }
        }
        return failed;
    };
    EXPECT_EQ(failures_until_ejection(0), 1);
    EXPECT_GT(failures_until_ejection(250000), 1) << "it has decayed";
}

TEST(StateRestoredTest, GivesNoNewSlowStartTokensOrRetries) {
    LearnedState known;
    known.servers.push_back({1, 99000, 0, 0, {}, -1});
    known.retries_left = 0;
    const auto first_send = [&](const LearnedState& state, std::uint64_t seed) {
        Settings settings = make_settings();
        settings.slow_start_duration = 200000;
        Rig rig(settings, seed);
        rig.handle(Started{});
        rig.handle(StateRestored{state, 0});
        rig.apply_list(ListKind::snapshot, {{1, 0, 0, 0, EndpointState::active, 99000}});
        int tries = 0;
        for (; tries < 1900 && !rig.is_in_flight(rig.request(0, 100)); ++tries) {
            rig.advance(100);
            rig.requests.clear();  // answered, and long to look through
        }
        return tries;
    };
    int fresh = 0;
    int restored = 0;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        const int mine = first_send(known, seed);
        EXPECT_GE(mine, first_send({}, seed)) << "a new run starts with less debt, by chance";
        fresh += first_send({}, seed);
        restored += mine;
    }
    EXPECT_GT(restored, 1.2 * fresh);

    const auto sends_of_a_failing = [&](const LearnedState& state) {
        Rig rig = next_run(state, 0, make_servers(6));
        const RequestId id = rig.request();
        while (rig.is_in_flight(id)) rig.end(id, Outcome::error_response);
        return rig.attempt_count(id);
    };
    EXPECT_EQ(sends_of_a_failing(known), 1U) << "a fifth of a retry is not one";
    EXPECT_GT(sends_of_a_failing({}), 1U);
}

TEST(StateRestoredTest, KeepsConcurrencyLimitWhileItsResponsesAreRecent) {
    LearnedState known;
    known.load_ratio = {0.6, 10, 0};
    known.concurrency_limit = 6;
    const auto admitted = [&](Millis age) {
        Rig rig = next_run(known, age, make_servers(12));
        return rig.count_in_flight(rig.burst(200));
    };
    EXPECT_LE(admitted(1000), 7);
    EXPECT_GT(admitted(60000), 12) << "as a new run";
}

TEST(StateRestoredTest, IgnoresStateAfterTheFirstList) {
    LearnedState known;
    known.servers.push_back({1, 0, 0, 20, 9000.0, 1});
    Rig rig(make_settings(), 7);
    rig.apply_list(ListKind::snapshot, make_servers(4));
    rig.handle(StateRestored{known, 0});
    rig.apply_list(ListKind::snapshot, make_servers(4));
    EXPECT_TRUE(servers_used(rig, 40).contains(1));
}

TEST(StateRestoredTest, RestoredStateIsSavedAgain) {
    Rig first(make_settings());
    const LearnedState known = state_after_ejecting(2, 6, first);
    Rig rig = next_run(known, 0, make_servers(6));
    rig.now = first.now;
    const LearnedState again = next_run(known, 0, make_servers(6)).balancer.learned_state(rig.now);
    ASSERT_EQ(again.servers.size(), known.servers.size());
    for (std::size_t i = 0; i < known.servers.size(); ++i) {
        EXPECT_EQ(again.servers[i].outcome_count,
                  known.servers[i].ejection_remaining_ms ? 0 : known.servers[i].outcome_count);
        EXPECT_EQ(again.servers[i].ejection_remaining_ms.has_value(),
                  known.servers[i].ejection_remaining_ms.has_value());
    }
    EXPECT_GT(known.learned_limit, 0);
    EXPECT_LE(again.learned_limit, known.learned_limit);
    EXPECT_GE(again.learned_limit, 0.9 * known.learned_limit);
}

double any_number(Random& random) {
    static const double odd[] = {kNan, kInf, -kInf, -1, 0, 1e300, -1e300, 1e-300, 5, 0.5};
    return random.below(3) ? odd[random.below(10)] : (random.uniform() - 0.2) * std::pow(10, random.below(7));
}

LearnedState any_learned_state(Random& random) {
    LearnedState state;
    const auto any_mean = [&] {
        return DecayedMean{any_number(random), any_number(random), any_number(random)};
    };
    for (std::size_t i = random.below(16); i > 0; --i) {
        LearnedServerState server;
        server.server = static_cast<std::uint32_t>(random.below(12));
        server.online_since = random.below(2) ? 0 : any_number(random);
        server.outcome_bits = static_cast<std::uint32_t>(random.next());
        server.outcome_count = static_cast<std::uint32_t>(random.below(24));
        if (random.below(2)) server.ejection_remaining_ms = any_number(random);
        server.slow_start_tokens = any_number(random);
        state.servers.push_back(server);
    }
    state.load_ratio = any_mean();
    state.concurrency_limit = any_number(random);
    state.learned_limit = any_number(random);
    state.learned_limit_warm_servers = any_number(random);
    state.completion_rate = any_number(random);
    state.retries_left = any_number(random);
    return state;
}

// Whatever the state, the rules hold, every healthy server is sent a request within one ejection time, and
// the state that is saved then is in range.
TEST(StateRestoredTest, AsksEveryHealthyServerWithinOneEjectionTimeWhateverTheState) {
    ::setenv("RC_PARAMS", "seed=20261201 max_success=300", 0);
    EXPECT_TRUE(rc::check([] {
        Random random(*rc::gen::arbitrary<std::uint64_t>());
        Rig rig(make_settings({make_class(Idempotency::idempotent), make_class(Idempotency::non_idempotent)}),
                random.next());
        rig.handle(Started{});
        rig.handle(StateRestored{any_learned_state(random),
                                 random.below(2) ? any_number(random) : random.uniform() * 20000});
        rig.apply_list(ListKind::snapshot, make_servers(8));
        std::set<ServerId> asked;
        const Millis until = rig.now + 10000 + 500;
        while (rig.now < until) {
            const RequestId id = rig.request(static_cast<std::uint32_t>(random.below(2)));
            if (rig.is_in_flight(id)) {
                asked.insert(rig.last_server(id));
                rig.end(id, Outcome::success, 5);
                rig.requests.erase(id);
            } else {
                rig.advance(5);
            }
        }
        RC_ASSERT(asked.size() == 8U);
        const LearnedState state = rig.balancer.learned_state(rig.now);
        RC_ASSERT(std::isfinite(state.concurrency_limit + state.learned_limit +
                                state.learned_limit_warm_servers + state.completion_rate +
                                state.load_ratio.value));
        rig.finish_all();
        RC_ASSERT(!::testing::Test::HasFailure());
    }));
}

}  // namespace
}  // namespace elmbay::balancer::test
