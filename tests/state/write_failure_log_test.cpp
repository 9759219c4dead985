// What is said of writes that fail: once when a spell begins, once when it is over.
#include "state/write_failure_log.hpp"

#include <gtest/gtest.h>

namespace elmbay::state {
namespace {

SnapshotWriter::Status sound() { return {}; }
SnapshotWriter::Status failed(const std::string& error) {
    SnapshotWriter::Status status;
    status.last_error = error;
    return status;
}
SnapshotWriter::Status hanging() {
    SnapshotWriter::Status status;
    status.hangs = true;
    return status;
}

TEST(WriteFailureLog, IsSaidOnceWhateverItsReasons) {
    WriteFailureLog spell;
    EXPECT_FALSE(spell.observe(sound()));
    EXPECT_EQ(spell.observe(failed("No space left on device")), "can't be written: No space left on device");
    EXPECT_FALSE(spell.observe(failed("No space left on device")));
    EXPECT_FALSE(spell.observe(failed("Input/output error")));
    EXPECT_FALSE(spell.observe(hanging()));
    EXPECT_FALSE(spell.observe(failed("Input/output error")));
    EXPECT_EQ(spell.observe(sound()), "written again");
    EXPECT_FALSE(spell.observe(sound()));
    EXPECT_EQ(spell.observe(hanging()), "can't be written: the disk hangs");
    EXPECT_EQ(spell.observe(sound()), "written again");
}

TEST(WriteFailureLog, ThatBeginsWithTheStartIsToldByTheStartOnly) {
    WriteFailureLog spell;
    spell.begun(failed("Read-only file system"));
    EXPECT_FALSE(spell.observe(failed("Read-only file system")));
    EXPECT_EQ(spell.observe(sound()), "written again");
}

}  // namespace
}  // namespace elmbay::state
