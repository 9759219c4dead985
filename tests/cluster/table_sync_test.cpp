// The transfer of a table by itself: page by page, from one at a time, given up and gone on with.
#include "cluster/table_sync.hpp"

#include <gtest/gtest.h>

#include <cmath>

namespace elmbay::cluster {
namespace {

constexpr Timing kTiming{};
constexpr Millis kTimeout = 400;

TEST(TableSync, RequestsTableOnlyWhileDifferentAndDue) {
    TableSync sync(kTiming, 100);
    EXPECT_FALSE(sync.due(1000));
    EXPECT_TRUE(std::isinf(sync.next_due()));
    sync.note_difference(3);
    EXPECT_EQ(sync.next_due(), 100);
    EXPECT_FALSE(sync.due(99));
    EXPECT_TRUE(sync.due(100));
    sync.postpone(500);
    EXPECT_FALSE(sync.due(499));
    sync.note_equal();
    EXPECT_FALSE(sync.due(500));
}

TEST(TableSync, RequestsPagesInOrderUntilLast) {
    TableSync sync(kTiming, 0);
    sync.note_difference(3);
    sync.start(0, 9, kTimeout);
    EXPECT_TRUE(sync.running());
    const auto first = sync.take_request(0);
    ASSERT_TRUE(first.has_value());
    EXPECT_EQ(first->to, 3U);
    EXPECT_EQ(first->first, 0U);
    EXPECT_FALSE(sync.take_request(0).has_value()) << "once";
    EXPECT_FALSE(sync.expects(2, 9));
    EXPECT_FALSE(sync.expects(3, 8));
    EXPECT_TRUE(sync.expects(3, 9));
    EXPECT_FALSE(sync.page_arrived(10, 20, kTimeout));
    EXPECT_FALSE(sync.take_request(10).has_value()) << "pages are spaced";
    EXPECT_EQ(sync.take_request(10 + kTiming.page_interval)->first, 20U);
    EXPECT_TRUE(sync.page_arrived(70, 5, kTimeout)) << "a page that leads back is the last";
    sync.finish(900);
    EXPECT_FALSE(sync.running());
    EXPECT_FALSE(sync.expects(3, 9));
    sync.note_difference(4);
    EXPECT_EQ(sync.next_due(), 900);
}

TEST(TableSync, ContinuesWithAnotherMemberAfterTimeout) {
    TableSync sync(kTiming, 0);
    sync.note_difference(3);
    sync.start(0, 9, kTimeout);
    sync.take_request(0);
    EXPECT_FALSE(sync.page_arrived(10, 20, kTimeout));
    const Millis gives_up_at = 10 + kTiming.page_interval + kTimeout;
    EXPECT_FALSE(sync.take_timeout(gives_up_at - 1).has_value());
    EXPECT_EQ(sync.take_timeout(gives_up_at), 3U);
    sync.retry_with(gives_up_at, 5);
    ASSERT_TRUE(sync.due(gives_up_at));
    sync.start(gives_up_at, 10, kTimeout);
    const auto request = sync.take_request(gives_up_at);
    EXPECT_EQ(request->to, 5U);
    EXPECT_EQ(request->first, 20U) << "from the page that was not answered";
}

}  // namespace
}  // namespace elmbay::cluster
