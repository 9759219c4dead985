// Tests that a snapshot file of an earlier release still decodes, field by field.
//
// Commit 689f46a wrote data/689f46a/ with three saves of five servers in one generation. The third save no
// longer contained the second server.
#include <gtest/gtest.h>

#include <filesystem>

#include "load_result_text.hpp"
#include "state/snapshot_store.hpp"

namespace elmbay::state {
namespace {

TEST(OldSnapshot, LoadsSnapshotWrittenByCommit689f46a) {
    const std::filesystem::path fixture = std::filesystem::path(STATE_TEST_DATA) / "689f46a";
    std::string directory = (std::filesystem::temp_directory_path() / "elmbay-old-XXXXXX").string();
    ASSERT_NE(::mkdtemp(directory.data()), nullptr);
    std::filesystem::copy(fixture, directory, std::filesystem::copy_options::recursive);
    {
        SnapshotStore store(posix_file_system(), directory, "n-1");
        ASSERT_FALSE(store.open());
        const LoadResult loaded = store.load();
        EXPECT_EQ(test::describe_load(loaded), "");
        ASSERT_TRUE(loaded.snapshot);
        const Snapshot& snapshot = *loaded.snapshot;
        EXPECT_EQ(snapshot.instance, "n-1");
        EXPECT_EQ(snapshot.taken_at.wall_ms, 1700000000003);
        EXPECT_EQ(snapshot.taken_at.since_boot_ms, 5003);
        for (std::size_t i = 0; i < snapshot.taken_at.boot_id.size(); ++i)
            EXPECT_EQ(snapshot.taken_at.boot_id[i], i + 1);
        EXPECT_EQ(snapshot.learned_state.concurrency_limit, 43.5);
        EXPECT_EQ(snapshot.learned_state.learned_limit, 83.25);
        EXPECT_EQ(snapshot.learned_state.learned_limit_warm_servers, 7);
        EXPECT_EQ(snapshot.learned_state.completion_rate, 0.125);
        EXPECT_EQ(snapshot.learned_state.retries_left, 6.5);
        EXPECT_EQ(snapshot.learned_state.load_ratio.value, 0.75);
        EXPECT_EQ(snapshot.learned_state.load_ratio.weight, 3);
        EXPECT_EQ(snapshot.learned_state.load_ratio.last_sample_age_ms, 250);
        EXPECT_EQ(snapshot.server_uids, (std::vector<std::string>{"s-0", "s-2", "s-3", "s-4"}));
        ASSERT_EQ(snapshot.learned_state.servers.size(), 4U);
        for (std::size_t i = 0; i < 4; ++i) {
            const balancer::LearnedServerState& server = snapshot.learned_state.servers[i];
            const auto number = static_cast<unsigned>(snapshot.server_uids[i][2] - '0');
            EXPECT_EQ(server.server, i);
            EXPECT_EQ(server.online_since, 1699999990000.0 + number);
            EXPECT_EQ(server.outcome_bits, 0xF0F0U >> number);
            EXPECT_EQ(server.outcome_count, 16 + number);
            EXPECT_EQ(server.slow_start_tokens, 0.5);
            EXPECT_EQ(server.ejection_remaining_ms, number == 4 ? std::optional<double>(2503) : std::nullopt);
        }
        ASSERT_FALSE(store.save(snapshot)) << "the next generation is written to the same directory";
        EXPECT_EQ(store.generation(), 2U);
    }
    std::filesystem::remove_all(directory);
}

}  // namespace
}  // namespace elmbay::state
