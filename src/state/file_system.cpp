#include "state/file_system.hpp"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <filesystem>

namespace elmbay::state {

namespace {

std::error_code last_error() { return {errno, std::generic_category()}; }

constexpr std::size_t kReadBlockBytes = 65536;

// A signal interrupts a call once. A call that returns EINTR this many times in a row is reported as failed.
constexpr int kMaxInterrupts = 1000;

// Calls `call` again while it fails with EINTR, up to kMaxInterrupts times, and returns its last result.
template <class Call>
auto retry_interrupted(Call call) {
    auto result = call();
    for (int i = 0; i < kMaxInterrupts && result < 0 && errno == EINTR; ++i) result = call();
    return result;
}

class PosixFileSystem : public FileSystem {
public:
    void create_directories(const std::string& path, std::error_code& error) override {
        std::filesystem::create_directories(path, error);
    }
    std::vector<std::string> list(const std::string& directory, std::error_code& error) override {
        std::vector<std::string> names;
        std::filesystem::directory_iterator entry(directory, error);
        while (!error && entry != std::filesystem::directory_iterator()) {
            names.push_back(entry->path().filename().string());
            entry.increment(error);
        }
        return names;
    }
    std::string read(const std::string& path, std::size_t max_bytes, std::error_code& error) override {
        const Handle file = open(path, O_RDONLY, error);
        std::string bytes;
        std::vector<char> block(kReadBlockBytes);
        while (!error && bytes.size() <= max_bytes) {
            const std::size_t max_count = std::min(block.size(), max_bytes + 1 - bytes.size());
            const ssize_t count = retry_interrupted([&] { return ::read(file, block.data(), max_count); });
            if (count < 0) error = last_error();
            if (count <= 0) break;
            bytes.append(block.data(), static_cast<std::size_t>(count));
        }
        close(file);
        return bytes;
    }
    Handle create(const std::string& path, std::error_code& error) override {
        return open(path, O_WRONLY | O_CREAT | O_TRUNC, error);
    }
    std::size_t write(Handle file, std::string_view bytes, std::error_code& error) override {
        const ssize_t count = retry_interrupted([&] { return ::write(file, bytes.data(), bytes.size()); });
        error = count < 0 ? last_error() : std::error_code();
        return count < 0 ? 0 : static_cast<std::size_t>(count);
    }
    void sync(Handle file, std::error_code& error) override {
        error = retry_interrupted([&] { return ::fsync(file); }) == 0 ? std::error_code() : last_error();
    }
    void close(Handle file) override {
        if (file >= 0) ::close(file);  // not retried: Linux frees the descriptor even if close() fails
    }
    void rename(const std::string& from, const std::string& to, std::error_code& error) override {
        std::filesystem::rename(from, to, error);
    }
    void sync_directory(const std::string& path, std::error_code& error) override {
        const Handle directory = open(path, O_RDONLY | O_DIRECTORY, error);
        if (!error) sync(directory, error);
        close(directory);
    }
    void remove(const std::string& path, std::error_code& error) override {
        std::filesystem::remove(path, error);
    }
    Handle lock(const std::string& path, std::error_code& error) override {
        const Handle file = open(path, O_RDWR | O_CREAT, error);
        if (error || retry_interrupted([&] { return ::flock(file, LOCK_EX | LOCK_NB); }) == 0) return file;
        error = last_error();
        close(file);
        return kNoFile;
    }

private:
    static Handle open(const std::string& path, int flags, std::error_code& error) {
        const Handle file =
            retry_interrupted([&] { return ::open(path.c_str(), flags | O_CLOEXEC | O_NOFOLLOW, 0600); });
        error = file < 0 ? last_error() : std::error_code();
        return file;
    }
};

}  // namespace

FileSystem& posix_file_system() {
    static PosixFileSystem files;
    return files;
}

}  // namespace elmbay::state
