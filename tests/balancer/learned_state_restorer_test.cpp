// What an earlier life had learned: believed with care, never at the price of a rule or of a healthy server.
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

// Runs requests until one is removed; gives what is known then.
LearnedState of_a_life_with_a_bad(ServerId bad, ServerId servers, Rig& rig) {
    rig.give(Started{});
    rig.list(ListKind::snapshot, make_servers(servers));
    for (int i = 0; i < 400 && rig.removals() == 0; ++i) {
        const RequestId id = rig.request();
        while (rig.out(id))
            rig.end(id, rig.where(id) == bad ? Outcome::error_response : Outcome::success, 20);
    }
    EXPECT_EQ(rig.removals(), 1);
    return rig.balancer.learned_state(rig.now);
}

Rig next_life(const LearnedState& known, Millis age, const std::vector<ServerInfo>& servers,
              ListKind kind = ListKind::snapshot) {
    Rig rig(make_settings(), 7);
    rig.give(Started{});
    rig.give(StateRestored{known, age});
    rig.list(kind, servers);
    return rig;
}

// Servers that get one of so many requests, each answered well before the next.
std::set<ServerId> used(Rig& rig, int requests, Millis took = 20) {
    std::set<ServerId> who;
    for (int i = 0; i < requests; ++i) {
        const RequestId id = rig.request();
        if (!rig.out(id)) continue;
        who.insert(rig.where(id));
        rig.end(id, Outcome::success, took);
    }
    return who;
}

TEST(StateRestored, ARemovedServerStaysOutForWhatIsLeftOfItsBackoff) {
    Rig first(make_settings());
    const LearnedState known = of_a_life_with_a_bad(2, 6, first);
    Rig rig = next_life(known, 4000, make_servers(6));
    EXPECT_FALSE(used(rig, 250).contains(2)) << "5 s of the 6 that are left";
    EXPECT_TRUE(used(rig, 70).contains(2)) << "then its trial";
}

TEST(StateRestored, OneWhoseBackoffIsOverIsOnTrialAtOnce) {
    Rig first(make_settings());
    const LearnedState known = of_a_life_with_a_bad(2, 6, first);
    for (const Millis age : {10000.0, 60000.0, 290000.0}) {
        Rig rig = next_life(known, age, make_servers(6));
        const RequestId trial = rig.request();
        ASSERT_TRUE(rig.out(trial));
        EXPECT_EQ(rig.where(trial), 2U);
        std::set<ServerId> others;
        for (int i = 0; i < 30; ++i) {
            const RequestId id = rig.request();
            others.insert(rig.where(id));
            rig.end(id, Outcome::success, 1);
        }
        EXPECT_FALSE(others.contains(2)) << "one request is its trial";
        rig.end(trial, Outcome::success);
        std::set<ServerId> again;
        for (const RequestId id : rig.burst(12)) again.insert(rig.where(id));
        EXPECT_TRUE(again.contains(2)) << "restored";
    }
}

TEST(StateRestored, AnOlderOrUndatedMemoryIsNone) {
    Rig first(make_settings());
    const LearnedState known = of_a_life_with_a_bad(2, 6, first);
    for (const Millis age : {-1.0, -1e9, 300001.0, 5.0 * 24 * 3600 * 1000, kNan, kInf}) {
        Rig rig = next_life(known, age, make_servers(6));
        EXPECT_NE(rig.where(rig.request()), 0U);
        const auto k = rig.balancer.learned_state(rig.now);
        for (const LearnedServerState& s : k.servers) EXPECT_FALSE(s.ejection_remaining_ms) << age;
        EXPECT_EQ(k.learned_limit, 0) << age;
    }
}

TEST(StateRestored, AnotherProcessUnderTheNameIsNotTheOneThatFailed) {
    Rig first(make_settings());
    const LearnedState known = of_a_life_with_a_bad(2, 6, first);
    std::vector<ServerInfo> servers = make_servers(6);
    servers[1].online_since = 5000;  // long warm, but started since
    Rig rig = next_life(known, 1000, servers);
    EXPECT_TRUE(used(rig, 60).contains(2));
}

