#include "daemon/operator_settings.hpp"

#include <iostream>

#include "daemon/exit_code.hpp"

namespace elmbay {

std::optional<OperatorFile> load_operator_settings(const std::string& path) {
    if (path.empty()) return OperatorFile{};
    schema::Problems problems;
    OperatorFile settings = read_operator_file(path, problems);
    std::cerr << schema::format_problems(path, problems);
    if (!problems.empty()) return {};
    return settings;
}

int check_operator_file(const std::string& path) {
    schema::Problems problems;
    read_operator_file(path, problems);
    std::cerr << schema::format_problems(path, problems);
    if (!problems.empty()) return kExitInvalidUse;
    std::cout << path << ": no problems found" << std::endl;
    return kExitOk;
}

}  // namespace elmbay
