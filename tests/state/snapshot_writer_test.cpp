// The thread round the store: nothing waits for a disk longer than it says.
#include "state/snapshot_writer.hpp"

#include <gtest/gtest.h>

#include <condition_variable>
#include <mutex>
#include <thread>

#include "faulty_file_system.hpp"
#include "load_text.hpp"
#include "samples.hpp"

namespace elmbay::state {
namespace {

using test::FaultyFileSystem;
using test::round_of;
using test::sample;

constexpr std::chrono::milliseconds kGenerous{20000}, kBrief{20};

// A disk whose syncs, or whose lock, do not come back until they are let go.
class HangingFileSystem : public FaultyFileSystem {
public:
    void sync(Handle file, std::error_code& error) override {
        wait(syncs_hang);
        FaultyFileSystem::sync(file, error);
    }
    Handle lock(const std::string& path, std::error_code& error) override {
        wait(lock_hangs);
        return FaultyFileSystem::lock(path, error);
    }
    void hang(bool& what, bool yes) {
        const std::scoped_lock guard(mutex_);
        what = yes;
        changed_.notify_all();
    }
    void await_waiting() {
        std::unique_lock guard(mutex_);
        changed_.wait(guard, [&] { return waiting_ > 0; });
    }
    bool syncs_hang = false, lock_hangs = false;

private:
    void wait(const bool& hangs) {
        std::unique_lock guard(mutex_);
        ++waiting_;
        changed_.notify_all();
        changed_.wait(guard, [&] { return !hangs; });
        --waiting_;
    }
    std::mutex mutex_;
    std::condition_variable changed_;
    int waiting_ = 0;
};

TEST(SnapshotWriter, WritesLastSnapshotBeforeStop) {
    FaultyFileSystem files;
    {
        SnapshotWriter writer(files, "state", "n-1");
        EXPECT_FALSE(writer.start(kGenerous).snapshot);
        for (int round = 1; round <= 50; ++round) writer.post(sample(round));
        EXPECT_TRUE(writer.stop(kGenerous));
        const auto status = writer.status();
        EXPECT_EQ(status.saves + status.superseded, 50U);
        EXPECT_GE(status.saves, 1U);
        writer.post(sample(99));
    }
    files.locked.clear();
    SnapshotWriter next(files, "state", "n-1");
    const auto loaded = next.start(kGenerous);
    ASSERT_TRUE(loaded.snapshot) << test::text_of(loaded);
    EXPECT_EQ(round_of(*loaded.snapshot), 50);
    EXPECT_TRUE(next.stop(kGenerous));
}

TEST(SnapshotWriter, PostDoesNotBlockOnHangingDisk) {
    HangingFileSystem files;
    SnapshotWriter writer(files, "state", "n-1");
    writer.start(kGenerous);
    files.hang(files.syncs_hang, true);
    writer.post(sample(1));
    files.await_waiting();
    for (int round = 2; round <= 1000; ++round) writer.post(sample(round));  // comes back at once, each time
    EXPECT_EQ(writer.status().superseded, 998U) << "one waits, whatever comes";
    EXPECT_FALSE(writer.stop(kBrief));
    files.hang(files.syncs_hang, false);
    EXPECT_TRUE(writer.stop(kGenerous));
    EXPECT_EQ(writer.status().saves, 2U) << "the one that hung, and the last";
}

TEST(SnapshotWriter, StartTimesOutOnHangingDisk) {
    HangingFileSystem files;
    files.lock_hangs = true;
    SnapshotWriter writer(files, "state", "n-1");
    const auto loaded = writer.start(kBrief);
    EXPECT_FALSE(loaded.snapshot);
    EXPECT_EQ(loaded.error, StateError::load_timed_out);
    writer.post(sample(1));
    files.hang(files.lock_hangs, false);
    EXPECT_TRUE(writer.stop(kGenerous));
    EXPECT_TRUE(files.paths().empty());
}

TEST(SnapshotWriter, ReportsFailureAndTriesNextSave) {
    FaultyFileSystem files;
    SnapshotWriter writer(files, "state", "n-1");
    writer.start(kGenerous);
    files.at = 0;
    files.fault = FaultyFileSystem::Fault::full;
    writer.post(sample(1));
    while (writer.status().failed_saves == 0) std::this_thread::yield();
    EXPECT_TRUE(writer.status().last_error);
    writer.post(sample(2));
    EXPECT_TRUE(writer.stop(kGenerous));
    EXPECT_EQ(writer.status().saves, 1U);
    EXPECT_FALSE(writer.status().last_error);
}

TEST(SnapshotWriter, ReportsDirectoryInUseAndWritesNothing) {
    FaultyFileSystem files;
    SnapshotWriter first(files, "state", "n-1"), second(files, "state", "n-1");
    first.start(kGenerous);
    EXPECT_EQ(second.start(kGenerous).error, StateError::directory_in_use);
    second.post(sample(1));
    EXPECT_TRUE(second.stop(kGenerous));
    EXPECT_EQ(second.status().saves, 0U);
    EXPECT_TRUE(first.stop(kGenerous));
}

}  // namespace
}  // namespace elmbay::state
