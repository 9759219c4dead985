// Tests SnapshotStore and SnapshotWriter on real files while each system call fails in turn. Every snapshot
// whose save succeeded can be loaded, calls interrupted by a signal are retried, and saves succeed again once
// the calls do.
#include "system_calls.hpp"

#include <gtest/gtest.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstring>
#include <filesystem>

#include "samples.hpp"
#include "state/snapshot_store.hpp"
#include "state/snapshot_writer.hpp"

namespace elmbay::state {
namespace {

using test::clear_faults;
using test::faulted_calls;
using test::inject_faults;
using test::make_snapshot;
using test::round_of;

constexpr int kRounds = 8;

class SnapshotStoreSystemCalls : public ::testing::Test {
protected:
    void SetUp() override { ASSERT_NE(::mkdtemp(directory.data()), nullptr); }
    void TearDown() override {
        clear_faults();
        std::filesystem::remove_all(directory);
    }
    // Saves the snapshots of kRounds rounds from `first_round` on, opening the directory again where that
    // failed. Returns the number of successful saves. Sets `last_saved` to the round of the last one.
    int save_rounds(int first_round, int& last_saved) const {
        int saved_count = 0;
        SnapshotStore store(posix_file_system(), directory + "/state", "n-1");
        bool open = !store.open();
        if (open) store.load();
        for (int round = first_round; round < first_round + kRounds; ++round) {
            if (!open) open = !store.open();
            if (!open || store.save(make_snapshot(round))) continue;
            ++saved_count;
            last_saved = round;
        }
        return saved_count;
    }
    int loaded_round() const {
        SnapshotStore store(posix_file_system(), directory + "/state", "n-1");
        EXPECT_FALSE(store.open());
        const LoadResult loaded = store.load();
        return loaded.snapshot ? round_of(*loaded.snapshot) : 0;
    }

    std::string directory = (std::filesystem::temp_directory_path() / "elmbay-calls-XXXXXX").string();
};

TEST_F(SnapshotStoreSystemCalls, RetriesCallInterruptedBySignal) {
    int first_round = 1, last_saved = 0;
    for (const char* call : {"open", "read", "write", "fsync", "flock"}) {
        for (long successes = 0; successes < 12; ++successes) {
            inject_faults({.call = call, .error = EINTR, .successes_before = successes, .fault_count = 3});
            EXPECT_EQ(save_rounds(first_round, last_saved), kRounds) << call << " after " << successes;
            if (faulted_calls() == 0) break;
            first_round += kRounds;
        }
        clear_faults();
        EXPECT_EQ(loaded_round(), last_saved) << call;
    }
}

TEST_F(SnapshotStoreSystemCalls, ContinuesAfterShortReadsAndWrites) {
    int first_round = 1, last_saved = 0;
    for (const char* call : {"read", "write"}) {
        inject_faults({.call = call, .error = 0, .successes_before = 0, .fault_count = 1000000});
        EXPECT_EQ(save_rounds(first_round, last_saved), kRounds) << call;
        EXPECT_EQ(loaded_round(), last_saved) << call;
        EXPECT_GT(faulted_calls(), 1000) << call;
        first_round += kRounds;
    }
}

TEST_F(SnapshotStoreSystemCalls, LoadsLastSavedAndSavesAgainAfterAnyTransientFault) {
    constexpr int kErrors[] = {EIO,    ENOSPC, EDQUOT, EROFS,  EFBIG, ENOMEM,
                               EMFILE, ENFILE, EACCES, ENOLCK, ESTALE};
    int first_round = 1, last_saved = 0;
    for (const char* call :
         {"open", "read", "write", "fsync", "flock", "rename", "remove", "mkdir", "readdir"}) {
        for (const int error : kErrors) {
            for (const long successes : {0, 1, 2, 3, 5, 8}) {
                const std::string context =
                    std::string(call) + ": " + std::strerror(error) + " after " + std::to_string(successes);
                inject_faults(
                    {.call = call, .error = error, .successes_before = successes, .fault_count = 3});
                const int saved_count = save_rounds(first_round, last_saved);
                clear_faults();
                ASSERT_GE(saved_count, kRounds - 4) << context;
                const int round = loaded_round();
                ASSERT_GE(round, last_saved) << context;
                ASSERT_LT(round, first_round + kRounds) << context;
                first_round += kRounds;
            }
        }
        ASSERT_EQ(save_rounds(first_round, last_saved), kRounds) << "after " << call;
        ASSERT_EQ(loaded_round(), last_saved) << "after " << call;
        first_round += kRounds;
    }
    std::error_code error;
    EXPECT_LE(posix_file_system().list(directory + "/state", error).size(),
              1U + SnapshotStore::kKeptGenerations)
        << "failed writes leave no files behind";
}

TEST_F(SnapshotStoreSystemCalls, WritesNothingWhenNoThreadIsAvailable) {
    inject_faults({.call = "pthread_create", .error = EAGAIN});
    SnapshotWriter writer(posix_file_system(), directory + "/state", "n-1");
    const auto loaded = writer.start();
    EXPECT_EQ(faulted_calls(), 1);
    EXPECT_FALSE(loaded.snapshot);
    EXPECT_EQ(loaded.error, StateError::no_writer_thread);
    writer.post(make_snapshot(1));
    EXPECT_TRUE(writer.stop(std::chrono::milliseconds(0)));
    EXPECT_FALSE(std::filesystem::exists(directory + "/state"));
}

// A write beyond RLIMIT_FSIZE fails with EFBIG and raises SIGXFSZ, which ends the process by default.
TEST_F(SnapshotStoreSystemCalls, ReportsFileSizeLimitAsFailure) {
    const pid_t child = ::fork();
    ASSERT_GE(child, 0);
    if (child == 0) {
        SnapshotWriter writer(posix_file_system(), directory + "/state", "n-1");
        writer.start();
        rlimit limit{};
        if (::getrlimit(RLIMIT_FSIZE, &limit) != 0) ::_exit(2);
        const rlim_t original_limit = limit.rlim_cur;
        limit.rlim_cur = 100;
        if (::setrlimit(RLIMIT_FSIZE, &limit) != 0) ::_exit(2);
        writer.post(make_snapshot(1));
        while (writer.status().failed_saves == 0) ::usleep(1000);
        limit.rlim_cur = original_limit;
        if (::setrlimit(RLIMIT_FSIZE, &limit) != 0) ::_exit(2);
        writer.post(make_snapshot(2));
        ::_exit(writer.stop(std::chrono::milliseconds(20000)) && writer.status().saves == 1 ? 0 : 3);
    }
    int status = 0;
    ASSERT_EQ(::waitpid(child, &status, 0), child);
    ASSERT_TRUE(WIFEXITED(status)) << "ended by signal " << WTERMSIG(status);
    EXPECT_EQ(WEXITSTATUS(status), 0);
    EXPECT_EQ(loaded_round(), 2);
}

}  // namespace
}  // namespace elmbay::state
