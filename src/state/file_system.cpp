#include "state/file_system.hpp"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <filesystem>

namespace elmbay::state {

namespace {

std::error_code last() { return {errno, std::generic_category()}; }

// A signal interrupts a call once; a call that gives EINTR so many times in a row is broken, and says so.
constexpr int kMaxInterrupts = 1000;

// The call's result, made again while a signal interrupts it.
template <class Call>
auto uninterrupted(Call call) {
    auto result = call();
    for (int i = 0; i < kMaxInterrupts && result < 0 && errno == EINTR; ++i) result = call();
    return result;
}

class PosixFileSystem : public FileSystem {
public:
    void create_directories(const std::string& path, std::error_code& error) override {
        std::filesystem::create_directories(path, error);
    }
    std::vector<std::string> list(const std::string& folder, std::error_code& error) override {
        std::vector<std::string> names;
        std::filesystem::directory_iterator at(folder, error);
        for (; !error && at != std::filesystem::directory_iterator(); at.increment(error))
            names.push_back(at->path().filename().string());
        return names;
    }
    std::string read(const std::string& path, std::size_t most, std::error_code& error) override {
        const Handle file = open(path, O_RDONLY, error);
        std::string bytes;
        char part[65536];
        while (!error && bytes.size() <= most) {
            const std::size_t wanted = std::min(sizeof part, most + 1 - bytes.size());
            const ssize_t n = uninterrupted([&] { return ::read(file, part, wanted); });
            if (n < 0) error = last();
            if (n <= 0) break;
            bytes.append(part, static_cast<std::size_t>(n));
        }
        close(file);
        return bytes;
    }
    Handle create(const std::string& path, std::error_code& error) override {
        return open(path, O_WRONLY | O_CREAT | O_TRUNC, error);
    }
    std::size_t write(Handle file, std::string_view bytes, std::error_code& error) override {
        const ssize_t n = uninterrupted([&] { return ::write(file, bytes.data(), bytes.size()); });
        error = n < 0 ? last() : std::error_code();
        return n < 0 ? 0 : static_cast<std::size_t>(n);
    }
    void sync(Handle file, std::error_code& error) override {
        error = uninterrupted([&] { return ::fsync(file); }) == 0 ? std::error_code() : last();
    }
    void close(Handle file) override {
        if (file >= 0) ::close(file);  // never made again: the number is free whatever it says
    }
    void rename(const std::string& from, const std::string& to, std::error_code& error) override {
        std::filesystem::rename(from, to, error);
    }
    void sync_directory(const std::string& path, std::error_code& error) override {
        const Handle folder = open(path, O_RDONLY | O_DIRECTORY, error);
        if (!error) sync(folder, error);
        close(folder);
    }
    void remove(const std::string& path, std::error_code& error) override {
        std::filesystem::remove(path, error);
    }
    Handle lock(const std::string& path, std::error_code& error) override {
        const Handle file = open(path, O_RDWR | O_CREAT, error);
        if (error || uninterrupted([&] { return ::flock(file, LOCK_EX | LOCK_NB); }) == 0) return file;
        error = last();
        close(file);
        return -1;
    }

private:
    static Handle open(const std::string& path, int flags, std::error_code& error) {
        const Handle file =
            uninterrupted([&] { return ::open(path.c_str(), flags | O_CLOEXEC | O_NOFOLLOW, 0600); });
        error = file < 0 ? last() : std::error_code();
        return file;
    }
};

}  // namespace

FileSystem& posix_file_system() {
    static PosixFileSystem files;
    return files;
}

}  // namespace elmbay::state
