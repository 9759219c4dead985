// Tests the log lines of loads and saves: one event per line, and one line each when saves begin to fail and
// when they succeed again.
#include "state/log_events.hpp"

#include <gtest/gtest.h>

namespace elmbay::state {
namespace {

SnapshotWriter::Status healthy_status(std::uint64_t failed_saves = 0) {
    SnapshotWriter::Status status;
    status.failed_saves = failed_saves;
    return status;
}
SnapshotWriter::Status failed_status(std::errc error, std::uint64_t failed_saves) {
    SnapshotWriter::Status status = healthy_status(failed_saves);
    status.last_error = std::make_error_code(error);
    return status;
}
SnapshotWriter::Status hanging_status(std::uint64_t failed_saves) {
    SnapshotWriter::Status status = healthy_status(failed_saves);
    status.hanging = true;
    return status;
}

TEST(WriteFailureLog, LogsConsecutiveFailuresOnceForAllReasons) {
    WriteFailureLog log;
    EXPECT_FALSE(log.observe(healthy_status()));
    EXPECT_EQ(log.observe(failed_status(std::errc::no_space_on_device, 1)),
              "component=state event=write_failed error=\"No space left on device\"");
    EXPECT_FALSE(log.observe(failed_status(std::errc::no_space_on_device, 2)));
    EXPECT_FALSE(log.observe(failed_status(std::errc::io_error, 3)));
    EXPECT_FALSE(log.observe(hanging_status(3)));
    EXPECT_FALSE(log.observe(failed_status(std::errc::io_error, 4)));
    EXPECT_EQ(log.observe(healthy_status(4)), "component=state event=write_recovered failed_saves=4");
    EXPECT_FALSE(log.observe(healthy_status(4)));
    EXPECT_EQ(log.observe(hanging_status(4)),
              "component=state event=write_failed error=\"a write to disk has exceeded its time limit\"");
    EXPECT_EQ(log.observe(healthy_status(4)), "component=state event=write_recovered failed_saves=0");
}

TEST(WriteFailureLog, LogsOnlyRecoveryFromFailureAtStart) {
    WriteFailureLog log;
    log.record_start(failed_status(std::errc::read_only_file_system, 0));
    EXPECT_FALSE(log.observe(failed_status(std::errc::read_only_file_system, 2)));
    EXPECT_EQ(log.observe(healthy_status(2)), "component=state event=write_recovered failed_saves=2");
}

TEST(FormatLoadEvents, FormatsOneLineForEachWarning) {
    EXPECT_TRUE(format_load_events({}, "/d").empty());
    LoadResult result;
    result.warnings.push_back(
        {"elmbay-2.state", StateError::not_a_snapshot, "the file is not an elmbay snapshot"});
    result.warnings.push_back({"elmbay-1.state", StateError::truncated_record, "9 bytes dropped", true});
    result.warnings.push_back({{}, std::make_error_code(std::errc::io_error), "Input/output error"});
    EXPECT_EQ(
        format_load_events(result, "/d"),
        (std::vector<std::string>{
            "component=state event=snapshot_skipped file=\"elmbay-2.state\" "
            "error=\"the file is not an elmbay snapshot\"",
            "component=state event=snapshot_tail_dropped file=\"elmbay-1.state\" error=\"9 bytes dropped\"",
            "component=state event=directory_unreadable directory=\"/d\" error=\"Input/output error\""}));
}

TEST(FormatLoadEvents, ReportsWhetherUnusableDirectoryIsRetried) {
    const auto log_line = [](std::error_code error) {
        return format_load_events({{}, {}, error}, "/d").at(0);
    };
    EXPECT_EQ(log_line(StateError::directory_in_use),
              "component=state event=directory_in_use directory=\"/d\" "
              "error=\"another process holds the lock of this directory\" retried=yes");
    EXPECT_EQ(
        log_line(std::make_error_code(std::errc::no_space_on_device)),
        "component=state event=open_failed directory=\"/d\" error=\"No space left on device\" retried=yes");
    EXPECT_EQ(log_line(StateError::load_timed_out),
              "component=state event=open_failed directory=\"/d\" "
              "error=\"the load from disk timed out\" retried=no");
}

// Text from a file, such as an instance's name, may be written by anyone and must not forge log lines.
TEST(FormatLoadEvents, EscapesTextFromFiles) {
    LoadResult result;
    result.warnings.push_back(
        {"f", StateError::instance_mismatch, "the snapshot belongs to instance 'a\"\n\\b'"});
    EXPECT_EQ(format_load_events(result, "/d").at(0),
              "component=state event=snapshot_skipped file=\"f\" error=\"the snapshot belongs to instance "
              "'a\\\"\\x0a\\\\b'\"");
}

}  // namespace
}  // namespace elmbay::state
