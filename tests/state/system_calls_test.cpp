// The store on the machine's own files, each system call failing in turn: what it says is kept is kept, a
// call that a signal has interrupted is made again, and it keeps again once the calls work.
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

using test::faulted_calls;
using test::no_plan;
using test::plan_calls;
using test::round_of;
using test::sample;

constexpr int kRounds = 8;

class SystemCalls : public ::testing::Test {
protected:
    void SetUp() override { ASSERT_NE(::mkdtemp(folder.data()), nullptr); }
    void TearDown() override {
        no_plan();
        std::filesystem::remove_all(folder);
    }
    // kRounds saves from `first` on, the folder opened again where that failed. How many were kept; `last`:
    // the last.
    int saves(int first, int& last) const {
        int kept = 0;
        SnapshotStore store(posix_file_system(), folder + "/state", "n-1");
        bool open = !store.open();
        if (open) store.load();
        for (int round = first; round < first + kRounds; ++round) {
            if (!open) open = !store.open();
            if (!open || store.save(sample(round))) continue;
            ++kept;
            last = round;
        }
        return kept;
    }
    int loaded_round() const {
        SnapshotStore store(posix_file_system(), folder + "/state", "n-1");
        EXPECT_FALSE(store.open());
        const LoadResult loaded = store.load();
        return loaded.snapshot ? round_of(*loaded.snapshot) : 0;
    }

    std::string folder = (std::filesystem::temp_directory_path() / "elmbay-calls-XXXXXX").string();
};

TEST_F(SystemCalls, RetriesCallInterruptedBySignal) {
    int first = 1, last = 0;
    for (const char* call : {"open", "read", "write", "fsync", "flock"}) {
        for (long after = 0; after < 12; ++after) {
            plan_calls({.call = call, .error = EINTR, .after = after, .times = 3});
            EXPECT_EQ(saves(first, last), kRounds) << call << " after " << after;
            if (faulted_calls() == 0) break;
            first += kRounds;
        }
        no_plan();
        EXPECT_EQ(loaded_round(), last) << call;
    }
}

TEST_F(SystemCalls, ContinuesAfterShortReadsAndWrites) {
    int first = 1, last = 0;
    for (const char* call : {"read", "write"}) {
        plan_calls({.call = call, .error = 0, .after = 0, .times = 1000000});
        EXPECT_EQ(saves(first, last), kRounds) << call;
        EXPECT_EQ(loaded_round(), last) << call;
        EXPECT_GT(faulted_calls(), 1000) << call;
        first += kRounds;
    }
}

TEST_F(SystemCalls, LoadsLastSavedAndSavesAgainAfterAnyTransientFault) {
    constexpr int kErrors[] = {EIO,    ENOSPC, EDQUOT, EROFS,  EFBIG, ENOMEM,
                               EMFILE, ENFILE, EACCES, ENOLCK, ESTALE};
    int first = 1, last = 0;
    for (const char* call :
         {"open", "read", "write", "fsync", "flock", "rename", "remove", "mkdir", "readdir"}) {
        for (const int error : kErrors) {
            for (const long after : {0, 1, 2, 3, 5, 8}) {
                const std::string where =
                    std::string(call) + ": " + std::strerror(error) + " after " + std::to_string(after);
                plan_calls({.call = call, .error = error, .after = after, .times = 3});
                const int kept = saves(first, last);
                no_plan();
                ASSERT_GE(kept, kRounds - 4) << where;
                const int round = loaded_round();
                ASSERT_GE(round, last) << where;
                ASSERT_LT(round, first + kRounds) << where;
                first += kRounds;
            }
        }
        ASSERT_EQ(saves(first, last), kRounds) << "after " << call;
        ASSERT_EQ(loaded_round(), last) << "after " << call;
        first += kRounds;
    }
    std::error_code error;
    EXPECT_LE(posix_file_system().list(folder + "/state", error).size(), 1U + SnapshotStore::kKeptGenerations)
        << "nothing piles up";
}

TEST_F(SystemCalls, KeepsNothingWhenNoThreadIsAvailable) {
    plan_calls({.call = "pthread_create", .error = EAGAIN});
    SnapshotWriter writer(posix_file_system(), folder + "/state", "n-1");
    const auto loaded = writer.start();
    EXPECT_EQ(faulted_calls(), 1);
    EXPECT_FALSE(loaded.snapshot);
    EXPECT_EQ(loaded.error, StateError::no_writer_thread);
    writer.post(sample(1));
    EXPECT_TRUE(writer.stop(std::chrono::milliseconds(0)));
    EXPECT_FALSE(std::filesystem::exists(folder + "/state"));
}

// A file that would grow beyond RLIMIT_FSIZE: EFBIG, with a signal whose default is the process's end.
TEST_F(SystemCalls, ReportsFileSizeLimitAsFailure) {
    const pid_t child = ::fork();
    ASSERT_GE(child, 0);
    if (child == 0) {
        SnapshotWriter writer(posix_file_system(), folder + "/state", "n-1");
        writer.start();
        rlimit limit{};
        if (::getrlimit(RLIMIT_FSIZE, &limit) != 0) ::_exit(2);
        const rlim_t soft = limit.rlim_cur;
        limit.rlim_cur = 100;
        if (::setrlimit(RLIMIT_FSIZE, &limit) != 0) ::_exit(2);
        writer.post(sample(1));
        while (writer.status().failed_saves == 0) ::usleep(1000);
        limit.rlim_cur = soft;
        if (::setrlimit(RLIMIT_FSIZE, &limit) != 0) ::_exit(2);
        writer.post(sample(2));
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
