/// @file
/// The file operations that SnapshotStore uses. They are an interface so that tests can make each operation
/// fail, write less than requested or lose data in a crash.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace elmbay::state {

/// Performs file operations. Each function that takes `error` sets it on failure and clears it on success.
/// The only exception that any function throws is std::bad_alloc. Paths are absolute or relative to the
/// working directory. Not thread-safe.
class FileSystem {
public:
    /// An open file. A negative value means no file.
    using Handle = int;
    static constexpr Handle kNoFile = -1;

    virtual ~FileSystem() = default;

    /// Creates a directory and its parents. An existing directory is no error.
    virtual void create_directories(const std::string& path, std::error_code& error) = 0;
    /// Returns the names in a directory, unordered. On an error the list may be incomplete.
    virtual std::vector<std::string> list(const std::string& directory, std::error_code& error) = 0;
    /// Reads at most `max_bytes` + 1 bytes of a file. A result longer than `max_bytes` means that the file is
    /// too long.
    virtual std::string read(const std::string& path, std::size_t max_bytes, std::error_code& error) = 0;
    /// Creates an empty file for writing, or truncates an existing one.
    virtual Handle create(const std::string& path, std::error_code& error) = 0;
    /// Writes to a file and returns the number of bytes written, which may be less than `bytes.size()`.
    virtual std::size_t write(Handle file, std::string_view bytes, std::error_code& error) = 0;
    /// Flushes a file to the disk. After an error it is unknown which bytes have reached the disk, and a
    /// later successful sync does not write the lost ones.
    virtual void sync(Handle file, std::error_code& error) = 0;
    /// Closes a file. Does nothing for kNoFile.
    virtual void close(Handle file) = 0;
    /// Renames a file, replacing `to` atomically.
    virtual void rename(const std::string& from, const std::string& to, std::error_code& error) = 0;
    /// Flushes a directory to the disk, so that created, renamed and removed names in it survive a crash.
    virtual void sync_directory(const std::string& path, std::error_code& error) = 0;
    /// Removes a file. A missing file is no error.
    virtual void remove(const std::string& path, std::error_code& error) = 0;
    /// Locks a file, creating it if it is missing. The lock is held until the handle is closed or the process
    /// ends. Sets errc::resource_unavailable_try_again if another process holds the lock.
    virtual Handle lock(const std::string& path, std::error_code& error) = 0;
};

/// Returns the file system of the operating system. It lives as long as the process. Calls interrupted by a
/// signal are retried.
FileSystem& posix_file_system();

}  // namespace elmbay::state
