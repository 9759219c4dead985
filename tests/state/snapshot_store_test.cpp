// Tests SnapshotStore with a failure or a crash at every single file operation.
#include "state/snapshot_store.hpp"

#include <gtest/gtest.h>

#include <filesystem>

#include "faulty_file_system.hpp"
#include "load_result_text.hpp"
#include "samples.hpp"

namespace elmbay::state {
namespace {

using test::FaultyFileSystem;
using test::make_snapshot;
using test::round_of;
using Fault = FaultyFileSystem::Fault;
using CrashSurvival = FaultyFileSystem::CrashSurvival;

constexpr const char* kDirectory = "state";
constexpr int kRounds = 6, kSecondStoreRound = 3;  // the second store saves from kSecondStoreRound on

// The rounds of the last successful save and of the last save.
struct Progress {
    int last_saved = 0, last_attempted = 0;
};

// Saves rounds 1 to kRounds with two stores, one after the other.
Progress run_two_stores(FaultyFileSystem& files) {
    Progress progress;
    for (int store_index = 0; store_index < 2; ++store_index) {
        files.locked.clear();
        SnapshotStore store(files, kDirectory, "n-1");
        EXPECT_FALSE(store.open());
        store.load();
        for (int round = store_index == 0 ? 1 : kSecondStoreRound;
             round <= (store_index == 0 ? kSecondStoreRound - 1 : kRounds); ++round) {
            progress.last_attempted = round;
            if (!store.save(make_snapshot(round))) progress.last_saved = round;
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

TEST(SnapshotStore, LoadsLastSavedSnapshot) {
    FaultyFileSystem files;
    EXPECT_EQ(loaded_round(files), 0);
    EXPECT_EQ(run_two_stores(files).last_saved, kRounds);
    EXPECT_EQ(loaded_round(files), kRounds);
}

TEST(SnapshotStore, LoadsWholeSnapshotAndSavesAgainAfterAnyFailedOperation) {
    for (const Fault fault : {Fault::fail, Fault::disk_full, Fault::short_write}) {
        for (long operation = 0;; ++operation) {
            FaultyFileSystem files;
            files.first_fault = operation;
            files.fault = fault;
            const Progress progress = run_two_stores(files);
            if (files.operations <= operation) break;
            const int round = loaded_round(files);
            ASSERT_GE(round, progress.last_saved) << "operation " << operation;
            ASSERT_LE(round, progress.last_attempted) << "operation " << operation;
            ASSERT_GE(progress.last_saved, kRounds - 1)
                << "one fault fails at most one save, operation " << operation;
            SnapshotStore store(files, kDirectory, "n-1");
            files.locked.clear();
            ASSERT_FALSE(store.open());
            ASSERT_FALSE(store.save(make_snapshot(50)));
            ASSERT_EQ(loaded_round(files), 50);
        }
    }
}

TEST(SnapshotStore, LoadsLastSavedOrNewerAfterCrashAtAnyOperation) {
    for (const CrashSurvival survival : {CrashSurvival::synced_only, CrashSurvival::names,
                                         CrashSurvival::names_and_half, CrashSurvival::everything}) {
        long operation = 0;
        for (;; ++operation) {
            FaultyFileSystem files;
            files.first_fault = operation;
            files.fault = Fault::crash;
            const Progress progress = run_two_stores(files);
            if (files.operations <= operation) break;
            files.crash(survival);
            const int round = loaded_round(files);
            ASSERT_GE(round, progress.last_saved)
                << "operation " << operation << ", survival " << static_cast<int>(survival);
            ASSERT_LE(round, progress.last_attempted) << "operation " << operation;
            ASSERT_EQ(run_two_stores(files).last_saved, kRounds) << "saves succeed after the crash";
        }
        EXPECT_GT(operation, 15) << "operations that a crash was injected into";
    }
}

TEST(SnapshotStore, DoesNotWriteUnchangedSnapshot) {
    FaultyFileSystem files;
    SnapshotStore store(files, kDirectory, "n-1");
    ASSERT_FALSE(store.open());
    Snapshot snapshot = make_snapshot(1);
    ASSERT_FALSE(store.save(snapshot));
    const auto written = store.bytes_written();
    snapshot.taken_at.wall_ms += 1000;
    ASSERT_FALSE(store.save(snapshot));
    EXPECT_EQ(store.bytes_written(), written);
    ASSERT_FALSE(store.save(snapshot, SaveMode::always));
    EXPECT_GT(store.bytes_written(), written)
        << "SaveMode::always writes an unchanged snapshot with its new timestamp";
    EXPECT_LT(store.bytes_written(), written + 150);
    EXPECT_EQ(store.load().snapshot->taken_at.wall_ms, snapshot.taken_at.wall_ms);
}

TEST(SnapshotStore, BoundsGenerationSizeAndKeepsTwoGenerations) {
    FaultyFileSystem files;
    SnapshotStore store(files, kDirectory, "n-1");
    ASSERT_FALSE(store.open());
    for (int round = 1; round <= 2000; ++round) ASSERT_FALSE(store.save(make_snapshot(round)));
    EXPECT_GT(store.generation(), 10U);
    EXPECT_EQ(files.paths().size(), 2U);
    for (const std::string& path : files.paths()) {
        std::error_code error;
        EXPECT_LT(files.read(path, kMaxFileBytes, error).size(), 2 * SnapshotStore::kMinRewriteBytes);
    }
}

TEST(SnapshotStore, SkipsDamagedAndForeignFiles) {
    FaultyFileSystem files;
    {
        SnapshotStore store(files, kDirectory, "n-1");
        ASSERT_FALSE(store.open());
        ASSERT_FALSE(store.save(make_snapshot(4)));
    }
    std::uint64_t next_record = 0;
    std::string newer = encode_header(make_snapshot(9), 0x20);
    newer[8] = 9;
    const Snapshot other = make_snapshot(8, 6, "n-2");
    files.add_file("state/elmbay-0000000000000020.state", newer);
    files.add_file("state/elmbay-0000000000000010.state", std::string(5000, '\0'));
    files.add_file("state/elmbay-0000000000000011.state",
                   encode_header(other, 0x11) + encode_batch(nullptr, other, 0x11, next_record));
    files.add_file("state/elmbay-ffffffffffffffff.state", "x");
    files.add_file("state/notes.txt", "not a snapshot");
    files.add_file("state/elmbay-0000000000000030.state.part", "half");
    next_record = 0;
    files.add_file(
        "state/elmbay-0000000000000012.state",
        encode_header(make_snapshot(7), 0x77) + encode_batch(nullptr, make_snapshot(7), 0x77, next_record));

    files.locked.clear();
    SnapshotStore store(files, kDirectory, "n-1");
    ASSERT_FALSE(store.open());
    const LoadResult loaded = store.load();
    ASSERT_TRUE(loaded.snapshot);
    EXPECT_EQ(round_of(*loaded.snapshot), 4);
    for (const char* reason :
         {"version 9", "not an elmbay snapshot", "instance 'n-2'", "the generation in the file name differs"})
        EXPECT_NE(test::describe_load(loaded).find(reason), std::string::npos) << test::describe_load(loaded);
    const std::vector<std::error_code> expected{StateError::unsupported_version,
                                                StateError::generation_mismatch,
                                                StateError::instance_mismatch, StateError::not_a_snapshot};
    ASSERT_EQ(loaded.warnings.size(), expected.size());
    for (std::size_t i = 0; i < expected.size(); ++i) EXPECT_EQ(loaded.warnings[i].error, expected[i]) << i;
    for (const GenerationFile& file : list_generations(files, kDirectory).files)
        EXPECT_NE(file.content.snapshot.has_value(), static_cast<bool>(file.content.error)) << file.name;
    ASSERT_FALSE(store.save(make_snapshot(5)));
    EXPECT_EQ(store.generation(), 0x21U) << "above the generations that cannot be read";
    const auto paths = files.paths();
    for (const char* kept :
         {"state/elmbay-0000000000000020.state", "state/elmbay-ffffffffffffffff.state", "state/notes.txt"})
        EXPECT_TRUE(paths.contains(kept)) << kept;
    for (const char* removed :
         {"state/elmbay-0000000000000010.state", "state/elmbay-0000000000000030.state.part"})
        EXPECT_FALSE(paths.contains(removed)) << removed;
}

TEST(SnapshotStore, RejectsInvalidSnapshots) {
    FaultyFileSystem files;
    SnapshotStore store(files, kDirectory, "n-1");
    EXPECT_TRUE(store.save(make_snapshot(1))) << "the store is not open";
    ASSERT_FALSE(store.open());
    EXPECT_TRUE(store.save(make_snapshot(1, static_cast<int>(kMaxServers) + 1)));
    EXPECT_TRUE(store.save(make_snapshot(1, 6, "")));
    EXPECT_TRUE(files.paths().empty());
}

class SnapshotStoreOnDisk : public ::testing::Test {
protected:
    std::string directory = (std::filesystem::temp_directory_path() / "elmbay-state-XXXXXX").string();
    void SetUp() override { ASSERT_NE(::mkdtemp(directory.data()), nullptr); }
    void TearDown() override { std::filesystem::remove_all(directory); }
};

TEST_F(SnapshotStoreOnDisk, LoadsLastSavedSnapshotFromRealFiles) {
    {
        SnapshotStore store(posix_file_system(), directory + "/nested/directory", "n-1");
        ASSERT_FALSE(store.open());
        for (int round = 1; round <= 3; ++round) ASSERT_FALSE(store.save(make_snapshot(round)));
    }
    SnapshotStore store(posix_file_system(), directory + "/nested/directory", "n-1");
    ASSERT_FALSE(store.open());
    EXPECT_EQ(round_of(*store.load().snapshot), 3);
}

TEST_F(SnapshotStoreOnDisk, RejectsSecondStoreInSameDirectory) {
    SnapshotStore first(posix_file_system(), directory, "n-1"), second(posix_file_system(), directory, "n-1");
    ASSERT_FALSE(first.open());
    EXPECT_EQ(second.open(), std::errc::resource_unavailable_try_again);
    EXPECT_TRUE(second.save(make_snapshot(1)));
    EXPECT_FALSE(second.load().snapshot);
    EXPECT_FALSE(first.save(make_snapshot(1)));
}

TEST_F(SnapshotStoreOnDisk, ReportsErrorWhenDirectoryIsMissing) {
    SnapshotStore store(posix_file_system(), directory + "/removed", "n-1");
    ASSERT_FALSE(store.open());
    std::filesystem::remove_all(directory + "/removed");
    EXPECT_TRUE(store.save(make_snapshot(1)));
    EXPECT_FALSE(store.load().snapshot);
    std::error_code error;
    SnapshotStore below_a_file(posix_file_system(), "/dev/null/state", "n-1");
    EXPECT_TRUE(below_a_file.open());
}

}  // namespace
}  // namespace elmbay::state
