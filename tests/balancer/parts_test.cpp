// The parts of the module, each by itself against its header's contract. Every test fails when the rule that
// it names is taken out of its class.
#include <gtest/gtest.h>

#include "balancer/admission.hpp"
#include "balancer/aperture.hpp"
#include "balancer/fairness.hpp"
#include "balancer/pick.hpp"
#include "balancer/request.hpp"
#include "balancer/retry_budget.hpp"

namespace elmbay::balancer::test {
namespace {

constexpr Millis kNow = 1e6;

Settings settings_of(std::uint32_t siblings, std::vector<double> worths = {1}) {
    Settings s;
    for (const double priority_weight : worths) {
        RequestClass c;
        c.idempotency = Idempotency::idempotent;
        c.latency_objective = 400;
        c.priority_weight = priority_weight;
        s.classes.push_back(c);
    }
    s.siblings = siblings;
    s.max_attempts = 4;
    s.slow_start_min_share = 0.2;
    s.slow_start_duration = 10000;
    s.overload_multiple = 2.5;
    return s;
}
Server server_of(ServerId id, std::uint64_t rank = 0) {
    Server s;
    s.info.id = id;
    s.rank = rank;
    return s;
}
const auto surely = [] { return 0.0; };
const auto hardly = [] { return 0.999; };

// ---- Request --------------------------------------------------------------------------------------------

Request request_of(Idempotency idempotency, DedupScope scope = DedupScope::all) {
    Request r;
    r.request_class.idempotency = idempotency;
    r.request_class.dedup_scope = scope;
    r.request_class.dedup_window = 500;
    r.deadline = kNow + 1000;
    return r;
}
Attempt attempt_at(ServerId server, bool in_flight, bool may_have_run) {
    Attempt a;
    a.server = server, a.sent_at = kNow - 100, a.in_flight = in_flight, a.may_have_run = may_have_run;
    return a;
}

TEST(RequestRules, NothingGoesOutAfterItsEndOrDeadline) {
    const Settings settings = settings_of(1);
    const Server s = server_of(1);
    Request r = request_of(Idempotency::idempotent);
    EXPECT_TRUE(r.may_be_sent_to(s, settings, kNow));
    EXPECT_FALSE(r.may_be_sent_to(s, settings, kNow + 1000));
    r.streaming = true;
    EXPECT_FALSE(r.may_be_sent_to(s, settings, kNow));
    r.streaming = false, r.ended = true;
    EXPECT_FALSE(r.may_be_sent_to(s, settings, kNow));
}

TEST(RequestRules, AttemptsAreLimitedAndOneAtATime) {
    Settings settings = settings_of(1);
    const Server s = server_of(2);
    Request r = request_of(Idempotency::idempotent);
    r.attempts.push_back(attempt_at(1, true, true));
    EXPECT_FALSE(r.may_be_sent_to(s, settings, kNow));
    settings.allow_hedging = true;
    EXPECT_TRUE(r.may_be_sent_to(s, settings, kNow));
    r.attempts.assign(settings.max_attempts, attempt_at(1, false, true));
    EXPECT_FALSE(r.may_be_sent_to(s, settings, kNow));
}

TEST(RequestRules, UnsafeIsSentAgainOnlyIfItNeverRan) {
    const Settings settings = settings_of(1);
    Request r = request_of(Idempotency::non_idempotent);
    r.attempts.push_back(attempt_at(1, false, false));
    EXPECT_TRUE(r.may_be_sent_to(server_of(2), settings, kNow));
    EXPECT_TRUE(r.may_be_rejected(kNow));
    r.attempts.push_back(attempt_at(1, false, true));
    EXPECT_FALSE(r.may_be_sent_to(server_of(2), settings, kNow));
    EXPECT_FALSE(r.may_be_rejected(kNow));
}

TEST(RequestRules, KeyedStaysInItsWindowAndScope) {
    const Settings settings = settings_of(1);
    Server other = server_of(2);
    other.info.zone = 1, other.info.cell = 1;
    for (const DedupScope scope : {DedupScope::all, DedupScope::zone, DedupScope::cell}) {
        Request r = request_of(Idempotency::idempotency_key, scope);
        r.attempts.push_back(attempt_at(1, false, true));
        EXPECT_EQ(r.may_be_sent_to(other, settings, kNow), scope == DedupScope::all);
        EXPECT_TRUE(r.may_be_sent_to(server_of(3), settings, kNow)) << "the same zone and cell";
        EXPECT_FALSE(r.may_be_sent_to(server_of(3), settings, kNow + 400)) << "the window is over";
        EXPECT_EQ(r.may_be_rejected(kNow), scope == DedupScope::all);
        EXPECT_FALSE(r.may_be_rejected(kNow + 400));
    }
}

TEST(RequestRules, NothingGoesToAServerThatDrainsOrIsGone) {
    const Settings settings = settings_of(1);
    Request r = request_of(Idempotency::idempotent);
    Server s = server_of(1);
    s.info.state = EndpointState::draining;
    EXPECT_FALSE(r.may_be_sent_to(s, settings, kNow));
    s.info.state = EndpointState::active, s.listed = false;
    EXPECT_FALSE(r.may_be_sent_to(s, settings, kNow));
}

// ---- Outlier ejection -----------------------------------------------------------------------------------

struct Pool {
    OutlierEjection ejection;
    std::vector<Server> servers;
    explicit Pool(std::size_t count) {
        std::vector<Server*> pool;
        for (ServerId i = 1; i <= count; ++i) servers.push_back(server_of(i));
        for (Server& s : servers) s.in_pool = true, pool.push_back(&s);
        ejection.compare_with_pool(pool);
    }
    OutlierEjection::Verdict judge(std::size_t which, Outcome outcome, bool late = false,
                                   std::size_t out = 0) {
        return ejection.record_outcome(servers[which], {outcome, false, late, servers.size(), out}, kNow);
    }
};
using Verdict = OutlierEjection::Verdict;

TEST(EjectionPart, TwoFailuresOfAFewRemoveOneDoesNot) {
    Pool pool(8);
    EXPECT_EQ(pool.judge(0, Outcome::error_response), Verdict::none) << "9 of 10 is not below 0.9";
    EXPECT_EQ(pool.judge(0, Outcome::error_response), Verdict::ejected);
    EXPECT_FALSE(pool.ejection.probe_due(pool.servers[0], kNow + OutlierEjection::kEjectionTime - 1));
    EXPECT_TRUE(pool.ejection.probe_due(pool.servers[0], kNow + OutlierEjection::kEjectionTime));
}

TEST(EjectionPart, WhatSaysNothingIsNotCountedAndLateCountsAsFailure) {
    Pool pool(8);
    for (int i = 0; i < 10; ++i) {
        EXPECT_EQ(pool.judge(0, Outcome::cancelled), Verdict::none);
        EXPECT_EQ(pool.judge(0, Outcome::not_sent), Verdict::none);
    }
    EXPECT_EQ(pool.servers[0].window.filled(), 0U);
    pool.judge(0, Outcome::success, true);
    EXPECT_EQ(pool.judge(0, Outcome::success, true), Verdict::ejected);
}

TEST(EjectionPart, OneIsHeldAgainstTheOthers) {
    Pool pool(8);
    for (int i = 0; i < 20; ++i)
        for (std::size_t s = 0; s < 8; ++s)
            EXPECT_EQ(pool.judge(s, i % 3 == 0 ? Outcome::error_response : Outcome::success), Verdict::none)
                << "all fail alike: nobody goes";
}

// A sidecar cut off from most of its pool: the answers from before, and that most fail alike, excuse nobody.
TEST(EjectionPart, OneThatCantBeConnectedToGoesWhateverItAnsweredBeforeAndWhoeverElseFails) {
    Pool pool(8);
    for (int i = 0; i < 20; ++i)
        for (std::size_t s = 0; s < 8; ++s) pool.judge(s, Outcome::success);
    for (std::size_t s = 0; s < 4; ++s)
        EXPECT_EQ(pool.judge(s, Outcome::connect_failed, false, s), Verdict::none)
            << "the first alone is chance";
    for (std::size_t s = 0; s < 4; ++s)
        EXPECT_EQ(pool.judge(s, Outcome::connect_failed, false, s), Verdict::ejected) << s;
    EXPECT_EQ(pool.judge(4, Outcome::connect_failed, false, 4), Verdict::none);
    EXPECT_EQ(pool.judge(4, Outcome::connect_failed, false, 4), Verdict::none) << "half stays";
    pool.judge(5, Outcome::connect_failed, false, 0);
    pool.judge(5, Outcome::success);
    EXPECT_EQ(pool.judge(5, Outcome::connect_failed, false, 0), Verdict::none) << "it came up in between";
}

TEST(EjectionPart, HalfStaysAndThreeQuartersIfItIsForSlowness) {
    Pool errors(8), slow(8);
    for (int i = 0; i < 4; ++i) {
        errors.judge(0, Outcome::error_response, false, 4);
        slow.judge(0, Outcome::timed_out, false, 2);
    }
    EXPECT_EQ(errors.servers[0].ejection_state, EjectionState::healthy);
    EXPECT_EQ(errors.judge(0, Outcome::error_response, false, 3), Verdict::ejected);
    EXPECT_EQ(slow.servers[0].ejection_state, EjectionState::healthy);
    EXPECT_EQ(slow.judge(0, Outcome::timed_out, false, 1), Verdict::ejected);
}

TEST(EjectionPart, ATrialDecides) {
    Pool pool(8);
    Server& s = pool.servers[0];
    const auto trial = [&](Outcome outcome) {
        OutlierEjection::begin_probe(s);
        return pool.ejection.record_outcome(s, {outcome, true, false, 8, 1}, kNow);
    };
    s.ejection_state = EjectionState::ejected;
    EXPECT_EQ(trial(Outcome::cancelled), Verdict::none);
    EXPECT_EQ(s.ejection_state, EjectionState::ejected) << "undecided: the next is the trial";
    EXPECT_EQ(trial(Outcome::error_response), Verdict::ejected_again);
    EXPECT_EQ(trial(Outcome::success), Verdict::restored);
    EXPECT_EQ(s.window.filled(), 0U);
}

// ---- Cold start -----------------------------------------------------------------------------------------

TEST(SlowStartPart, FeedsTheShareOfItsAgeAndLessWhenItsAnswersAreSlow) {
    const SlowStart cold(settings_of(1));
    const SlowStart::Traffic traffic{0.01, 1, 1e9, 1e-9};  // a warm server completes one in 100 ms
    const auto in_50 = [&](Millis age, double pace) {
        Server s = server_of(1);
        s.process.started_at = kNow - age;
        s.slow_start_tokens_at = kNow - 50;
        return cold.refill_tokens(s, traffic, pace, kNow);
    };
    const double feed = SlowStart::kOverloadMargin * 2.5;
    EXPECT_NEAR(in_50(0, 0), 50 * 0.01 * 0.2 * feed, 1e-9);
    EXPECT_NEAR(in_50(5000, 0), 50 * 0.01 * 0.6 * feed, 1e-9);
    EXPECT_NEAR(in_50(5000, 0.9), 50 * 0.01 * 0.6, 1e-9);
    EXPECT_TRUE(cold.is_warming_up(
        [] {
            Server s = server_of(1);
            s.process.started_at = kNow - 9999;
            return s;
        }(),
        kNow));
}

TEST(SlowStartPart, TheBucketHoldsOneAndBeginsEmpty) {
    const SlowStart cold(settings_of(1));
    Server s = server_of(1);
    s.process.started_at = kNow;
    SlowStart::begin(s, 0.7, kNow);
    EXPECT_LT(s.slow_start_tokens, 0);
    const SlowStart::Traffic traffic{10, 1, 10000, 4};
    EXPECT_DOUBLE_EQ(cold.refill_tokens(s, traffic, 0, kNow + 9000), 1.0);
    SlowStart::take_token(s);
    EXPECT_LT(cold.refill_tokens(s, traffic, 0, kNow + 9000), 1.0);
}

TEST(SlowStartPart, ManySidecarsShareTheTrials) {
    const SlowStart cold(settings_of(1000));
    const auto tokens = [&](double sight) {
        Server s = server_of(1);
        s.process.started_at = kNow - 1;
        s.slow_start_tokens_at = kNow - 1000;
        return cold.refill_tokens(s, {0, sight, 10000, 4}, 0, kNow);
    };
    EXPECT_NEAR(tokens(4), 0.1, 1e-9);
    EXPECT_NEAR(tokens(400), 0.001, 1e-9);
}

// ---- Aperture -------------------------------------------------------------------------------------------

struct Fleet {
    Settings settings;
    SlowStart cold{settings};
    std::vector<Server> servers;
    Aperture aperture;
    Fleet(std::uint32_t siblings, ServerId count)
        : settings(settings_of(siblings)), aperture(siblings, cold) {
        for (ServerId i = 0; i < count; ++i) servers.push_back(server_of(i + 1, 100 - i));
        list();
    }
    void list() {
        std::vector<Server*> all;
        for (Server& s : servers) all.push_back(&s);
        aperture.set_servers(all);
    }
};

TEST(AperturePart, KeepsToTheLowestRanksAndReplacesWhatLeaves) {
    Fleet fleet(1000, 40);
    fleet.aperture.draw_pool(kNow, 0);
    ASSERT_EQ(fleet.aperture.pool().size(), 4U);
    Server* first = fleet.aperture.pool().front();
    EXPECT_EQ(first->info.id, 40U) << "the lowest rank";
    first->ejection_state = EjectionState::ejected;
    fleet.aperture.set_ejected(first, true);
    fleet.aperture.draw_pool(kNow, 0);
    EXPECT_EQ(fleet.aperture.pool().size(), 4U);
    EXPECT_EQ(fleet.aperture.pool().back()->info.id, 36U);
    EXPECT_EQ(fleet.aperture.ejected(), std::vector<Server*>{first});
    first->ejection_state = EjectionState::healthy;
    fleet.aperture.set_ejected(first, false);
    EXPECT_TRUE(fleet.aperture.ejected().empty());
}

TEST(AperturePart, IsSeenByNoMoreSidecarsThanThereAre) {
    Fleet few(4, 14), many(1000, 40);
    for (Fleet* fleet : {&few, &many}) fleet->aperture.draw_pool(kNow, 0);
    EXPECT_EQ(few.aperture.sidecars_per_server(), 4) << "the pool is the whole fleet";
    EXPECT_EQ(many.aperture.sidecars_per_server(), 100) << "a tenth of the fleet each";
}

TEST(AperturePart, WidensWithWhatIsOutAndWhatIsCarried) {
    Fleet fleet(1000, 40);
    fleet.aperture.draw_pool(kNow, 10);
    EXPECT_EQ(fleet.aperture.pool().size(), 20U);
    for (int i = 0; i < 100; ++i) fleet.aperture.record_completion(0, kNow);
    fleet.aperture.draw_pool(kNow, 0);
    EXPECT_EQ(fleet.aperture.pool().size(), 10U) << "20 a second fill ten windows in a backoff";
    EXPECT_TRUE(fleet.aperture.is_stale(kNow, 11));
    EXPECT_FALSE(fleet.aperture.is_stale(kNow, 10));
    EXPECT_TRUE(fleet.aperture.is_stale(kNow + Aperture::kMaxPoolAge, 0));
}

// What large servers carry would fell a small one: the guide for a cold server is what its own kind carries.
TEST(AperturePart, UnlikeServersAreTheGuideForTheirKind) {
    Fleet fleet(4, 6);  // all of them in the pool
    for (std::size_t i = 0; i < 4; ++i) fleet.servers[i].info.machine_type = 1;
    fleet.list();
    fleet.aperture.draw_pool(kNow, 0);
    ASSERT_EQ(fleet.aperture.warm_count(), 6U);
    for (int i = 0; i < 30; ++i) fleet.aperture.record_completion(1, kNow);
    for (int i = 0; i < 60; ++i) fleet.aperture.record_completion(2, kNow);
    const double rate = 1 / Aperture::kRateDecay;
    for (std::size_t i = 4; i < 6; ++i) fleet.servers[i].info.machine_type = 2;
    fleet.aperture.draw_pool(kNow, 0);
    EXPECT_DOUBLE_EQ(fleet.aperture.completion_rate_per_server(1, kNow), 30 / 4.0 * rate);
    EXPECT_DOUBLE_EQ(fleet.aperture.completion_rate_per_server(2, kNow), 60 / 2.0 * rate);
    EXPECT_DOUBLE_EQ(fleet.aperture.completion_rate_per_server(3, kNow),
                     90 / 6.0 * rate * Aperture::kUnknownTypeShare)
        << "never seen";
    // The last small ones go down: those that come back take what they took, not what the large ones do.
    for (std::size_t i = 0; i < 4; ++i) fleet.servers[i].listed = false;
    fleet.list();
    fleet.aperture.draw_pool(kNow, 0);
    const Millis later = kNow + 20000;
    for (int i = 0; i < 300; ++i) fleet.aperture.record_completion(2, later);
    fleet.aperture.draw_pool(later, 0);
    EXPECT_DOUBLE_EQ(fleet.aperture.completion_rate_per_server(1, later), 30 / 4.0 * rate);
    // Where all are of one kind it is what any of them carries, those that went being forgotten as slowly as
    // their work.
    const double carriers = 2 + 4 * std::exp((kNow - later) / Aperture::kRateDecay);
    EXPECT_DOUBLE_EQ(fleet.aperture.completion_rate_per_server(2, later),
                     fleet.aperture.completion_rate(later) / carriers);
}

// Right after most of them have gone, what they carried is not taken for the work of those that are left.
TEST(AperturePart, WhatServersCarriedThatHaveGoneIsNotTheWorkOfTheRest) {
    Fleet fleet(4, 6);
    fleet.aperture.draw_pool(kNow, 0);
    for (int i = 0; i < 60; ++i) fleet.aperture.record_completion(0, kNow);
    const double each = fleet.aperture.completion_rate_per_server(0, kNow);
    EXPECT_DOUBLE_EQ(each, 60 / 6.0 / Aperture::kRateDecay);
    for (std::size_t i = 0; i < 5; ++i) fleet.servers[i].process.started_at = kNow;
    fleet.list();
    fleet.aperture.draw_pool(kNow, 0);
    ASSERT_EQ(fleet.aperture.warm_count(), 1U);
    EXPECT_DOUBLE_EQ(fleet.aperture.completion_rate_per_server(0, kNow), each);
    fleet.servers[5].process.started_at = kNow;
    fleet.list();
    fleet.aperture.draw_pool(kNow, 0);
    ASSERT_EQ(fleet.aperture.warm_count(), 0U);
    EXPECT_DOUBLE_EQ(fleet.aperture.completion_rate_per_server(0, kNow), each);
}

// Nor, where they all start together with the sidecar, what its earlier life remembers of all of them.
TEST(AperturePart, WhatAnEarlierLifeCarriedIsNotTheWorkOfOneServer) {
    Fleet fleet(4, 6);
    fleet.aperture.restore(0.6, kNow);
    for (Server& s : fleet.servers) s.process.started_at = kNow;
    fleet.list();
    fleet.aperture.draw_pool(kNow, 0);
    ASSERT_EQ(fleet.aperture.warm_count(), 0U);
    EXPECT_DOUBLE_EQ(fleet.aperture.completion_rate_per_server(0, kNow), 0.6 / 6);
}

TEST(AperturePart, ColdOnesComeOnTopAndThoseThatDrainNot) {
    Fleet fleet(1000, 40);
    fleet.servers[39].process.started_at = kNow - 1;
    fleet.servers[38].info.state = EndpointState::draining;
    fleet.list();
    fleet.aperture.draw_pool(kNow, 0);
    EXPECT_EQ(fleet.aperture.pool().size(), 5U);
    EXPECT_EQ(fleet.aperture.warm_count(), 4U);
    EXPECT_FALSE(fleet.servers[38].in_pool);
}

// ---- Admission ------------------------------------------------------------------------------------------

std::size_t places(const Admission& a, Millis now, const RequestClass& kind = settings_of(1).classes[0],
                   bool repeat = false, double part = 1) {
    std::size_t out = 0;
    while (out < 5000 && a.may_start_attempt(kind, repeat, part, static_cast<int>(out), now, surely)) ++out;
    return out;
}

TEST(AdmissionPart, TheCeilingIsWhatTheMeanLoadAllows) {
    Admission a(settings_of(4));
    a.set_warm_servers(12);
    EXPECT_EQ(places(a, kNow), 60U) << "unseen: five times its part of four at each server";
    // A long calm with 20 out at 0.2 of the objective: 20 * 0.55 / 0.2.
    for (int i = 0; i < 5000; ++i) a.record_latency(0.2, 19, kNow + i * 10);
    EXPECT_NEAR(places(a, kNow + 50000), 56, 2);
    // A night without a request: all but what is believed of any server fades.
    EXPECT_NEAR(places(a, kNow + 50000), 56, 2);
    a.record_latency(0.2, 0, kNow + 10 * 3600e3);
    EXPECT_NEAR(places(a, kNow + 10 * 3600e3), 24, 1);
}

TEST(AdmissionPart, TheRoomOpensQuicklyOnlyWhileItIsFull) {
    Admission full(settings_of(4)), idle(settings_of(4));
    for (Admission* a : {&full, &idle}) {
        a->set_warm_servers(12);
        for (int i = 0; i < 400; ++i) a->record_latency(1.5, 30, kNow + i);  // a jam
        for (int i = 0; i < 40; ++i) a->record_latency(0.1, 11, kNow + 60000 + i);
    }
    const std::size_t before = places(full, kNow + 60100);
    for (int i = 0; i < 10; ++i) {
        full.record_latency(0.1, static_cast<int>(places(full, kNow + 60100)) - 1, kNow + 60100);
        idle.record_latency(0.1, 0, kNow + 60100);
    }
    EXPECT_GE(places(full, kNow + 60100), before + 8);
    EXPECT_LE(places(idle, kNow + 60100), before + 4);
}

TEST(AdmissionPart, IsCrowdedFromWhereLateAnswersCostMoreThanTheyGain) {
    Admission busy(settings_of(4)), quiet(settings_of(4));
    for (Admission* a : {&busy, &quiet}) a->set_warm_servers(12);
    for (int i = 0; i < 100; ++i)
        busy.record_latency(0.3, 10, kNow + i), quiet.record_latency(0.2, 10, kNow + i);
    EXPECT_TRUE(busy.is_busy());
    EXPECT_FALSE(quiet.is_busy());
}

TEST(AdmissionPart, FewerServersThanTaughtItCarryTheirPart) {
    Admission a(settings_of(4));
    a.set_warm_servers(12);
    for (int i = 0; i < 5000; ++i) a.record_latency(0.1, 39, kNow + i * 10);
    const std::size_t all = places(a, kNow + 50000);
    a.set_warm_servers(6);
    a.record_latency(0.1, 19, kNow + 50000);
    EXPECT_NEAR(places(a, kNow + 50000), all / 2.0, all / 8.0);
}

// Servers that are removed and restored all the time, as those that fail fast are, carry as much as ever.
TEST(AdmissionPart, ServersThatComeAndGoTeachNoSmallerCeiling) {
    Admission steady(settings_of(4)), coming_and_going(settings_of(4));
    for (int i = 0; i < 12000; ++i) {
        const Millis now = kNow + i * 10;
        steady.set_warm_servers(12);
        if (i % 100 == 0) coming_and_going.set_warm_servers(8);
        coming_and_going.set_warm_servers(12);
        steady.record_latency(0.1, 39, now);
        coming_and_going.record_latency(0.1, 39, now);
    }
    const Millis end = kNow + 120000;
    EXPECT_GE(static_cast<double>(places(coming_and_going, end)),
              0.95 * static_cast<double>(places(steady, end)));
}

TEST(AdmissionPart, LateAnswersShrinkItToTheFloorAndNotBelow) {
    Admission a(settings_of(4));
    a.set_warm_servers(12);
    for (int i = 0; i < 2000; ++i) a.record_latency(1.5, 5, kNow + i);
    EXPECT_EQ(places(a, kNow + 2000), 12U) << "one for each warm server";
}

TEST(AdmissionPart, WorthAndRepeatsAndTenantsHaveTheirPartOfTheRoom) {
    Settings s = settings_of(4, {5, 1});
    Admission a(s);
    a.set_warm_servers(12);
    EXPECT_EQ(places(a, kNow, s.classes[0]), 60U);
    EXPECT_EQ(places(a, kNow, s.classes[1]), 41U) << "0.6 and a fifth of 0.4";
    EXPECT_EQ(places(a, kNow, s.classes[0], true), 36U);
    EXPECT_EQ(places(a, kNow, s.classes[0], false, 0.5), 60U) << "no crowd: tenants are not looked at";
    for (int i = 0; i < 30; ++i) a.record_latency(0.45, 10, kNow);
    ASSERT_TRUE(a.is_busy());
    EXPECT_NEAR(places(a, kNow, s.classes[0], false, 0.5), places(a, kNow, s.classes[0]) / 2.0, 1);
}

TEST(AdmissionPart, ALightSidecarIsABreaker) {
    Settings s = settings_of(1000);
    Admission a(s);
    a.set_warm_servers(4);
    const auto open = [&](Millis now, bool repeat = false) {  // the share of requests that go out
        double share = 0;
        for (int i = 0; i < 1000; ++i)
            share += a.may_start_attempt(s.classes[0], repeat, 1, 0, now, [&] { return i / 1000.0; });
        return share / 1000;
    };
    a.record_latency(0.2, 0, kNow);
    a.record_latency(0.2, 0, kNow + 50);
    a.record_latency(0.2, 0, kNow + 100);
    a.record_latency(1.5, 0, kNow + 150);
    EXPECT_EQ(open(kNow + 150), 1) << "one late among quick ones is chance";
    for (int i = 0; i < 3; ++i) a.record_latency(1.5, 0, kNow + 200);
    EXPECT_NEAR(open(kNow + 200), Admission::kCircuitOpenLimit, 0.002);
    EXPECT_LT(open(kNow + 200, true), 0.005) << "each first try stands for several repeats";
    EXPECT_NEAR(open(kNow + 200 + Admission::kCircuitOpenGrowth), Admission::kCircuitOpenLimit * 2.718,
                0.005);
    EXPECT_EQ(open(kNow + 60000), 1) << "time opens it, too";
    a.record_latency(0.2, 0, kNow + 300);
    EXPECT_NEAR(open(kNow + 300), Admission::kCircuitHalfOpenLimit, 0.002);
    a.record_latency(0.2, 0, kNow + 300);
    EXPECT_EQ(open(kNow + 300), 1);
}

TEST(AdmissionPart, LessThanOneAttemptIsAChance) {
    Settings s = settings_of(1000);
    Admission a(s);
    a.set_warm_servers(4);
    for (int i = 0; i < 4; ++i) a.record_latency(1.5, 0, kNow);
    EXPECT_TRUE(a.may_start_attempt(s.classes[0], false, 1, 0, kNow, surely));
    EXPECT_FALSE(a.may_start_attempt(s.classes[0], false, 1, 0, kNow, hardly));
    EXPECT_FALSE(a.may_start_attempt(s.classes[0], false, 1, 1, kNow, surely));
}

// ---- The small ones -------------------------------------------------------------------------------------

TEST(RetryBudgetPart, AFifthOfTheRequestsInTheLongRun) {
    RetryBudget budget;
    int burst = 0;
    for (; budget.may_retry(); ++burst) budget.take_retry();
    EXPECT_EQ(burst, 10);
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.record_request();
        if (budget.may_retry()) budget.take_retry(), ++retries;
    }
    EXPECT_NEAR(retries, 200, 1);
}

TEST(FairnessPart, WhoSendsBeyondItsQuotaHasTheSmallerPart) {
    Fairness fair({{10}, {10}});
    double greedy = 1, modest = 1;
    for (int i = 0; i < 600; ++i)
        (i % 6 == 0 ? modest : greedy) = fair.record_arrival(i % 6 == 0 ? 1 : 0, kNow + i);
    EXPECT_NEAR(greedy, 0.6, 0.05);
    EXPECT_EQ(modest, 1);
    EXPECT_EQ(fair.record_arrival({}, kNow), 1);
    EXPECT_EQ(fair.record_arrival(7, kNow), 1) << "out of range: nobody's";
}

TEST(PacePart, OwnAnswersCountMoreTheMoreThereAre) {
    LatencyEstimate latency;
    Server own = server_of(1), none = server_of(2);
    latency.set_machine_type(own), latency.set_machine_type(none);
    for (int i = 0; i < 200; ++i) {
        Server kin = server_of(3);
        latency.set_machine_type(kin);
        latency.record(kin, 0.8, false, kNow);
    }
    EXPECT_NEAR(latency.latency_ratio(none, kNow), 0.8, 0.01);
    for (int i = 0; i < 10; ++i) latency.record(own, 0.1, true, kNow);  // cold: says nothing of its kind
    EXPECT_NEAR(latency.latency_ratio(own, kNow), (10 * 0.1 + 2 * 0.8) / 12, 0.01);
    EXPECT_NEAR(latency.latency_ratio(none, kNow), 0.8, 0.01);
}

struct Choice {
    Settings settings = settings_of(1);
    Random random{1};
    LatencyEstimate latency;
    std::vector<Server> servers;
    std::vector<Server*> pool;
    explicit Choice(ServerId count, double fee = 0) {
        settings.costs.cross_zone = fee;
        settings.my_zone = 0;
        for (ServerId i = 1; i <= count; ++i) servers.push_back(server_of(i));
        for (Server& s : servers)
            s.info.zone = (s.info.id - 1) % 2, s.info.machine_type = s.info.id, latency.set_machine_type(s),
            pool.push_back(&s);
    }
    std::map<ServerId, int> of(int times, const Request& r = {}, Pick::LoadLevel crowd = {0.1, false, 1}) {
        Pick pick(settings, random, latency);
        std::map<ServerId, int> count;
        for (int i = 0; i < times; ++i)
            if (const Server* s = pick.choose(pool, r, crowd, kNow, [](Server&) { return true; }))
                ++count[s->info.id];
        return count;
    }
};

TEST(PickPart, OfTwoTheLessBusyThenTheQuicker) {
    Choice choice(2);
    choice.servers[0].in_flight = 1;
    EXPECT_EQ(choice.of(50)[2], 50);
    choice.servers[0].in_flight = 0;
    for (int i = 0; i < 5; ++i) choice.latency.record(choice.servers[0], 0.9, false, kNow);
    EXPECT_EQ(choice.of(50)[2], 50);
}

// With thin traffic nothing is out at most servers: what is drawn decides, and no size may get more than its
// part, small or large.
TEST(PickPart, IdleServersGetTheirPartBySize) {
    Choice choice(9);
    for (Server& s : choice.servers) s.info.weight = s.info.id <= 3 ? 1 : s.info.id <= 6 ? 4 : 16;
    std::map<double, int> by_size;
    for (const auto& [id, count] : choice.of(6300)) by_size[choice.servers[id - 1].info.weight] += count;
    EXPECT_NEAR(by_size[1], 300, 60) << "drawn alike it would be 525";
    EXPECT_NEAR(by_size[4], 1200, 150);
    EXPECT_NEAR(by_size[16], 4800, 200) << "if the larger always won it would be 5,900";
}

TEST(PickPart, AFullSmallServerGivesWayToALargeOne) {
    Choice choice(2);
    choice.servers[0].info.weight = 1, choice.servers[0].in_flight = 1;
    choice.servers[1].info.weight = 4, choice.servers[1].in_flight = 3;
    EXPECT_EQ(choice.of(50)[2], 50) << "3 of 4 is less than 1 of 1";
    choice.servers[1].in_flight = 5;
    EXPECT_EQ(choice.of(50)[1], 50);
}

TEST(PickPart, WhatWasTriedComesLast) {
    Choice choice(3);
    Request r;
    r.attempts.push_back(attempt_at(1, false, false));
    EXPECT_EQ(choice.of(50, r).count(1), 0U);
    r.attempts.push_back(attempt_at(2, false, false));
    r.attempts.push_back(attempt_at(3, false, false));
    EXPECT_GT(choice.of(50, r).count(1), 0U) << "when all have been";
}

TEST(PickPart, TheNearerWinsTiesAndOneMoreWhereTheFeeIsHigh) {
    Choice choice(2, 0.02);
    EXPECT_EQ(choice.of(50)[1], 50);
    choice.servers[0].in_flight = 1;
    EXPECT_EQ(choice.of(50)[1], 50) << "the fee is more than the chance of a late answer";
    EXPECT_EQ(choice.of(50, {}, {0.3, false, 1})[2], 50) << "and now less";
    choice.servers[0].in_flight = 0;
    EXPECT_GT(choice.of(50, {}, {0.9, true, 1})[2], 5) << "in a crowd zones don't matter";
}

}  // namespace
}  // namespace elmbay::balancer::test
