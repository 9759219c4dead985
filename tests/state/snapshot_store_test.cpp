// The store on a disk that fails, loses and crashes at every single operation.
#include "state/snapshot_store.hpp"

#include <gtest/gtest.h>

#include <filesystem>

#include "faulty_file_system.hpp"
#include "load_text.hpp"
#include "samples.hpp"

namespace elmbay::state {
namespace {

using test::FaultyFileSystem;
using test::round_of;
using test::sample;
using Fault = FaultyFileSystem::Fault;
using Survives = FaultyFileSystem::Survives;

constexpr const char* kFolder = "state";
constexpr int kRounds = 6, kFresh = 3;  // rounds; at this one a second process begins a generation

// Rounds 1 to kRounds through two lives. Gives the last round that a save said was kept, and the last it
// tried.
struct Played {
    int kept = 0, tried = 0;
};
Played play(FaultyFileSystem& files) {
    Played progress;
    for (int life = 0; life < 2; ++life) {
        files.locked.clear();
        SnapshotStore store(files, kFolder, "n-1");
        EXPECT_FALSE(store.open());
        store.load();
        for (int round = life == 0 ? 1 : kFresh; round <= (life == 0 ? kFresh - 1 : kRounds); ++round) {
            progress.tried = round;
            if (!store.save(sample(round))) progress.kept = round;
        }
    }
    return progress;
}

int loaded_round(FaultyFileSystem& files) {
    files.locked.clear();
    SnapshotStore store(files, kFolder, "n-1");
    EXPECT_FALSE(store.open());
    const LoadResult loaded = store.load();
    return loaded.snapshot ? round_of(*loaded.snapshot) : 0;
}

TEST(SnapshotStore, LoadsLastSavedSnapshot) {
    FaultyFileSystem files;
    EXPECT_EQ(loaded_round(files), 0);
    EXPECT_EQ(play(files).kept, kRounds);
    EXPECT_EQ(loaded_round(files), kRounds);
}

TEST(SnapshotStore, LoadsWholeSnapshotAndSavesAgainAfterAnyFailedOperation) {
    for (const Fault fault : {Fault::fails, Fault::full, Fault::shorter}) {
        for (long at = 0;; ++at) {
            FaultyFileSystem files;
            files.at = at;
            files.fault = fault;
            const Played progress = play(files);
            if (files.operations <= at) break;
            const int round = loaded_round(files);
            ASSERT_GE(round, progress.kept) << "operation " << at;
            ASSERT_LE(round, progress.tried) << "operation " << at;
            ASSERT_GE(progress.kept, kRounds - 1) << "one fault costs one save, operation " << at;
            SnapshotStore store(files, kFolder, "n-1");
            files.locked.clear();
            ASSERT_FALSE(store.open());
            ASSERT_FALSE(store.save(sample(50)));
            ASSERT_EQ(loaded_round(files), 50);
        }
    }
}

TEST(SnapshotStore, LoadsLastSavedOrNewerAfterCrashAtAnyOperation) {
    for (const Survives what :
         {Survives::nothing, Survives::names, Survives::names_and_half, Survives::all}) {
        long at = 0;
        for (;; ++at) {
            FaultyFileSystem files;
            files.at = at;
            files.fault = Fault::crash;
            const Played progress = play(files);
            if (files.operations <= at) break;
            files.crash(what);
            const int round = loaded_round(files);
            ASSERT_GE(round, progress.kept) << "operation " << at << ", survives " << static_cast<int>(what);
            ASSERT_LE(round, progress.tried) << "operation " << at;
            ASSERT_EQ(play(files).kept, kRounds) << "and life goes on";
        }
        EXPECT_GT(at, 15) << "every operation was tried";
    }
}

TEST(SnapshotStore, DoesNotWriteUnchangedSnapshot) {
    FaultyFileSystem files;
    SnapshotStore store(files, kFolder, "n-1");
    ASSERT_FALSE(store.open());
    Snapshot snapshot = sample(1);
    ASSERT_FALSE(store.save(snapshot));
    const auto written = store.bytes_written();
    snapshot.taken_at.wall_ms += 1000;
    ASSERT_FALSE(store.save(snapshot));
    EXPECT_EQ(store.bytes_written(), written);
    ASSERT_FALSE(store.save(snapshot, SaveMode::always));
    EXPECT_GT(store.bytes_written(), written) << "that it still holds is worth a line now and then";
    EXPECT_LT(store.bytes_written(), written + 150);
    EXPECT_EQ(store.load().snapshot->taken_at.wall_ms, snapshot.taken_at.wall_ms);
}

TEST(SnapshotStore, BoundsGenerationSizeAndKeepsTwoGenerations) {
    FaultyFileSystem files;
    SnapshotStore store(files, kFolder, "n-1");
    ASSERT_FALSE(store.open());
    for (int round = 1; round <= 2000; ++round) ASSERT_FALSE(store.save(sample(round)));
    EXPECT_GT(store.generation(), 10U);
    EXPECT_EQ(files.paths().size(), 2U);
    for (const std::string& path : files.paths()) {
        std::error_code error;
        EXPECT_LT(files.read(path, kMaxFileBytes, error).size(), 2 * SnapshotStore::kMinChangesBytes);
    }
}

TEST(SnapshotStore, SkipsDamagedAndForeignFiles) {
    FaultyFileSystem files;
    {
        SnapshotStore store(files, kFolder, "n-1");
        ASSERT_FALSE(store.open());
        ASSERT_FALSE(store.save(sample(4)));
    }
    std::uint64_t next = 0;
    std::string newer = encode_header(sample(9), 0x20);
    newer[8] = 9;
    const Snapshot other = sample(8, 6, "n-2");
    files.put("state/elmbay-0000000000000020.state", newer);
    files.put("state/elmbay-0000000000000010.state", std::string(5000, '\0'));
    files.put("state/elmbay-0000000000000011.state",
              encode_header(other, 0x11) + encode_batch(nullptr, other, 0x11, next));
    files.put("state/elmbay-ffffffffffffffff.state", "x");
    files.put("state/notes.txt", "somebody's");
    files.put("state/elmbay-0000000000000030.state.part", "half");
    next = 0;
    files.put("state/elmbay-0000000000000012.state",
              encode_header(sample(7), 0x77) + encode_batch(nullptr, sample(7), 0x77, next));

    files.locked.clear();
    SnapshotStore store(files, kFolder, "n-1");
    ASSERT_FALSE(store.open());
    const LoadResult loaded = store.load();
    ASSERT_TRUE(loaded.snapshot);
    EXPECT_EQ(round_of(*loaded.snapshot), 4);
    for (const char* reason : {"version 9", "no state of an elmbay", "instance 'n-2'", "another name"})
        EXPECT_NE(test::text_of(loaded).find(reason), std::string::npos) << test::text_of(loaded);
    const std::vector<std::error_code> expected{StateError::unsupported_version,
                                                StateError::generation_mismatch,
                                                StateError::instance_mismatch, StateError::not_a_snapshot};
    ASSERT_EQ(loaded.notes.size(), expected.size());
    for (std::size_t i = 0; i < expected.size(); ++i) EXPECT_EQ(loaded.notes[i].error, expected[i]) << i;
    for (const GenerationFile& file : list_generations(files, kFolder).files)
        EXPECT_NE(file.content.snapshot.has_value(), static_cast<bool>(file.content.error)) << file.name;
    ASSERT_FALSE(store.save(sample(5)));
    EXPECT_EQ(store.generation(), 0x21U) << "above those that it can't read";
    const auto paths = files.paths();
    for (const char* kept :
         {"state/elmbay-0000000000000020.state", "state/elmbay-ffffffffffffffff.state", "state/notes.txt"})
        EXPECT_TRUE(paths.contains(kept)) << kept;
    for (const char* gone :
         {"state/elmbay-0000000000000010.state", "state/elmbay-0000000000000030.state.part"})
        EXPECT_FALSE(paths.contains(gone)) << gone;
}

TEST(SnapshotStore, RejectsInvalidSnapshots) {
    FaultyFileSystem files;
    SnapshotStore store(files, kFolder, "n-1");
    EXPECT_TRUE(store.save(sample(1))) << "not open";
    ASSERT_FALSE(store.open());
    EXPECT_TRUE(store.save(sample(1, static_cast<int>(kMaxServers) + 1)));
    EXPECT_TRUE(store.save(sample(1, 6, "")));
    EXPECT_TRUE(files.paths().empty());
}

class OnDisk : public ::testing::Test {
protected:
    std::string folder = (std::filesystem::temp_directory_path() / "elmbay-state-XXXXXX").string();
    void SetUp() override { ASSERT_NE(::mkdtemp(folder.data()), nullptr); }
    void TearDown() override { std::filesystem::remove_all(folder); }
};

TEST_F(OnDisk, LoadsLastSavedSnapshotFromRealFiles) {
    {
        SnapshotStore store(posix_file_system(), folder + "/deep/er", "n-1");
        ASSERT_FALSE(store.open());
        for (int round = 1; round <= 3; ++round) ASSERT_FALSE(store.save(sample(round)));
    }
    SnapshotStore store(posix_file_system(), folder + "/deep/er", "n-1");
    ASSERT_FALSE(store.open());
    EXPECT_EQ(round_of(*store.load().snapshot), 3);
}

TEST_F(OnDisk, LocksOutSecondProcess) {
    SnapshotStore first(posix_file_system(), folder, "n-1"), second(posix_file_system(), folder, "n-1");
    ASSERT_FALSE(first.open());
    EXPECT_EQ(second.open(), std::errc::resource_unavailable_try_again);
    EXPECT_TRUE(second.save(sample(1)));
    EXPECT_FALSE(second.load().snapshot);
    EXPECT_FALSE(first.save(sample(1)));
}

TEST_F(OnDisk, ReportsErrorWhenDirectoryVanishes) {
    SnapshotStore store(posix_file_system(), folder + "/gone", "n-1");
    ASSERT_FALSE(store.open());
    std::filesystem::remove_all(folder + "/gone");
    EXPECT_TRUE(store.save(sample(1)));
    EXPECT_FALSE(store.load().snapshot);
    std::error_code error;
    SnapshotStore in_the_way(posix_file_system(), "/dev/null/state", "n-1");
    EXPECT_TRUE(in_the_way.open());
}

}  // namespace
}  // namespace elmbay::state
