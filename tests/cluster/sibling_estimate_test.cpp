// The number that the decision module divides by.
#include "cluster/sibling_estimate.hpp"

#include <gtest/gtest.h>

namespace elmbay::cluster {
namespace {

TEST(SiblingEstimate, StaysBetweenPresentMembersAndConfiguredCount) {
    SiblingEstimate estimate(300);
    Headcount count{300, 90, 0, 210};
    EXPECT_NEAR(estimate.target(count, View::whole), 300 / (1 + 0.4 * 300 / 90.0), 1e-9);
    EXPECT_EQ(estimate.update(0, count, View::whole), 300U);  // not at once
    EXPECT_EQ(estimate.update(SiblingEstimate::kHalfLife, count, View::whole), 150U);
    EXPECT_EQ(estimate.update(60000, count, View::whole), 129U);
    EXPECT_EQ(estimate.update(60001, {300, 300, 0, 0}, View::whole), 300U);  // but back at once
    for (const View view : {View::unknown, View::alone})
        EXPECT_EQ(estimate.target({300, 1, 299, 0}, view), 300);
    EXPECT_EQ(estimate.target({300, 150, 150, 0}, View::part), 300);
    EXPECT_EQ(estimate.target({10, 10, 0, 0}, View::whole), 300) << "a list of peers that is too short";
    EXPECT_NEAR(estimate.target({300, 240, 0, 60}, View::whole), 240, 1e-9);
}

}  // namespace
}  // namespace elmbay::cluster
