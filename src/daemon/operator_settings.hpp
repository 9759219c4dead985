/// @file
/// Loads the operator's file for a run, or only checks it. Prints each problem to standard error, on one line
/// with file, line and key.
#pragma once

#include <optional>
#include <string>

#include "operator/operator_file.hpp"

namespace elmbay {

/// Loads the operator's file and prints its problems.
/// @param path path of the file; empty if there is none, in which case every key has its default.
/// @return the settings; nothing if the file has problems.
std::optional<OperatorFile> load_operator_settings(const std::string& path);

/// Checks the operator's file for the subcommand `check`.
/// @return the exit code: kExitOk or kExitInvalidUse.
int check_operator_file(const std::string& path);

}  // namespace elmbay
