// Tests of RetryBudget and Fairness.
#include <gtest/gtest.h>

#include "balancer/fairness.hpp"
#include "balancer/retry_budget.hpp"
#include "samples.hpp"

namespace elmbay::balancer::test {
namespace {

TEST(RetryBudgetTest, AllowsOneRetryForFiveRequestsAfterABurst) {
    RetryBudget budget;
    int burst = 0;
    for (; budget.may_retry(); ++burst) budget.take_retry();
    EXPECT_EQ(burst, 10);
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.record_request();
        if (!budget.may_retry()) continue;
        budget.take_retry();
        ++retries;
    }
    EXPECT_NEAR(retries, 200, 1);
}

TEST(FairnessTest, TenantBeyondItsQuotaGetsSmallerShare) {
    Fairness fairness({{10}, {10}});
    double greedy = 1;
    double modest = 1;
    for (int i = 0; i < 600; ++i) {  // five sixths of the arrivals belong to the first tenant
        const bool is_modest = i % 6 == 0;
        const double share = fairness.record_arrival(is_modest ? 1 : 0, kNow + i);
        (is_modest ? modest : greedy) = share;
    }
    EXPECT_NEAR(greedy, 0.6, 0.05);
    EXPECT_EQ(modest, 1);
    EXPECT_EQ(fairness.record_arrival({}, kNow), 1);
    EXPECT_EQ(fairness.record_arrival(7, kNow), 1)
        << "index out of range: treated as a request without a tenant";
}

}  // namespace
}  // namespace elmbay::balancer::test
