// Tests that the learned state of an earlier run is restored without violating a rule or withholding
// requests from a healthy server.
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

// Sends requests until `bad`, whose attempts all fail, is ejected. Returns the learned state at that time.
LearnedState learned_state_after_ejecting(ServerId bad, ServerId servers, Rig& rig) {
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

// Returns a new run of the sidecar that has received the state of the earlier run and the list.
Rig next_run(const LearnedState& saved_state, Millis age, const std::vector<ServerInfo>& servers,
             ListKind kind = ListKind::snapshot) {
    Rig rig(make_settings(), 7);
    rig.handle(Started{});
    rig.handle(StateRestored{saved_state, age});
    rig.apply_list(kind, servers);
    return rig;
}

// Returns the servers that receive any of the given number of requests, each completed before the next one
// arrives.
std::set<ServerId> servers_used(Rig& rig, int requests, Millis duration = 20) {
    std::set<ServerId> used;
    for (int i = 0; i < requests; ++i) {
        const RequestId id = rig.request();
        if (!rig.is_in_flight(id)) continue;
        used.insert(rig.last_server(id));
        rig.end(id, Outcome::success, duration);
    }
    return used;
}

TEST(StateRestoredTest, EjectedServerStaysEjectedForTheRemainingTime) {
    Rig first(make_settings());
    const LearnedState saved_state = learned_state_after_ejecting(2, 6, first);
    Rig rig = next_run(saved_state, 4000, make_servers(6));
    EXPECT_FALSE(servers_used(rig, 250).contains(2)) << "5 s of the remaining 6 s";
    EXPECT_TRUE(servers_used(rig, 70).contains(2)) << "the probe is sent after the ejection time";
}

TEST(StateRestoredTest, ServerWhoseEjectionIsOverIsProbedAtOnce) {
    Rig first(make_settings());
    const LearnedState saved_state = learned_state_after_ejecting(2, 6, first);
    for (const Millis age : {10000.0, 60000.0, 290000.0}) {
        Rig rig = next_run(saved_state, age, make_servers(6));
        const RequestId probe = rig.request();
        ASSERT_TRUE(rig.is_in_flight(probe));
        EXPECT_EQ(rig.last_server(probe), 2U);
        std::set<ServerId> others;
        for (int i = 0; i < 30; ++i) {
            const RequestId id = rig.request();
            others.insert(rig.last_server(id));
            rig.end(id, Outcome::success, 1);
        }
        EXPECT_FALSE(others.contains(2)) << "only one request is the probe";
        rig.end(probe, Outcome::success);
        std::set<ServerId> used_after_probe;
        for (const RequestId id : rig.burst(12)) used_after_probe.insert(rig.last_server(id));
        EXPECT_TRUE(used_after_probe.contains(2)) << "the server is restored";
    }
}

TEST(StateRestoredTest, IgnoresStateThatIsTooOldOrOfUnknownAge) {
    Rig first(make_settings());
    const LearnedState saved_state = learned_state_after_ejecting(2, 6, first);
    for (const Millis age : {-1.0, -1e9, 300001.0, 5.0 * 24 * 3600 * 1000, kNan, kInf}) {
        Rig rig = next_run(saved_state, age, make_servers(6));
        EXPECT_NE(rig.last_server(rig.request()), 0U);
        const LearnedState state = rig.balancer.learned_state(rig.now);
        for (const LearnedServerState& server : state.servers)
            EXPECT_FALSE(server.ejection_remaining_ms) << age;
        EXPECT_EQ(state.learned_limit, 0) << age;
    }
}

TEST(StateRestoredTest, DoesNotEjectARestartedServer) {
    Rig first(make_settings());
    const LearnedState saved_state = learned_state_after_ejecting(2, 6, first);
    std::vector<ServerInfo> servers = make_servers(6);
    servers[1].online_since = 5000;  // no longer in slow start, but restarted since the state was saved
    Rig rig = next_run(saved_state, 1000, servers);
    EXPECT_TRUE(servers_used(rig, 60).contains(2));
}

TEST(StateRestoredTest, DiscardsServersMissingFromTheFirstSnapshot) {
    Rig first(make_settings());
    const LearnedState saved_state = learned_state_after_ejecting(2, 6, first);
    Rig rig = next_run(saved_state, 1000, {make_servers(6)[0], make_servers(6)[2], make_servers(6)[3]});
    rig.apply_list(ListKind::snapshot, make_servers(6));
    EXPECT_TRUE(servers_used(rig, 60).contains(2))
        << "a server with the same id that is listed later may be another one";
    // A cached list may be old and incomplete, so the state of servers missing from it is kept.
    Rig with_cached_list = next_run(saved_state, 1000, {make_servers(6)[0]}, ListKind::cached);
    with_cached_list.apply_list(ListKind::snapshot, make_servers(6));
    EXPECT_FALSE(servers_used(with_cached_list, 100).contains(2));
}

TEST(StateRestoredTest, KeepsHalfOfTheListedServersInThePool) {
    LearnedState saved_state;
    for (ServerId id = 1; id <= 8; ++id) saved_state.servers.push_back({id, 0, 0, 20, 9000.0, 1});
    Rig rig = next_run(saved_state, 0, make_servers(8));
    EXPECT_EQ(servers_used(rig, 200).size(), 4U);
    Rig single_server = next_run(saved_state, 0, make_servers(1));
    EXPECT_EQ(servers_used(single_server, 3).size(), 1U) << "the only listed server stays in the pool";
}

TEST(StateRestoredTest, RestoresOutcomeWindowAndLetsItDecay) {
    LearnedState saved_state;
    // 18 successes and two failures: the next failure ejects the server.
    saved_state.servers.push_back({1, 0, 0b11111111111111110011, 20, {}, 1});
    const auto failures_until_ejection = [&](Millis age) {
        Rig rig = next_run(saved_state, age, make_servers(4));
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
    EXPECT_GT(failures_until_ejection(250000), 1) << "the restored window has decayed";
}

TEST(StateRestoredTest, GrantsNoNewSlowStartTokensOrRetries) {
    LearnedState saved_state;
    saved_state.servers.push_back({1, 99000, 0, 0, {}, -1});
    saved_state.retries_left = 0;
    const auto tries_until_first_attempt = [&](const LearnedState& state, std::uint64_t seed) {
        Settings settings = make_settings();
        settings.slow_start_duration = 200000;
        Rig rig(settings, seed);
        rig.handle(Started{});
        rig.handle(StateRestored{state, 0});
        rig.apply_list(ListKind::snapshot, {{1, 0, 0, 0, EndpointState::active, 99000}});
        int tries = 0;
        for (; tries < 1900 && !rig.is_in_flight(rig.request(0, 100)); ++tries) {
            rig.advance(100);
            rig.requests.clear();  // all of them have ended; a shorter map keeps the test fast
        }
        return tries;
    };
    int tries_without_state = 0;
    int tries_with_state = 0;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        const int with_saved_state = tries_until_first_attempt(saved_state, seed);
        EXPECT_GE(with_saved_state, tries_until_first_attempt({}, seed))
            << "a new run starts with a random debt, which is smaller";
        tries_without_state += tries_until_first_attempt({}, seed);
        tries_with_state += with_saved_state;
    }
    EXPECT_GT(tries_with_state, 1.2 * tries_without_state);

    const auto attempts_of_failing_request = [&](const LearnedState& state) {
        Rig rig = next_run(state, 0, make_servers(6));
        const RequestId id = rig.request();
        while (rig.is_in_flight(id)) rig.end(id, Outcome::error_response);
        return rig.attempt_count(id);
    };
    EXPECT_EQ(attempts_of_failing_request(saved_state), 1U) << "a fifth of a token does not permit a retry";
    EXPECT_GT(attempts_of_failing_request({}), 1U);
}

TEST(StateRestoredTest, KeepsConcurrencyLimitWhileItsResponsesAreRecent) {
    LearnedState saved_state;
    saved_state.load_ratio = {0.6, 10, 0};
    saved_state.concurrency_limit = 6;
    const auto admitted = [&](Millis age) {
        Rig rig = next_run(saved_state, age, make_servers(12));
        return rig.count_in_flight(rig.burst(200));
    };
    EXPECT_LE(admitted(1000), 7);
    EXPECT_GT(admitted(60000), 12) << "the limit of a new run applies";
}

TEST(StateRestoredTest, IgnoresStateAfterTheFirstList) {
    LearnedState saved_state;
    saved_state.servers.push_back({1, 0, 0, 20, 9000.0, 1});
    Rig rig(make_settings(), 7);
    rig.apply_list(ListKind::snapshot, make_servers(4));
    rig.handle(StateRestored{saved_state, 0});
    rig.apply_list(ListKind::snapshot, make_servers(4));
    EXPECT_TRUE(servers_used(rig, 40).contains(1));
}

TEST(StateRestoredTest, RestoredStateIsSavedAgain) {
    Rig first(make_settings());
    const LearnedState saved_state = learned_state_after_ejecting(2, 6, first);
    Rig rig = next_run(saved_state, 0, make_servers(6));
    rig.now = first.now;
    const LearnedState next_state = next_run(saved_state, 0, make_servers(6)).balancer.learned_state(rig.now);
    ASSERT_EQ(next_state.servers.size(), saved_state.servers.size());
    for (std::size_t i = 0; i < saved_state.servers.size(); ++i) {
        EXPECT_EQ(next_state.servers[i].outcome_count,
                  saved_state.servers[i].ejection_remaining_ms ? 0 : saved_state.servers[i].outcome_count);
        EXPECT_EQ(next_state.servers[i].ejection_remaining_ms.has_value(),
                  saved_state.servers[i].ejection_remaining_ms.has_value());
    }
    EXPECT_GT(saved_state.learned_limit, 0);
    EXPECT_LE(next_state.learned_limit, saved_state.learned_limit);
    EXPECT_GE(next_state.learned_limit, 0.9 * saved_state.learned_limit);
}

double random_number(Random& random) {
    static const double special_values[] = {kNan, kInf, -kInf, -1, 0, 1e300, -1e300, 1e-300, 5, 0.5};
    return random.below(3) ? special_values[random.below(10)]
                           : (random.uniform() - 0.2) * std::pow(10, random.below(7));
}

LearnedState random_learned_state(Random& random) {
    LearnedState state;
    const auto any_mean = [&] {
        return DecayedMean{random_number(random), random_number(random), random_number(random)};
    };
    for (std::size_t i = random.below(16); i > 0; --i) {
        LearnedServerState server;
        server.server = static_cast<std::uint32_t>(random.below(12));
        server.online_since = random.below(2) ? 0 : random_number(random);
        server.outcome_bits = static_cast<std::uint32_t>(random.next());
        server.outcome_count = static_cast<std::uint32_t>(random.below(24));
        if (random.below(2)) server.ejection_remaining_ms = random_number(random);
        server.slow_start_tokens = random_number(random);
        state.servers.push_back(server);
    }
    state.load_ratio = any_mean();
    state.concurrency_limit = random_number(random);
    state.learned_limit = random_number(random);
    state.learned_limit_warm_servers = random_number(random);
    state.completion_rate = random_number(random);
    state.retries_left = random_number(random);
    return state;
}

// For any saved state, the rules hold, every healthy server receives a request within one ejection time, and
// the state that is saved afterwards is in range.
TEST(StateRestoredTest, SendsToEveryHealthyServerWithinOneEjectionTimeForAnyState) {
    ::setenv("RC_PARAMS", "seed=20261201 max_success=300", 0);
    EXPECT_TRUE(rc::check([] {
        Random random(*rc::gen::arbitrary<std::uint64_t>());
        Rig rig(make_settings({make_class(Idempotency::idempotent), make_class(Idempotency::non_idempotent)}),
                random.next());
        rig.handle(Started{});
        rig.handle(StateRestored{random_learned_state(random),
                                 random.below(2) ? random_number(random) : random.uniform() * 20000});
        rig.apply_list(ListKind::snapshot, make_servers(8));
        std::set<ServerId> used;
        const Millis until = rig.now + 10000 + 500;
        while (rig.now < until) {
            const RequestId id = rig.request(static_cast<std::uint32_t>(random.below(2)));
            if (rig.is_in_flight(id)) {
                used.insert(rig.last_server(id));
                rig.end(id, Outcome::success, 5);
                rig.requests.erase(id);
            } else {
                rig.advance(5);
            }
        }
        RC_ASSERT(used.size() == 8U);
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
