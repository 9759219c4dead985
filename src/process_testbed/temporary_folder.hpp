// A temporary folder that exists as long as its object.
#pragma once

#include <filesystem>
#include <stdexcept>
#include <string>

namespace elmbay::process_testbed {

/// The temporary folder could not be created.
class TemporaryFolderError : public std::runtime_error {
public:
    explicit TemporaryFolderError(const std::string& path)
        : std::runtime_error(path + ": the temporary folder could not be created") {}
};

/// A new folder in the system's folder for temporary files. The destructor removes it with its content.
class TemporaryFolder {
public:
    /// @param prefix beginning of the folder's name.
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
