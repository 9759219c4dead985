// Tests that a process killed during writes leaves a complete snapshot that is no older than the last one
// whose save returned success. ELMBAY_KILLS sets the number of kills (bench/state.sh uses 1000).
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <random>

#include "load_result_text.hpp"
#include "samples.hpp"
#include "state/snapshot_store.hpp"

namespace elmbay::state {
namespace {

using test::make_snapshot;
using test::round_of;

constexpr int kServers = 200;  // many, so that writes take long enough for a kill to interrupt them

// Saves one round after another and writes the number of each saved round to the pipe, until it is killed.
[[noreturn]] void save_until_killed(const std::string& directory, int first_round, int report_descriptor) {
    SnapshotStore store(posix_file_system(), directory, "n-1");
    if (store.open()) ::_exit(3);
    store.load();
    for (int round = first_round;; ++round) {
        if (store.save(make_snapshot(round, kServers))) ::_exit(4);
        if (::write(report_descriptor, &round, sizeof round) != sizeof round) ::_exit(5);
    }
}

TEST(KilledWriter, LeavesCompleteSnapshotNoOlderThanReported) {
    const char* kills_variable = std::getenv("ELMBAY_KILLS");
    const int kills = kills_variable ? std::atoi(kills_variable) : 40;
    std::string directory = (std::filesystem::temp_directory_path() / "elmbay-killed-XXXXXX").string();
    ASSERT_NE(::mkdtemp(directory.data()), nullptr);
    std::mt19937_64 random(20261201);
    int last_reported = 0, loads_with_warnings = 0, newer_than_reported = 0, generations = 0;
    for (int kill = 0; kill < kills; ++kill) {
        int report_pipe[2];
        ASSERT_EQ(::pipe(report_pipe), 0);
        const pid_t child = ::fork();
        ASSERT_GE(child, 0);
        if (child == 0) {
            ::close(report_pipe[0]);
            save_until_killed(directory, last_reported + 1, report_pipe[1]);
        }
        ::close(report_pipe[1]);
        // Kills the process at a random time after a random number of saves.
        const auto saves = static_cast<int>(random() % 12);
        int round = 0;
        for (int i = 0; i < saves && ::read(report_pipe[0], &round, sizeof round) == sizeof round; ++i)
            last_reported = round;
        ::usleep(static_cast<useconds_t>(random() % 3000));
        ::kill(child, SIGKILL);
        int status = 0;
        ASSERT_EQ(::waitpid(child, &status, 0), child);
        ASSERT_TRUE(WIFSIGNALED(status))
            << "the process exited before the kill with code " << WEXITSTATUS(status);
        while (::read(report_pipe[0], &round, sizeof round) == sizeof round) last_reported = round;
        ::close(report_pipe[0]);

        SnapshotStore store(posix_file_system(), directory, "n-1");
        ASSERT_FALSE(store.open()) << "the lock of the killed process is released";
        const LoadResult loaded = store.load();
        if (last_reported == 0 && !loaded.snapshot) continue;
        ASSERT_TRUE(loaded.snapshot) << test::describe_load(loaded);
        const int loaded_round = round_of(*loaded.snapshot);
        ASSERT_GE(loaded_round, last_reported)
            << "mixed rounds, or older than the last reported save; " << test::describe_load(loaded);
        ASSERT_LE(loaded_round, last_reported + 1);
        loads_with_warnings += !loaded.warnings.empty();
        newer_than_reported += loaded_round > last_reported;
        last_reported = loaded_round;
    }
    for (const GenerationFile& file : list_generations(posix_file_system(), directory).files)
        generations = std::max(generations, static_cast<int>(file.content.generation));
    std::printf(
        "%d kills: round %d, generation %d; %d loads with warnings, %d snapshots newer than reported\n",
        kills, last_reported, generations, loads_with_warnings, newer_than_reported);
    std::filesystem::remove_all(directory);
}

}  // namespace
}  // namespace elmbay::state
