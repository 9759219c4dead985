// Tests that the program keeps serving requests when the reader of its log closes the pipe.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <signal.h>
#include <sys/stat.h>
#include <unistd.h>

#include <filesystem>

#include "scenarios.hpp"

namespace elmbay::process_testbed {
namespace {

/// A named pipe in a temporary folder. Its read end is open until close_reader().
class LogPipe {
public:
    LogPipe() {
        std::string folder = (std::filesystem::temp_directory_path() / "elmbay-log-XXXXXX").string();
        if (::mkdtemp(folder.data()) == nullptr)
            throw std::runtime_error("the temporary folder could not be created");
        folder_ = folder;
        if (::mkfifo(path().c_str(), 0600) != 0)
            throw std::runtime_error("the named pipe could not be created");
        reader_ = ::open(path().c_str(), O_RDONLY | O_NONBLOCK | O_CLOEXEC);
    }
    ~LogPipe() {
        close_reader();
        std::filesystem::remove_all(folder_);
    }
    LogPipe(const LogPipe&) = delete;
    LogPipe& operator=(const LogPipe&) = delete;

    std::string path() const { return (folder_ / "log").string(); }
    void close_reader() {
        if (reader_ >= 0) ::close(reader_);
        reader_ = -1;
    }

private:
    std::filesystem::path folder_;
    int reader_ = -1;
};

TEST(Log, ServesRequestsAfterTheReaderOfTheLogHasClosed) {
    LogPipe log;
    Options options = small_testbed(1, 2);
    options.program += " 2>" + log.path();
    ProcessTestbed testbed(options);
    testbed.start();
    log.close_reader();
    // An invalid configuration adds one line to the log.
    testbed.process(0).write_config(nlohmann::json::array());
    for (int i = 0; i < 10; ++i) {
        testbed.process(0).signal(SIGHUP);
        const std::string id = testbed.send_request(0, "listen");
        ASSERT_TRUE(testbed.run_until([&] { return testbed.has_ended(id); })) << testbed.describe_failure(id);
        EXPECT_EQ(testbed.outcome(id), RequestHistory::Outcome::served) << testbed.describe_failure(id);
    }
    EXPECT_TRUE(testbed.process(0).is_running());
}

}  // namespace
}  // namespace elmbay::process_testbed
