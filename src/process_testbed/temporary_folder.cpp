#include "process_testbed/temporary_folder.hpp"

#include <cstdlib>
#include <system_error>

namespace elmbay::process_testbed {

TemporaryFolder::TemporaryFolder(const std::string& prefix) {
    std::string name = (std::filesystem::temp_directory_path() / (prefix + "-XXXXXX")).string();
    if (::mkdtemp(name.data()) == nullptr) throw TemporaryFolderError(name);
    path_ = name;
}

TemporaryFolder::~TemporaryFolder() {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
}

}  // namespace elmbay::process_testbed
