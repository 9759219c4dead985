// The file operations that the store needs, so that tests can fail, shorten and lose each of them.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace elmbay::state {

// Every function sets `error` to what went wrong, or clears it. Paths are whole.
class FileSystem {
public:
    using Handle = int;  // less than 0: none
    virtual ~FileSystem() = default;

    virtual void create_directories(const std::string& path, std::error_code& error) = 0;
    virtual std::vector<std::string> list(const std::string& folder, std::error_code& error) = 0;
    // Up to `most` bytes and one more, so that a file that is too long shows.
    virtual std::string read(const std::string& path, std::size_t most, std::error_code& error) = 0;
    virtual Handle create(const std::string& path, std::error_code& error) = 0;  // empty, for writing
    // May write less than all of it.
    virtual std::size_t write(Handle file, std::string_view bytes, std::error_code& error) = 0;
    virtual void sync(Handle file, std::error_code& error) = 0;
    virtual void close(Handle file) = 0;
    virtual void rename(const std::string& from, const std::string& to, std::error_code& error) = 0;
    virtual void sync_directory(const std::string& path, std::error_code& error) = 0;
    virtual void remove(const std::string& path, std::error_code& error) = 0;
    // Held until closed, or the process ends. errc::resource_unavailable_try_again: another process has it.
    virtual Handle lock(const std::string& path, std::error_code& error) = 0;
};

// The machine's own.
FileSystem& posix_file_system();

}  // namespace elmbay::state
