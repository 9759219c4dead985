// Tests of the number of sidecars by which the decision module divides.
#include "cluster/sibling_estimate.hpp"

#include <gtest/gtest.h>

namespace elmbay::cluster {
namespace {

TEST(SiblingEstimate, StaysBetweenPresentMembersAndConfiguredCount) {
    SiblingEstimate estimate(300);
    MemberCounts counts{300, 90, 0, 210};
    EXPECT_NEAR(estimate.target(counts, View::complete), 300 / (1 + 0.4 * 300 / 90.0), 1e-9);
    EXPECT_EQ(estimate.update(0, counts, View::complete), 300U);  // the estimate decreases slowly
    EXPECT_EQ(estimate.update(SiblingEstimate::kHalfLife, counts, View::complete), 150U);
    EXPECT_EQ(estimate.update(60000, counts, View::complete), 129U);
    EXPECT_EQ(estimate.update(60001, {300, 300, 0, 0}, View::complete), 300U);  // and increases at once
    for (const View view : {View::unknown, View::isolated})
        EXPECT_EQ(estimate.target({300, 1, 299, 0}, view), 300);
    EXPECT_EQ(estimate.target({300, 150, 150, 0}, View::partial), 300);
    EXPECT_EQ(estimate.target({10, 10, 0, 0}, View::complete), 300)
        << "the list of peers is shorter than the configured number";
    EXPECT_NEAR(estimate.target({300, 240, 0, 60}, View::complete), 240, 1e-9);
}

}  // namespace
}  // namespace elmbay::cluster
