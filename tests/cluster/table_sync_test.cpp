// Tests of TableSync: pages in order, from one member at a time, and continuation after a timeout.
#include "cluster/table_sync.hpp"

#include <gtest/gtest.h>

#include <cmath>

namespace elmbay::cluster {
namespace {

constexpr Timing kTiming{};
constexpr Millis kTimeout = 400;

TEST(TableSync, RequestsTableOnlyWhileDifferentAndDue) {
    TableSync sync(kTiming, 100);
    EXPECT_FALSE(sync.is_due(1000));
    EXPECT_TRUE(std::isinf(sync.next_due()));
    sync.record_difference(3);
    EXPECT_EQ(sync.next_due(), 100);
    EXPECT_FALSE(sync.is_due(99));
    EXPECT_TRUE(sync.is_due(100));
    sync.postpone(500);
    EXPECT_FALSE(sync.is_due(499));
    sync.record_equal();
    EXPECT_FALSE(sync.is_due(500));
}

TEST(TableSync, RequestsPagesInOrderUntilLast) {
    TableSync sync(kTiming, 0);
    sync.record_difference(3);
    sync.start(0, 9, kTimeout);
    EXPECT_TRUE(sync.running());
    const auto first = sync.take_request(0);
    ASSERT_TRUE(first.has_value());
    EXPECT_EQ(first->to, 3U);
    EXPECT_EQ(first->first, 0U);
    EXPECT_FALSE(sync.take_request(0).has_value()) << "a request is returned once";
    EXPECT_FALSE(sync.expects(2, 9));
    EXPECT_FALSE(sync.expects(3, 8));
    EXPECT_TRUE(sync.expects(3, 9));
    EXPECT_FALSE(sync.on_page(10, 20, kTimeout));
    EXPECT_FALSE(sync.take_request(10).has_value()) << "the next request waits for page_interval";
    EXPECT_EQ(sync.take_request(10 + kTiming.page_interval)->first, 20U);
    EXPECT_TRUE(sync.on_page(70, 5, kTimeout))
        << "a next page that does not continue after this one ends the transfer";
    sync.finish(900);
    EXPECT_FALSE(sync.running());
    EXPECT_FALSE(sync.expects(3, 9));
    sync.record_difference(4);
    EXPECT_EQ(sync.next_due(), 900);
}

TEST(TableSync, ContinuesWithAnotherMemberAfterTimeout) {
    TableSync sync(kTiming, 0);
    sync.record_difference(3);
    sync.start(0, 9, kTimeout);
    sync.take_request(0);
    EXPECT_FALSE(sync.on_page(10, 20, kTimeout));
    const Millis times_out_at = 10 + kTiming.page_interval + kTimeout;
    EXPECT_FALSE(sync.take_timeout(times_out_at - 1).has_value());
    EXPECT_EQ(sync.take_timeout(times_out_at), 3U);
    sync.retry_with(times_out_at, 5);
    ASSERT_TRUE(sync.is_due(times_out_at));
    sync.start(times_out_at, 10, kTimeout);
    const auto request = sync.take_request(times_out_at);
    EXPECT_EQ(request->to, 5U);
    EXPECT_EQ(request->first, 20U) << "the transfer continues with the page that was not answered";
}

}  // namespace
}  // namespace elmbay::cluster
