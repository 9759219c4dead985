// Tests that SnapshotWriter does not block its callers on a hanging disk longer than their timeouts.
#include "state/snapshot_writer.hpp"

#include <gtest/gtest.h>

#include <condition_variable>
#include <mutex>
#include <thread>

#include "faulty_file_system.hpp"
#include "load_result_text.hpp"
#include "samples.hpp"

namespace elmbay::state {
namespace {

using test::FaultyFileSystem;
using test::make_snapshot;
using test::round_of;

constexpr std::chrono::milliseconds kLongTimeout{20000}, kShortTimeout{20};

// A file system whose sync() or lock() blocks until the test releases it.
class HangingFileSystem : public FaultyFileSystem {
public:
    void sync(Handle file, std::error_code& error) override {
        block_while(hang_syncs);
        FaultyFileSystem::sync(file, error);
    }
    Handle lock(const std::string& path, std::error_code& error) override {
        block_while(hang_lock);
        return FaultyFileSystem::lock(path, error);
    }
    void set_hanging(bool& target, bool hanging) {
        const std::scoped_lock guard(mutex_);
        target = hanging;
        changed_.notify_all();
    }
    void wait_for_blocked_call() {
        std::unique_lock guard(mutex_);
        changed_.wait(guard, [&] { return blocked_calls_ > 0; });
    }
    bool hang_syncs = false, hang_lock = false;

private:
    void block_while(const bool& condition) {
        std::unique_lock guard(mutex_);
        ++blocked_calls_;
        changed_.notify_all();
        changed_.wait(guard, [&] { return !condition; });
        --blocked_calls_;
    }
    std::mutex mutex_;
    std::condition_variable changed_;
    int blocked_calls_ = 0;
};

TEST(SnapshotWriter, WritesLastSnapshotBeforeStop) {
    FaultyFileSystem files;
    {
        SnapshotWriter writer(files, "state", "n-1");
        EXPECT_FALSE(writer.start(kLongTimeout).snapshot);
        for (int round = 1; round <= 50; ++round) writer.post(make_snapshot(round));
        EXPECT_TRUE(writer.stop(kLongTimeout));
        const auto status = writer.status();
        EXPECT_EQ(status.saves + status.superseded, 50U);
        EXPECT_GE(status.saves, 1U);
        writer.post(make_snapshot(99));
    }
    files.locked.clear();
    SnapshotWriter second(files, "state", "n-1");
    const auto loaded = second.start(kLongTimeout);
    ASSERT_TRUE(loaded.snapshot) << test::describe_load(loaded);
    EXPECT_EQ(round_of(*loaded.snapshot), 50);
    EXPECT_TRUE(second.stop(kLongTimeout));
}

TEST(SnapshotWriter, PostDoesNotBlockOnHangingDisk) {
    HangingFileSystem files;
    SnapshotWriter writer(files, "state", "n-1");
    writer.start(kLongTimeout);
    files.set_hanging(files.hang_syncs, true);
    writer.post(make_snapshot(1));
    files.wait_for_blocked_call();
    for (int round = 2; round <= 1000; ++round)
        writer.post(make_snapshot(round));  // none of the calls blocks
    EXPECT_EQ(writer.status().superseded, 998U) << "at most one snapshot is pending";
    EXPECT_FALSE(writer.stop(kShortTimeout));
    files.set_hanging(files.hang_syncs, false);
    EXPECT_TRUE(writer.stop(kLongTimeout));
    EXPECT_EQ(writer.status().saves, 2U) << "the save that hung, and the last one";
}

TEST(SnapshotWriter, StartTimesOutOnHangingDisk) {
    HangingFileSystem files;
    files.hang_lock = true;
    SnapshotWriter writer(files, "state", "n-1");
    const auto loaded = writer.start(kShortTimeout);
    EXPECT_FALSE(loaded.snapshot);
    EXPECT_EQ(loaded.error, StateError::load_timed_out);
    writer.post(make_snapshot(1));
    files.set_hanging(files.hang_lock, false);
    EXPECT_TRUE(writer.stop(kLongTimeout));
    EXPECT_TRUE(files.paths().empty());
}

TEST(SnapshotWriter, ReportsFailureAndContinuesWithNextSave) {
    FaultyFileSystem files;
    SnapshotWriter writer(files, "state", "n-1");
    writer.start(kLongTimeout);
    files.first_fault = 0;
    files.fault = FaultyFileSystem::Fault::disk_full;
    writer.post(make_snapshot(1));
    while (writer.status().failed_saves == 0) std::this_thread::yield();
    EXPECT_TRUE(writer.status().last_error);
    writer.post(make_snapshot(2));
    EXPECT_TRUE(writer.stop(kLongTimeout));
    EXPECT_EQ(writer.status().saves, 1U);
    EXPECT_FALSE(writer.status().last_error);
}

TEST(SnapshotWriter, ReportsDirectoryInUseAndWritesNothing) {
    FaultyFileSystem files;
    SnapshotWriter first(files, "state", "n-1"), second(files, "state", "n-1");
    first.start(kLongTimeout);
    EXPECT_EQ(second.start(kLongTimeout).error, StateError::directory_in_use);
    second.post(make_snapshot(1));
    EXPECT_TRUE(second.stop(kLongTimeout));
    EXPECT_EQ(second.status().saves, 0U);
    EXPECT_TRUE(first.stop(kLongTimeout));
}

}  // namespace
}  // namespace elmbay::state
