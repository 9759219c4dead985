// Tests of Admission: how many attempts may be in flight, and for which requests.
#include "balancer/admission.hpp"

#include <gtest/gtest.h>

#include "samples.hpp"

namespace elmbay::balancer::test {
namespace {

// Random draws for Admission::may_start_attempt. Any limit above 0 admits the lowest draw; hardly any limit
// below 1 admits the highest.
const auto kLowestDraw = [] { return 0.0; };
const auto kHighestDraw = [] { return 0.999; };

// Returns the number of attempts that may be in flight at once, up to 5000.
std::size_t limit_of(const Admission& admission, Millis now,
                     const RequestClass& request_class = settings_of(1).classes[0], bool is_retry = false,
                     double tenant_share = 1) {
    int in_flight = 0;
    const auto is_admitted = [&] {
        return admission.may_start_attempt(request_class, is_retry, tenant_share, in_flight, now,
                                           kLowestDraw);
    };
    while (in_flight < 5000 && is_admitted()) ++in_flight;
    return static_cast<std::size_t>(in_flight);
}

TEST(AdmissionTest, CeilingIsSustainableConcurrencyAndDecays) {
    Admission admission(settings_of(4));
    admission.set_warm_servers(12);
    EXPECT_EQ(limit_of(admission, kNow), 60U)
        << "no limit learned yet: five times this sidecar's share of four attempts at each server";
    // 20 attempts stay in flight for a long time at a load ratio of 0.2: the ceiling is 20 * 0.55 / 0.2.
    for (int i = 0; i < 5000; ++i) admission.record_latency(0.2, 19, kNow + i * 10);
    EXPECT_NEAR(limit_of(admission, kNow + 50000), 56, 2);
    // After ten hours without a request, everything has decayed except the lowest ceiling.
    EXPECT_NEAR(limit_of(admission, kNow + 50000), 56, 2);
    admission.record_latency(0.2, 0, kNow + 10 * 3600e3);
    EXPECT_NEAR(limit_of(admission, kNow + 10 * 3600e3), 24, 1);
}

TEST(AdmissionTest, LimitGrowsQuicklyOnlyWhileInFullUse) {
    Admission full(settings_of(4));
    Admission idle(settings_of(4));
    for (Admission* admission : {&full, &idle}) {
        admission->set_warm_servers(12);
        for (int i = 0; i < 400; ++i) admission->record_latency(1.5, 30, kNow + i);  // overload
        for (int i = 0; i < 40; ++i) admission->record_latency(0.1, 11, kNow + 60000 + i);
    }
    const std::size_t before = limit_of(full, kNow + 60100);
    for (int i = 0; i < 10; ++i) {
        full.record_latency(0.1, static_cast<int>(limit_of(full, kNow + 60100)) - 1, kNow + 60100);
        idle.record_latency(0.1, 0, kNow + 60100);
    }
    EXPECT_GE(limit_of(full, kNow + 60100), before + 8);
    EXPECT_LE(limit_of(idle, kNow + 60100), before + 4);
}

TEST(AdmissionTest, IsBusyAboveAQuarterOfTheObjective) {
    Admission busy(settings_of(4));
    Admission quiet(settings_of(4));
    for (Admission* admission : {&busy, &quiet}) admission->set_warm_servers(12);
    for (int i = 0; i < 100; ++i) {
        busy.record_latency(0.3, 10, kNow + i);
        quiet.record_latency(0.2, 10, kNow + i);
    }
    EXPECT_TRUE(busy.is_busy());
    EXPECT_FALSE(quiet.is_busy());
}

TEST(AdmissionTest, CeilingShrinksWithTheNumberOfWarmServers) {
    Admission admission(settings_of(4));
    admission.set_warm_servers(12);
    for (int i = 0; i < 5000; ++i) admission.record_latency(0.1, 39, kNow + i * 10);
    const std::size_t all = limit_of(admission, kNow + 50000);
    admission.set_warm_servers(6);
    admission.record_latency(0.1, 19, kNow + 50000);
    EXPECT_NEAR(limit_of(admission, kNow + 50000), all / 2.0, all / 8.0);
}

// Servers that are ejected and restored repeatedly, such as servers that fail fast, keep their capacity. The
// ceiling must not follow their absence.
TEST(AdmissionTest, RepeatedEjectionAndRestorationDoNotLowerTheCeiling) {
    Admission steady(settings_of(4));
    Admission ejecting_and_restoring(settings_of(4));
    for (int i = 0; i < 12000; ++i) {
        const Millis now = kNow + i * 10;
        steady.set_warm_servers(12);
        if (i % 100 == 0) ejecting_and_restoring.set_warm_servers(8);
        ejecting_and_restoring.set_warm_servers(12);
        steady.record_latency(0.1, 39, now);
        ejecting_and_restoring.record_latency(0.1, 39, now);
    }
    const Millis end = kNow + 120000;
    EXPECT_GE(static_cast<double>(limit_of(ejecting_and_restoring, end)),
              0.95 * static_cast<double>(limit_of(steady, end)));
}

TEST(AdmissionTest, LateResponsesLowerLimitToOneAttemptPerWarmServer) {
    Admission admission(settings_of(4));
    admission.set_warm_servers(12);
    for (int i = 0; i < 2000; ++i) admission.record_latency(1.5, 5, kNow + i);
    EXPECT_EQ(limit_of(admission, kNow + 2000), 12U) << "one attempt for each warm server";
}

TEST(AdmissionTest, LimitsByPriorityWeightRetryAndTenantShare) {
    const Settings settings = settings_of(4, {5, 1});
    Admission admission(settings);
    admission.set_warm_servers(12);
    EXPECT_EQ(limit_of(admission, kNow, settings.classes[0]), 60U);
    EXPECT_EQ(limit_of(admission, kNow, settings.classes[1]), 41U)
        << "kCommonShare plus a fifth of the remainder";
    EXPECT_EQ(limit_of(admission, kNow, settings.classes[0], true), 36U);
    EXPECT_EQ(limit_of(admission, kNow, settings.classes[0], false, 0.5), 60U)
        << "the pool is not busy: tenant shares are ignored";
    for (int i = 0; i < 30; ++i) admission.record_latency(0.45, 10, kNow);
    ASSERT_TRUE(admission.is_busy());
    EXPECT_NEAR(limit_of(admission, kNow, settings.classes[0], false, 0.5),
                limit_of(admission, kNow, settings.classes[0]) / 2.0, 1);
}

TEST(AdmissionTest, CircuitBreakerOpensOnLateResponsesAndClosesThroughHalfOpen) {
    const Settings settings = settings_of(1000);
    Admission admission(settings);
    admission.set_warm_servers(4);
    const auto admitted_share = [&](Millis now, bool is_retry = false) {
        double admitted = 0;
        for (int i = 0; i < 1000; ++i) {
            const auto draw = [&] { return i / 1000.0; };
            admitted += admission.may_start_attempt(settings.classes[0], is_retry, 1, 0, now, draw);
        }
        return admitted / 1000;
    };
    admission.record_latency(0.2, 0, kNow);
    admission.record_latency(0.2, 0, kNow + 50);
    admission.record_latency(0.2, 0, kNow + 100);
    admission.record_latency(1.5, 0, kNow + 150);
    EXPECT_EQ(admitted_share(kNow + 150), 1) << "one late response among fast ones may be random";
    for (int i = 0; i < 3; ++i) admission.record_latency(1.5, 0, kNow + 200);
    EXPECT_NEAR(admitted_share(kNow + 200), Admission::kCircuitOpenLimit, 0.002);
    EXPECT_LT(admitted_share(kNow + 200, true), 0.005) << "first tries take precedence over retries";
    EXPECT_NEAR(admitted_share(kNow + 200 + Admission::kCircuitOpenGrowthTime),
                Admission::kCircuitOpenLimit * 2.718, 0.005);
    EXPECT_EQ(admitted_share(kNow + 60000), 1) << "the circuit also closes with time";
    admission.record_latency(0.2, 0, kNow + 300);
    EXPECT_NEAR(admitted_share(kNow + 300), Admission::kCircuitHalfOpenLimit, 0.002);
    admission.record_latency(0.2, 0, kNow + 300);
    EXPECT_EQ(admitted_share(kNow + 300), 1);
}

TEST(AdmissionTest, LimitBelowOneIsAProbability) {
    const Settings settings = settings_of(1000);
    Admission admission(settings);
    admission.set_warm_servers(4);
    for (int i = 0; i < 4; ++i) admission.record_latency(1.5, 0, kNow);
    EXPECT_TRUE(admission.may_start_attempt(settings.classes[0], false, 1, 0, kNow, kLowestDraw));
    EXPECT_FALSE(admission.may_start_attempt(settings.classes[0], false, 1, 0, kNow, kHighestDraw));
    EXPECT_FALSE(admission.may_start_attempt(settings.classes[0], false, 1, 1, kNow, kLowestDraw));
}

}  // namespace
}  // namespace elmbay::balancer::test
