/// @file
/// The file operations that the store needs, behind an interface so that tests can fail, shorten and lose
/// each of them.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace elmbay::state {

/// Every function sets `error` to what went wrong, or clears it; none throws but std::bad_alloc. Paths are
/// absolute or relative to the working directory. One thread at a time.
class FileSystem {
public:
    /// An open file; less than 0: none.
    using Handle = int;
    static constexpr Handle kNoFile = -1;

    virtual ~FileSystem() = default;

    /// With its parents; no error if it is there already.
    virtual void create_directories(const std::string& path, std::error_code& error) = 0;
    /// The names in it, in no order. With an error they may be some of them only.
    virtual std::vector<std::string> list(const std::string& directory, std::error_code& error) = 0;
    /// Up to `max_bytes` and one more, so that a file that is too long shows.
    virtual std::string read(const std::string& path, std::size_t max_bytes, std::error_code& error) = 0;
    /// An empty file for writing, whatever was there.
    virtual Handle create(const std::string& path, std::error_code& error) = 0;
    /// How many bytes were taken: may be fewer than all of them.
    virtual std::size_t write(Handle file, std::string_view bytes, std::error_code& error) = 0;
    /// After an error it is not known what has reached the disk, and a second sync does not make up for it.
    virtual void sync(Handle file, std::error_code& error) = 0;
    /// Nothing for kNoFile.
    virtual void close(Handle file) = 0;
    /// Takes the place of `to` in one step.
    virtual void rename(const std::string& from, const std::string& to, std::error_code& error) = 0;
    /// Makes the names in a directory last.
    virtual void sync_directory(const std::string& path, std::error_code& error) = 0;
    /// A name that is not there is no error.
    virtual void remove(const std::string& path, std::error_code& error) = 0;
    /// Held until closed, or the process ends. errc::resource_unavailable_try_again: another process has it.
    virtual Handle lock(const std::string& path, std::error_code& error) = 0;
};

/// The machine's own; lives as long as the program. Calls that a signal interrupts are made again.
FileSystem& posix_file_system();

}  // namespace elmbay::state
