// What is logged: one event a line, writes that fail once when a spell begins and once when it is over.
#include "state/log_events.hpp"

#include <gtest/gtest.h>

namespace elmbay::state {
namespace {

SnapshotWriter::Status sound(std::uint64_t failed_saves = 0) {
    SnapshotWriter::Status status;
    status.failed_saves = failed_saves;
    return status;
}
SnapshotWriter::Status failed(std::errc error, std::uint64_t failed_saves) {
    SnapshotWriter::Status status = sound(failed_saves);
    status.last_error = std::make_error_code(error);
    return status;
}
SnapshotWriter::Status hanging(std::uint64_t failed_saves) {
    SnapshotWriter::Status status = sound(failed_saves);
    status.hanging = true;
    return status;
}

TEST(WriteFailureLog, LogsConsecutiveFailuresOnceForAllReasons) {
    WriteFailureLog log;
    EXPECT_FALSE(log.observe(sound()));
    EXPECT_EQ(log.observe(failed(std::errc::no_space_on_device, 1)),
              "component=state event=write_failed error=\"No space left on device\"");
    EXPECT_FALSE(log.observe(failed(std::errc::no_space_on_device, 2)));
    EXPECT_FALSE(log.observe(failed(std::errc::io_error, 3)));
    EXPECT_FALSE(log.observe(hanging(3)));
    EXPECT_FALSE(log.observe(failed(std::errc::io_error, 4)));
    EXPECT_EQ(log.observe(sound(4)), "component=state event=write_recovered failed_saves=4");
    EXPECT_FALSE(log.observe(sound(4)));
    EXPECT_EQ(log.observe(hanging(4)), "component=state event=write_failed error=\"the disk hangs\"");
    EXPECT_EQ(log.observe(sound(4)), "component=state event=write_recovered failed_saves=0");
}

TEST(WriteFailureLog, DoesNotRepeatFailureThatBeganAtStart) {
    WriteFailureLog log;
    log.record_start(failed(std::errc::read_only_file_system, 0));
    EXPECT_FALSE(log.observe(failed(std::errc::read_only_file_system, 2)));
    EXPECT_EQ(log.observe(sound(2)), "component=state event=write_recovered failed_saves=2");
}

TEST(LoadEvents, WritesOneLineForEachNote) {
    EXPECT_TRUE(format_load_events({}, "/d").empty());
    LoadResult result;
    result.notes.push_back({"elmbay-2.state", StateError::not_a_snapshot, "it is no state of an elmbay"});
    result.notes.push_back({"elmbay-1.state", StateError::truncated_record, "9 bytes dropped", true});
    result.notes.push_back({{}, std::make_error_code(std::errc::io_error), "Input/output error"});
    EXPECT_EQ(
        format_load_events(result, "/d"),
        (std::vector<std::string>{
            "component=state event=snapshot_skipped file=\"elmbay-2.state\" "
            "error=\"it is no state of an elmbay\"",
            "component=state event=snapshot_tail_dropped file=\"elmbay-1.state\" error=\"9 bytes dropped\"",
            "component=state event=directory_unreadable directory=\"/d\" error=\"Input/output error\""}));
}

TEST(LoadEvents, SaysWhetherUnusableDirectoryIsRetried) {
    const auto line = [](std::error_code error) { return format_load_events({{}, {}, error}, "/d").at(0); };
    EXPECT_EQ(line(StateError::directory_in_use),
              "component=state event=directory_in_use directory=\"/d\" "
              "error=\"another process keeps its state in this folder\" retried=yes");
    EXPECT_EQ(
        line(std::make_error_code(std::errc::no_space_on_device)),
        "component=state event=open_failed directory=\"/d\" error=\"No space left on device\" retried=yes");
    EXPECT_EQ(line(StateError::load_timed_out),
              "component=state event=open_failed directory=\"/d\" "
              "error=\"the disk has not answered in time\" retried=no");
}

// An instance's name comes from a file that somebody else may have written.
TEST(LoadEvents, EscapesTextThatComesFromAFile) {
    LoadResult result;
    result.notes.push_back({"f", StateError::instance_mismatch, "it is of instance 'a\"\n\\b'"});
    EXPECT_EQ(
        format_load_events(result, "/d").at(0),
        "component=state event=snapshot_skipped file=\"f\" error=\"it is of instance 'a\\\"\\x0a\\\\b'\"");
}

}  // namespace
}  // namespace elmbay::state
