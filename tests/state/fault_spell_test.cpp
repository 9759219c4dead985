// The store and the thread round it through spells of failure: calls that fail for a while and then work
// again, with every error that a disk gives, and crashes after a call that has failed.
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
using test::round_of;
using test::sample;
using Fault = FaultyFileSystem::Fault;
using Survives = FaultyFileSystem::Survives;

constexpr const char* kFolder = "state";
constexpr int kServers = 2;  // few: what is looked at is the calls, some ten thousand lives of them
constexpr std::chrono::milliseconds kGenerous{20000};

// What writes to a disk give by write(2), fsync(2), open(2) and rename(2) while it is in trouble.
constexpr std::errc kReasons[] = {std::errc::io_error,
                                  std::errc::no_space_on_device,
                                  std::errc::file_too_large,
                                  std::errc::read_only_file_system,
                                  std::errc::too_many_files_open,
                                  std::errc::too_many_files_open_in_system,
                                  std::errc::not_enough_memory,
                                  std::errc::permission_denied,
                                  std::errc::no_such_file_or_directory};

struct Progress {
    int kept = 0;   // the last round of which a save said that it is kept
    int tried = 0;  // the last one at all
};

// Two lives of one instance, six saves each; a life that can't open the folder tries again before each save.
Progress two_lives(FaultyFileSystem& files) {
    Progress progress;
    for (int life = 0; life < 2; ++life) {
        files.locked.clear();
        SnapshotStore store(files, kFolder, "n-1");
        bool open = !store.open();
        if (open) store.load();
        for (int round = 0; round < 6; ++round) {
            ++progress.tried;
            if (!open) open = !store.open();
            if (open && !store.save(sample(progress.tried, kServers))) progress.kept = progress.tried;
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

void expect_kept(FaultyFileSystem& files, const Progress& progress, const std::string& where) {
    const int round = loaded_round(files);
    ASSERT_GE(round, progress.kept) << where;
    ASSERT_LE(round, progress.tried) << where;
}

TEST(FaultSpell, LoadsLastSavedAndSavesAgainAfterAnyTransientFault) {
    for (const std::errc reason : kReasons) {
        for (const long lasts : {1, 2, 5, 12}) {
            for (long at = 0;; ++at) {
                FaultyFileSystem files;
                files.at = at;
                files.lasts = lasts;
                files.reason = reason;
                files.reads_too = true;
                const Progress progress = two_lives(files);
                if (files.operations <= at) break;
                const std::string where = std::make_error_code(reason).message() + " at " +
                                          std::to_string(at) + " for " + std::to_string(lasts);
                files.at = -1;
                expect_kept(files, progress, where);
                ASSERT_GT(progress.kept, 0) << where;
                const Progress later = two_lives(files);
                ASSERT_EQ(later.kept, 12) << where;
                expect_kept(files, later, where);
                ASSERT_LE(files.paths().size(), 2U + SnapshotStore::kKeptGenerations)
                    << where << ": nothing piles up";
            }
        }
    }
}

TEST(FaultSpell, LosesNothingSavedWhenCrashFollowsFailedCall) {
    for (const Fault fault : {Fault::fails, Fault::full, Fault::shorter}) {
        for (const Survives survives :
             {Survives::nothing, Survives::names, Survives::names_and_half, Survives::all, Survives::some}) {
            for (long at = 0;; ++at) {
                long last = at;
                for (long crash_at = at + 1; crash_at <= last + 1; ++crash_at) {
                    FaultyFileSystem files;
                    files.at = at;
                    files.fault = fault;
                    files.crash_at = crash_at;
                    const Progress progress = two_lives(files);
                    last = std::min(files.operations, at + 24);
                    files.crash(survives, static_cast<std::uint64_t>(crash_at));
                    expect_kept(files, progress,
                                "fault " + std::to_string(static_cast<int>(fault)) + " at " +
                                    std::to_string(at) + ", crash at " + std::to_string(crash_at) +
                                    ", survives " + std::to_string(static_cast<int>(survives)));
                    if (HasFatalFailure()) return;
                }
                if (last == at) break;
            }
        }
    }
}

// Names that a folder whose sync fails keeps are not certain: what a save writes behind them is not kept
// either.
TEST(FaultSpell, DoesNotAppendToGenerationWhoseNameWasNotSynced) {
    FaultyFileSystem files;
    SnapshotStore store(files, kFolder, "n-1");
    ASSERT_FALSE(store.open());
    ASSERT_FALSE(store.save(sample(1)));
    const long one_generation = files.operations - 1;  // its sync_directory is the last but prune's none
    FaultyFileSystem fresh;
    fresh.at = one_generation;
    SnapshotStore other(fresh, kFolder, "n-1");
    ASSERT_FALSE(other.open());
    ASSERT_EQ(other.save(sample(1)), std::errc::io_error) << "the folder's sync";
    ASSERT_FALSE(other.save(sample(1))) << "nothing new, but nothing kept so far";
    fresh.crash(Survives::nothing);
    EXPECT_EQ(loaded_round(fresh), 1);
}

// A list that fails half way must not make a life begin below what is there.
TEST(FaultSpell, FindsNewerGenerationsAfterTruncatedDirectoryList) {
    FaultyFileSystem files;
    std::uint64_t next = 0;
    files.put("state/elmbay-0000000000000005.state",
              encode_header(sample(5), 5) + encode_batch(nullptr, sample(5), 5, next));
    next = 0;
    files.put("state/elmbay-0000000000000006.state",
              encode_header(sample(6), 6) + encode_batch(nullptr, sample(6), 6, next));
    files.reads_too = true;
    files.at = 2;  // after the folder and the lock: the list of load()
    SnapshotStore store(files, kFolder, "n-1");
    ASSERT_FALSE(store.open());
    store.load();
    ASSERT_FALSE(store.save(sample(7)));
    EXPECT_EQ(store.generation(), 7U);
    EXPECT_EQ(loaded_round(files), 7);
}

// A start on a disk that is in trouble keeps as soon as the disk lets it.
TEST(FaultSpell, RetriesDirectoryThatCannotBeOpenedAtStart) {
    for (const long at : {0L, 1L}) {  // the folder, the lock
        FaultyFileSystem files;
        files.reads_too = true;
        files.at = at;
        files.lasts = 1;
        files.reason = std::errc::no_space_on_device;
        SnapshotWriter writer(files, kFolder, "n-1");
        const auto loaded = writer.start(kGenerous);
        EXPECT_FALSE(loaded.snapshot);
        EXPECT_EQ(loaded.error, std::errc::no_space_on_device);
        EXPECT_TRUE(writer.status().last_error) << "the spell has begun";
        writer.post(sample(3));
        EXPECT_TRUE(writer.stop(kGenerous));
        EXPECT_EQ(writer.status().saves, 1U);
        EXPECT_FALSE(writer.status().last_error) << "and is over";
        EXPECT_EQ(loaded_round(files), 3);
    }
}

// The process before this one may still be ending when this one starts.
TEST(FaultSpell, TakesOverDirectoryReleasedByAnotherProcess) {
    FaultyFileSystem files;
    SnapshotWriter first(files, kFolder, "n-1"), second(files, kFolder, "n-1");
    first.start(kGenerous);
    EXPECT_EQ(second.start(kGenerous).error, StateError::directory_in_use);
    first.post(sample(1));
    EXPECT_TRUE(first.stop(kGenerous));
    files.locked.clear();
    second.post(sample(2));
    EXPECT_TRUE(second.stop(kGenerous));
    EXPECT_EQ(second.status().saves, 1U);
    EXPECT_EQ(loaded_round(files), 2);
}

// An allocation that fails in the writer's thread is a save that failed, not the end of the process.
TEST(FaultSpell, ReportsExceptionInSaveAsFailure) {
    class ThrowingFileSystem : public FaultyFileSystem {
    public:
        bool throws = true;
        Handle create(const std::string& path, std::error_code& error) override {
            if (std::exchange(throws, false)) throw std::bad_alloc();
            return FaultyFileSystem::create(path, error);
        }
    } files;
    SnapshotWriter writer(files, kFolder, "n-1");
    writer.start(kGenerous);
    writer.post(sample(1));
    while (writer.status().failed_saves == 0) std::this_thread::yield();
    writer.post(sample(2));
    EXPECT_TRUE(writer.stop(kGenerous));
    EXPECT_EQ(writer.status().saves, 1U);
    EXPECT_EQ(loaded_round(files), 2);
}

}  // namespace
}  // namespace elmbay::state
