// Tests the log lines of the sidecar, the limits on their rate, and the quoting of values from outside.
#include "sidecar/log_events.hpp"

#include <gtest/gtest.h>

#include "base/log_line.hpp"

namespace elmbay {
namespace {

cluster::MemberChange change_at(Millis at) {
    cluster::MemberChange change;
    change.at = at;
    change.member_id = 3;
    change.before = cluster::MemberState::suspect;
    change.after = cluster::MemberState::failed;
    change.reason = "no ack";
    return change;
}

TEST(LogValue, EscapesQuotesBackslashesAndControlCharacters) {
    EXPECT_EQ(quoted_log_value("plain words"), R"("plain words")");
    EXPECT_EQ(quoted_log_value("a\"b\\c\nd\x7f"), R"("a\"b\\c\x0ad\x7f")");
}

TEST(MemberChangeLog, NamesMemberStatesAndReason) {
    MemberChangeLog log;
    EXPECT_EQ(log.observe(change_at(5000)),
              "component=cluster event=member_changed member=3 before=suspect after=failed reason=\"no ack\" "
              "rest_suppressed=no");
}

TEST(MemberChangeLog, SuppressesFurtherLinesOfSecondAfterMaximum) {
    MemberChangeLog log;
    for (std::size_t i = 1; i < MemberChangeLog::kMaxPerSecond; ++i) {
        ASSERT_TRUE(log.observe(change_at(5000))->ends_with("rest_suppressed=no")) << i;
    }
    EXPECT_TRUE(log.observe(change_at(5000))->ends_with("rest_suppressed=yes"));
    EXPECT_FALSE(log.observe(change_at(5999)));
    EXPECT_TRUE(log.observe(change_at(6000))->ends_with("rest_suppressed=no"));
}

TEST(SkippedServersLog, LogsOnceInEachInterval) {
    SkippedServersLog log;
    EXPECT_FALSE(log.observe(0, 0));
    EXPECT_EQ(log.observe(100, 10),
              "component=discovery event=servers_skipped skipped=10 max_listed=4096 max_uid_bytes=1024");
    EXPECT_FALSE(log.observe(100 + SkippedServersLog::kMinInterval - 1, 10));
    EXPECT_FALSE(log.observe(100 + SkippedServersLog::kMinInterval, 0));
    EXPECT_TRUE(log.observe(100 + SkippedServersLog::kMinInterval, 1));
}

}  // namespace
}  // namespace elmbay
