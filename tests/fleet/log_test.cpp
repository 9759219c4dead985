// The program's log: whoever reads it may go, and the requests go on.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <signal.h>
#include <sys/stat.h>
#include <unistd.h>

#include <filesystem>

#include "scenarios.hpp"

namespace elmbay::fleet {
namespace {

/// A named pipe in a folder of its own, open for reading until close_reader().
class LogPipe {
public:
    LogPipe() {
        std::string folder = (std::filesystem::temp_directory_path() / "elmbay-log-XXXXXX").string();
        if (::mkdtemp(folder.data()) == nullptr) throw std::runtime_error("no temporary folder");
        folder_ = folder;
        if (::mkfifo(path().c_str(), 0600) != 0) throw std::runtime_error("no named pipe");
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

TEST(Log, RequestsGoOnWhenItsReaderHasGone) {
    LogPipe log;
    Options options = few(1, 2);
    options.program += " 2>" + log.path();
    Fleet fleet(options);
    fleet.start();
    log.close_reader();
    // A configuration that cannot be used is one line in the log.
    fleet.process(0).write_config(nlohmann::json::array());
    for (int i = 0; i < 10; ++i) {
        fleet.process(0).signal(SIGHUP);
        const std::string id = fleet.ask(0, "listen");
        ASSERT_TRUE(fleet.until([&] { return fleet.ended(id); })) << fleet.story(id);
        EXPECT_EQ(fleet.answer(id), Ledger::Answer::served) << fleet.story(id);
    }
    EXPECT_TRUE(fleet.process(0).running());
}

}  // namespace
}  // namespace elmbay::fleet
