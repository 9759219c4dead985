// A folder that is removed with the object that made it.
#pragma once

#include <filesystem>
#include <stdexcept>
#include <string>

namespace elmbay::process_testbed {

/// A temporary folder could not be made.
class TemporaryFolderError : public std::runtime_error {
public:
    explicit TemporaryFolderError(const std::string& path) : std::runtime_error(path + ": can't be made") {}
};

/// A new folder below the system's folder for temporary files. The destructor removes it and what is in it.
class TemporaryFolder {
public:
    /// @param prefix the folder's name begins with it.
    /// @throws TemporaryFolderError
    explicit TemporaryFolder(const std::string& prefix);
    ~TemporaryFolder();
    TemporaryFolder(const TemporaryFolder&) = delete;
    TemporaryFolder& operator=(const TemporaryFolder&) = delete;

    const std::filesystem::path& path() const { return path_; }

private:
    std::filesystem::path path_;
};

}  // namespace elmbay::process_testbed