TEST(StateRestored, WhatTheFirstWholeListDoesNotNameIsForgotten) {
    Rig first(make_settings());
    const LearnedState known = of_a_life_with_a_bad(2, 6, first);
    Rig rig = next_life(known, 1000, {make_servers(6)[0], make_servers(6)[2], make_servers(6)[3]});
    rig.list(ListKind::snapshot, make_servers(6));
    EXPECT_TRUE(used(rig, 60).contains(2))
        << "a server of that number came later: who knows whether it is the same";
    // A saved list may be old and short: what it does not name is waited for.
    Rig saved = next_life(known, 1000, {make_servers(6)[0]}, ListKind::cached);
    saved.list(ListKind::snapshot, make_servers(6));
    EXPECT_FALSE(used(saved, 100).contains(2));
}

TEST(StateRestored, HalfOfTheListStaysWhateverItSays) {
    LearnedState known;
    for (ServerId id = 1; id <= 8; ++id) known.servers.push_back({id, 0, 0, 20, 9000.0, 1});
    Rig rig = next_life(known, 0, make_servers(8));
    EXPECT_EQ(used(rig, 200).size(), 4U);
    Rig shrunk = next_life(known, 0, make_servers(1));
    EXPECT_EQ(used(shrunk, 3).size(), 1U) << "the only one there is";
}

TEST(StateRestored, AFailingWindowGoesOnWhereItWas) {
    LearnedState known;
    // Nine successes and two failures: one more of a full window's worth and it goes.
    known.servers.push_back({1, 0, 0b11111111111111110011, 20, {}, 1});
    const auto removed_after = [&](Millis age) {
        Rig rig = next_life(known, age, make_servers(4));
        int failed = 0;
        for (int i = 0; i < 400 && rig.removals() == 0; ++i) {
            const RequestId id = rig.request();
            failed += rig.where(id) == 1;
            while (rig.out(id))
                rig.end(id, rig.where(id) == 1 ? Outcome::error_response : Outcome::success, 1);
        }
        return failed;
    };
    EXPECT_EQ(removed_after(0), 1);
    EXPECT_GT(removed_after(250000), 1) << "it has faded";
}

TEST(StateRestored, ColdTokensAndRetriesAreNotGivenAnew) {
    LearnedState known;
    known.servers.push_back({1, 99000, 0, 0, {}, -1});
    known.retries_left = 0;
    const auto first_send = [&](const LearnedState& k, std::uint64_t seed) {
        Settings settings = make_settings();
        settings.slow_start_duration = 200000;
        Rig rig(settings, seed);
        rig.give(Started{});
        rig.give(StateRestored{k, 0});
        rig.list(ListKind::snapshot, {{1, 0, 0, 0, EndpointState::active, 99000}});
        int tries = 0;
        for (; tries < 1900 && !rig.out(rig.request(0, 100)); ++tries) {
            rig.pass(100);
            rig.requests.clear();  // answered, and long to look through
        }
        return tries;
    };
    int fresh = 0, remembered = 0;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        const int mine = first_send(known, seed);
        EXPECT_GE(mine, first_send({}, seed)) << "a new one owes less, by chance";
        fresh += first_send({}, seed), remembered += mine;
    }
    EXPECT_GT(remembered, 1.2 * fresh);

    const auto sends_of_a_failing = [&](const LearnedState& k) {
        Rig rig = next_life(k, 0, make_servers(6));
        const RequestId id = rig.request();
        while (rig.out(id)) rig.end(id, Outcome::error_response);
        return rig.sends(id);
    };
    EXPECT_EQ(sends_of_a_failing(known), 1U) << "a fifth of a retry is not one";
    EXPECT_GT(sends_of_a_failing({}), 1U);
}

