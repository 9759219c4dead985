// A process is killed while it writes, again and again: what it leaves is a whole state, and never an older
// one than it was told is kept. ELMBAY_KILLS sets how often (bench/state_kill.sh: a thousand).
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <random>

#include "load_text.hpp"
#include "samples.hpp"
#include "state/snapshot_store.hpp"

namespace elmbay::state {
namespace {

using test::round_of;
using test::sample;

constexpr int kServers = 200;  // so that a write takes a while to be cut in

// Saves one round after another and tells each that is kept; ends by being killed.
[[noreturn]] void write_for_ever(const std::string& folder, int from, int told) {
    SnapshotStore store(posix_file_system(), folder, "n-1");
    if (store.open()) ::_exit(3);
    store.load();
    for (int round = from;; ++round) {
        if (store.save(sample(round, kServers))) ::_exit(4);
        if (::write(told, &round, sizeof round) != sizeof round) ::_exit(5);
    }
}

TEST(KilledWriter, DuringWritesLoadsWholeSnapshotNoOlderThanReported) {
    const char* asked = std::getenv("ELMBAY_KILLS");
    const int kills = asked ? std::atoi(asked) : 40;
    std::string folder = (std::filesystem::temp_directory_path() / "elmbay-killed-XXXXXX").string();
    ASSERT_NE(::mkdtemp(folder.data()), nullptr);
    std::mt19937_64 random(20261201);
    int kept = 0, torn = 0, newer = 0, generations = 0;
    for (int kill = 0; kill < kills; ++kill) {
        int told[2];
        ASSERT_EQ(::pipe(told), 0);
        const pid_t child = ::fork();
        ASSERT_GE(child, 0);
        if (child == 0) {
            ::close(told[0]);
            write_for_ever(folder, kept + 1, told[1]);
        }
        ::close(told[1]);
        // After so many saves, and then somewhere within the next one.
        const auto saves = static_cast<int>(random() % 12);
        int round = 0;
        for (int i = 0; i < saves && ::read(told[0], &round, sizeof round) == sizeof round; ++i) kept = round;
        ::usleep(static_cast<useconds_t>(random() % 3000));
        ::kill(child, SIGKILL);
        int status = 0;
        ASSERT_EQ(::waitpid(child, &status, 0), child);
        ASSERT_TRUE(WIFSIGNALED(status)) << "it ended by itself: " << WEXITSTATUS(status);
        while (::read(told[0], &round, sizeof round) == sizeof round) kept = round;
        ::close(told[0]);

        SnapshotStore store(posix_file_system(), folder, "n-1");
        ASSERT_FALSE(store.open()) << "a dead process holds no lock";
        const LoadResult loaded = store.load();
        if (kept == 0 && !loaded.snapshot) continue;
        ASSERT_TRUE(loaded.snapshot) << test::text_of(loaded);
        const int found = round_of(*loaded.snapshot);
        ASSERT_GE(found, kept) << "a mix, or older than what was told; " << test::text_of(loaded);
        ASSERT_LE(found, kept + 1);
        torn += !loaded.notes.empty();
        newer += found > kept;
        kept = found;
    }
    for (const GenerationFile& file : list_generations(posix_file_system(), folder).files)
        generations = std::max(generations, static_cast<int>(file.content.generation));
    std::printf(
        "%d kills: round %d, generation %d; %d torn tails or files passed over, %d states newer than told\n",
        kills, kept, generations, torn, newer);
    std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace elmbay::state
