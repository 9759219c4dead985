// Tests the program while writes to its state folder fail. A limit on the file size (RLIMIT_FSIZE, which cuts
// a write short and then fails with EFBIG and a signal) emulates a disk that is full for a while.
#include <sys/resource.h>

#include <algorithm>
#include <fstream>

#include "scenarios.hpp"
#include "state/snapshot_store.hpp"

namespace elmbay::process_testbed {
namespace {

using Outcome = RequestHistory::Outcome;

constexpr std::size_t kServers = 8;  // makes a snapshot larger than the log

class StateFolder : public ::testing::Test {
protected:
    void SetUp() override {
        ASSERT_NE(::mkdtemp(folder.data()), nullptr);
        testbed.start();
        testbed.kill(0);
        restart_with_state_folder();
        serve_thirty_requests();
        ASSERT_TRUE(testbed.run_until([&] { return newest_snapshot_ms() > 0; })) << log();
    }
    void TearDown() override { std::filesystem::remove_all(folder); }

    void restart_with_state_folder() {
        testbed.restart(0, "", "[state]\nfolder = \"" + folder + "\"\nevery = \"100ms\"\n");
        ASSERT_TRUE(testbed.run_until([&] { return testbed.is_ready(0); })) << log();
    }
    // Sends thirty requests and checks that all are served.
    void serve_thirty_requests() {
        std::vector<std::string> ids;
        for (int i = 0; i < 10; ++i)
            for (const char* request_class : {"listen", "deposit", "annotate"})
                ids.push_back(testbed.send_request(0, request_class));
        ASSERT_TRUE(testbed.run_until_idle()) << testbed.describe_failure() << log();
        for (const std::string& id : ids)
            ASSERT_EQ(testbed.outcome(id), Outcome::served) << testbed.describe_failure(id);
    }
    // Limits the size of files that the running program writes, in bytes; none: removes the limit.
    void limit_files(std::optional<rlim_t> bytes) {
        rlimit limit{};
        const pid_t pid = testbed.process(0).pid();
        ASSERT_EQ(::prlimit(pid, RLIMIT_FSIZE, nullptr, &limit), 0);
        limit.rlim_cur = bytes ? *bytes : limit.rlim_max;
        ASSERT_EQ(::prlimit(pid, RLIMIT_FSIZE, &limit, nullptr), 0);
    }
    std::string log() {
        std::ifstream file(testbed.process(0).log_path());
        return {std::istreambuf_iterator<char>(file), {}};
    }
    std::size_t count_in_log(const std::string& searched) {
        const std::string text = log();
        std::size_t count = 0;
        for (std::size_t position = 0; (position = text.find(searched, position)) != std::string::npos;
             ++position)
            ++count;
        return count;
    }
    // Returns the wall-clock time in milliseconds of the newest complete snapshot; 0 if there is none.
    std::int64_t newest_snapshot_ms() const {
        std::int64_t newest_ms = 0;
        for (const auto& entry : state::list_generations(state::posix_file_system(), folder).files)
            if (entry.content.snapshot)
                newest_ms = std::max(newest_ms, entry.content.snapshot->taken_at.wall_ms);
        return newest_ms;
    }

    std::string folder = (std::filesystem::temp_directory_path() / "elmbay-folder-XXXXXX").string();
    ProcessTestbed testbed{small_testbed(1, kServers)};
};

TEST_F(StateFolder, LogsAWriteFailureOnceServesMeanwhileAndRecovers) {
    limit_files(std::filesystem::file_size(testbed.process(0).log_path()) + 200);
    for (int i = 0; i < 3; ++i) serve_thirty_requests();
    ASSERT_TRUE(testbed.run_until([&] { return count_in_log("event=write_failed") > 0; })) << log();
    const std::int64_t newest_before = newest_snapshot_ms();
    serve_thirty_requests();
    ASSERT_TRUE(testbed.run_for(1000)) << "a violation or crash during ten more failed writes";
    EXPECT_EQ(count_in_log("event=write_failed"), 1U) << log();
    EXPECT_EQ(newest_snapshot_ms(), newest_before) << "a partial write replaced the last snapshot";

    limit_files({});
    ASSERT_TRUE(testbed.run_until([&] { return count_in_log("event=write_recovered") > 0; })) << log();
    EXPECT_GT(newest_snapshot_ms(), newest_before);
    serve_thirty_requests();
    EXPECT_EQ(count_in_log("event=write_failed"), 1U) << log();
    EXPECT_EQ(count_in_log("event=write_recovered"), 1U) << log();
    ASSERT_TRUE(testbed.run_until_idle()) << testbed.describe_failure();
}

// The log may be on the same full disk. A line that cannot be written is lost, but the program and later
// lines are not.
TEST_F(StateFolder, KeepsRunningWhenNeitherStateNorLogCanBeWritten) {
    limit_files(0);
    for (int i = 0; i < 3; ++i) serve_thirty_requests();
    ASSERT_TRUE(testbed.run_for(500)) << "a violation or crash during five failed writes";
    EXPECT_TRUE(testbed.is_running(0));
    limit_files({});
    ASSERT_TRUE(testbed.run_until([&] { return count_in_log("event=write_recovered") > 0; })) << log();
    ASSERT_TRUE(testbed.run_until_idle()) << testbed.describe_failure();
}

TEST_F(StateFolder, KeepsTheLastWholeSnapshotWhenKilledWhileWritesFail) {
    limit_files(std::filesystem::file_size(testbed.process(0).log_path()) + 200);
    for (int i = 0; i < 3; ++i) serve_thirty_requests();
    ASSERT_TRUE(testbed.run_until([&] { return count_in_log("event=write_failed") > 0; })) << log();
    const std::int64_t newest_before = newest_snapshot_ms();
    testbed.kill(0);
    EXPECT_EQ(newest_snapshot_ms(), newest_before);
    restart_with_state_folder();
    serve_thirty_requests();
    ASSERT_TRUE(testbed.run_until([&] { return newest_snapshot_ms() > newest_before; })) << log();
    ASSERT_TRUE(testbed.run_until_idle()) << testbed.describe_failure();
}

}  // namespace
}  // namespace elmbay::process_testbed
