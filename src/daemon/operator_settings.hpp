/// @file
/// The operator's file on the command line: loads it for a run, or only checks it. Problems go to standard
/// error, one line each with file, line and key.
#pragma once

#include <optional>
#include <string>

#include "operator/operator_file.hpp"

namespace elmbay {

/// @param path of the file; empty: there is none, and every key has its default.
/// @return the settings; nothing if the file has problems, which are printed.
std::optional<OperatorFile> load_operator_settings(const std::string& path);

/// The subcommand `check`.
/// @return the exit code: kExitOk or kExitUnusable.
int check_operator_file(const std::string& path);

}  // namespace elmbay