TEST(StateRestored, ARestartInARushKeepsTheRoomForAsLongAsItsAnswersCount) {
    LearnedState known;
    known.load_ratio = {0.6, 10, 0};
    known.concurrency_limit = 6;
    const auto admitted = [&](Millis age) {
        Rig rig = next_life(known, age, make_servers(12));
        return rig.still_out(rig.burst(200));
    };
    EXPECT_LE(admitted(1000), 7);
    EXPECT_GT(admitted(60000), 12) << "as a new one";
}

TEST(StateRestored, TooLateAWordIsNone) {
    LearnedState known;
    known.servers.push_back({1, 0, 0, 20, 9000.0, 1});
    Rig rig(make_settings(), 7);
    rig.list(ListKind::snapshot, make_servers(4));
    rig.give(StateRestored{known, 0});
    rig.list(ListKind::snapshot, make_servers(4));
    EXPECT_TRUE(used(rig, 40).contains(1));
}

TEST(StateRestored, KnowledgeGoesRound) {
    Rig first(make_settings());
    const LearnedState known = of_a_life_with_a_bad(2, 6, first);
    Rig rig = next_life(known, 0, make_servers(6));
    rig.now = first.now;
    const LearnedState again = next_life(known, 0, make_servers(6)).balancer.learned_state(rig.now);
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

double any_figure(Random& random) {
    static const double odd[] = {kNan, kInf, -kInf, -1, 0, 1e300, -1e300, 1e-300, 5, 0.5};
    return random.below(3) ? odd[random.below(10)] : (random.unit() - 0.2) * std::pow(10, random.below(7));
}

LearnedState any_knowledge(Random& random) {
    LearnedState k;
    const auto fading = [&] {
        return DecayedMean{any_figure(random), any_figure(random), any_figure(random)};
    };
    for (std::size_t i = random.below(16); i > 0; --i) {
        LearnedServerState s;
        s.server = static_cast<std::uint32_t>(random.below(12));
        s.online_since = random.below(2) ? 0 : any_figure(random);
        s.outcome_bits = static_cast<std::uint32_t>(random.next());
        s.outcome_count = static_cast<std::uint32_t>(random.below(24));
        if (random.below(2)) s.ejection_remaining_ms = any_figure(random);
        s.slow_start_tokens = any_figure(random);
        k.servers.push_back(s);
    }
    k.load_ratio = fading();
    k.concurrency_limit = any_figure(random), k.learned_limit = any_figure(random),
    k.servers_behind_learned_limit = any_figure(random);
    k.completion_rate = any_figure(random), k.retries_left = any_figure(random);
    return k;
}

// Whatever it is told, rules hold, every healthy server is asked within a backoff, and what it knows then is
// sound.
TEST(StateRestored, WhateverIsRememberedEveryHealthyServerIsAskedWithinABackoff) {
    ::setenv("RC_PARAMS", "seed=20261201 max_success=300", 0);
    EXPECT_TRUE(rc::check([] {
        Random random(*rc::gen::arbitrary<std::uint64_t>());
        Rig rig(make_settings({make_class(Idempotency::idempotent), make_class(Idempotency::non_idempotent)}),
                random.next());
        rig.give(Started{});
        rig.give(StateRestored{any_knowledge(random),
                               random.below(2) ? any_figure(random) : random.unit() * 20000});
        rig.list(ListKind::snapshot, make_servers(8));
        std::set<ServerId> asked;
        const Millis until = rig.now + 10000 + 500;
        while (rig.now < until) {
            const RequestId id = rig.request(static_cast<std::uint32_t>(random.below(2)));
            if (rig.out(id)) {
                asked.insert(rig.where(id));
                rig.end(id, Outcome::success, 5);
                rig.requests.erase(id);
            } else {
                rig.pass(5);
            }
        }
        RC_ASSERT(asked.size() == 8U);
        const LearnedState k = rig.balancer.learned_state(rig.now);
        RC_ASSERT(std::isfinite(k.concurrency_limit + k.learned_limit + k.servers_behind_learned_limit +
                                k.completion_rate + k.load_ratio.value));
        rig.settle();
        RC_ASSERT(!::testing::Test::HasFailure());
    }));
}

}  // namespace
}  // namespace elmbay::balancer::test
