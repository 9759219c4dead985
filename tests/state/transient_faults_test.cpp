// Tests that SnapshotStore and SnapshotWriter recover after file operations fail for a while and then
// succeed, for every error that a disk reports, and after a crash that follows a failed operation.
#include <gtest/gtest.h>

#include <algorithm>
#include <thread>

#include "faulty_file_system.hpp"
#include "samples.hpp"
#include "state/snapshot_store.hpp"
#include "state/snapshot_writer.hpp"

namespace elmbay::state {
namespace {

using test::FaultyFileSystem;
using test::make_snapshot;
using test::round_of;
using Fault = FaultyFileSystem::Fault;
using CrashSurvival = FaultyFileSystem::CrashSurvival;

constexpr const char* kDirectory = "state";
constexpr int kServers = 2;  // few, because the tests run ten thousand stores and test their calls
constexpr std::chrono::milliseconds kLongTimeout{20000};

// The errors of write(2), fsync(2), open(2) and rename(2) for a failing, full or inaccessible disk.
constexpr std::errc kErrors[] = {std::errc::io_error,
                                 std::errc::no_space_on_device,
                                 std::errc::file_too_large,
                                 std::errc::read_only_file_system,
                                 std::errc::too_many_files_open,
                                 std::errc::too_many_files_open_in_system,
                                 std::errc::not_enough_memory,
                                 std::errc::permission_denied,
                                 std::errc::no_such_file_or_directory};

struct Progress {
    int last_saved = 0;      // the round of the last successful save
    int last_attempted = 0;  // the round of the last save
};

// Runs two stores of one instance one after the other, with six saves each. A store that cannot open the
// directory tries again before each save.
Progress run_two_stores(FaultyFileSystem& files) {
    Progress progress;
    for (int store_index = 0; store_index < 2; ++store_index) {
        files.locked.clear();
        SnapshotStore store(files, kDirectory, "n-1");
        bool open = !store.open();
        if (open) store.load();
        for (int round = 0; round < 6; ++round) {
            ++progress.last_attempted;
            if (!open) open = !store.open();
            if (open && !store.save(make_snapshot(progress.last_attempted, kServers)))
                progress.last_saved = progress.last_attempted;
        }
    }
    return progress;
}

int loaded_round(FaultyFileSystem& files) {
    files.locked.clear();
    SnapshotStore store(files, kDirectory, "n-1");
    EXPECT_FALSE(store.open());
    const LoadResult loaded = store.load();
    return loaded.snapshot ? round_of(*loaded.snapshot) : 0;
}

void expect_last_saved(FaultyFileSystem& files, const Progress& progress, const std::string& context) {
    const int round = loaded_round(files);
    ASSERT_GE(round, progress.last_saved) << context;
    ASSERT_LE(round, progress.last_attempted) << context;
}

TEST(TransientFaults, LoadsLastSavedAndSavesAgainAfterAnyTransientFault) {
    for (const std::errc error : kErrors) {
        for (const long fault_count : {1, 2, 5, 12}) {
            for (long first_fault = 0;; ++first_fault) {
                FaultyFileSystem files;
                files.first_fault = first_fault;
                files.fault_count = fault_count;
                files.fault_error = error;
                files.counts_reads = true;
                const Progress progress = run_two_stores(files);
                if (files.operations <= first_fault) break;
                const std::string context = std::make_error_code(error).message() + " at " +
                                            std::to_string(first_fault) + " for " +
                                            std::to_string(fault_count);
                files.first_fault = -1;
                expect_last_saved(files, progress, context);
                ASSERT_GT(progress.last_saved, 0) << context;
                const Progress second_progress = run_two_stores(files);
                ASSERT_EQ(second_progress.last_saved, 12) << context;
                expect_last_saved(files, second_progress, context);
                ASSERT_LE(files.paths().size(), 2U + SnapshotStore::kKeptGenerations)
                    << context << ": failed writes leave no files behind";
            }
        }
    }
}

TEST(TransientFaults, LosesNothingSavedWhenCrashFollowsFailedCall) {
    for (const Fault fault : {Fault::fail, Fault::disk_full, Fault::short_write}) {
        for (const CrashSurvival survival :
             {CrashSurvival::synced_only, CrashSurvival::names, CrashSurvival::names_and_half,
              CrashSurvival::everything, CrashSurvival::random}) {
            for (long first_fault = 0;; ++first_fault) {
                long last_operation = first_fault;
                for (long crash_operation = first_fault + 1; crash_operation <= last_operation + 1;
                     ++crash_operation) {
                    FaultyFileSystem files;
                    files.first_fault = first_fault;
                    files.fault = fault;
                    files.crash_operation = crash_operation;
                    const Progress progress = run_two_stores(files);
                    last_operation = std::min(files.operations, first_fault + 24);
                    files.crash(survival, static_cast<std::uint64_t>(crash_operation));
                    expect_last_saved(files, progress,
                                      "fault " + std::to_string(static_cast<int>(fault)) + " at " +
                                          std::to_string(first_fault) + ", crash at " +
                                          std::to_string(crash_operation) + ", survival " +
                                          std::to_string(static_cast<int>(survival)));
                    if (HasFatalFailure()) return;
                }
                if (last_operation == first_fault) break;
            }
        }
    }
}

// After a failed sync of the directory, a file's name may be lost in a crash. Batches appended to such a file
// would be lost with it.
TEST(TransientFaults, DoesNotAppendToGenerationWhoseNameWasNotSynced) {
    FaultyFileSystem files;
    SnapshotStore store(files, kDirectory, "n-1");
    ASSERT_FALSE(store.open());
    ASSERT_FALSE(store.save(make_snapshot(1)));
    // The sync of the directory is the last operation, because prune() removes nothing here.
    const long directory_sync = files.operations - 1;
    FaultyFileSystem failing_files;
    failing_files.first_fault = directory_sync;
    SnapshotStore second_store(failing_files, kDirectory, "n-1");
    ASSERT_FALSE(second_store.open());
    ASSERT_EQ(second_store.save(make_snapshot(1)), std::errc::io_error) << "sync_directory fails";
    ASSERT_FALSE(second_store.save(make_snapshot(1)))
        << "an unchanged snapshot is written again after a failed save";
    failing_files.crash(CrashSurvival::synced_only);
    EXPECT_EQ(loaded_round(failing_files), 1);
}

// Guards against a generation number below that of existing files, after a directory list that failed half
// way.
TEST(TransientFaults, FindsNewerGenerationsAfterTruncatedDirectoryList) {
    FaultyFileSystem files;
    std::uint64_t next_record = 0;
    files.add_file(
        "state/elmbay-0000000000000005.state",
        encode_header(make_snapshot(5), 5) + encode_batch(nullptr, make_snapshot(5), 5, next_record));
    next_record = 0;
    files.add_file(
        "state/elmbay-0000000000000006.state",
        encode_header(make_snapshot(6), 6) + encode_batch(nullptr, make_snapshot(6), 6, next_record));
    files.counts_reads = true;
    files.first_fault = 2;  // the list of load(), after create_directories and lock
    SnapshotStore store(files, kDirectory, "n-1");
    ASSERT_FALSE(store.open());
    store.load();
    ASSERT_FALSE(store.save(make_snapshot(7)));
    EXPECT_EQ(store.generation(), 7U);
    EXPECT_EQ(loaded_round(files), 7);
}

// A writer that cannot open the directory at its start saves as soon as the disk works again.
TEST(TransientFaults, RetriesDirectoryThatCannotBeOpenedAtStart) {
    for (const long first_fault : {0L, 1L}) {  // create_directories, lock
        FaultyFileSystem files;
        files.counts_reads = true;
        files.first_fault = first_fault;
        files.fault_count = 1;
        files.fault_error = std::errc::no_space_on_device;
        SnapshotWriter writer(files, kDirectory, "n-1");
        const auto loaded = writer.start(kLongTimeout);
        EXPECT_FALSE(loaded.snapshot);
        EXPECT_EQ(loaded.error, std::errc::no_space_on_device);
        EXPECT_TRUE(writer.status().last_error) << "the start has failed";
        writer.post(make_snapshot(3));
        EXPECT_TRUE(writer.stop(kLongTimeout));
        EXPECT_EQ(writer.status().saves, 1U);
        EXPECT_FALSE(writer.status().last_error) << "the save has succeeded";
        EXPECT_EQ(loaded_round(files), 3);
    }
}

// After a restart the previous process may still hold the lock of the directory for a while.
TEST(TransientFaults, TakesOverDirectoryReleasedByAnotherProcess) {
    FaultyFileSystem files;
    SnapshotWriter first(files, kDirectory, "n-1"), second(files, kDirectory, "n-1");
    first.start(kLongTimeout);
    EXPECT_EQ(second.start(kLongTimeout).error, StateError::directory_in_use);
    first.post(make_snapshot(1));
    EXPECT_TRUE(first.stop(kLongTimeout));
    files.locked.clear();
    second.post(make_snapshot(2));
    EXPECT_TRUE(second.stop(kLongTimeout));
    EXPECT_EQ(second.status().saves, 1U);
    EXPECT_EQ(loaded_round(files), 2);
}

// An exception on the writer thread, such as std::bad_alloc, makes the save fail and does not end the
// process.
TEST(TransientFaults, ReportsExceptionInSaveAsFailure) {
    class ThrowingFileSystem : public FaultyFileSystem {
    public:
        bool throws_next = true;
        Handle create(const std::string& path, std::error_code& error) override {
            if (std::exchange(throws_next, false)) throw std::bad_alloc();
            return FaultyFileSystem::create(path, error);
        }
    } files;
    SnapshotWriter writer(files, kDirectory, "n-1");
    writer.start(kLongTimeout);
    writer.post(make_snapshot(1));
    while (writer.status().failed_saves == 0) std::this_thread::yield();
    writer.post(make_snapshot(2));
    EXPECT_TRUE(writer.stop(kLongTimeout));
    EXPECT_EQ(writer.status().saves, 1U);
    EXPECT_EQ(loaded_round(files), 2);
}

}  // namespace
}  // namespace elmbay::state
