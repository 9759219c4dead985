/// @file
/// The sidecar as a process: from the configuration to the last connection.
#pragma once

#include <string>

namespace elmbay {

/// Runs the sidecar in the foreground until SIGTERM or SIGINT.
/// @param operator_file path of the operator's file; empty: none.
/// @return the exit code: kExitOk after a graceful shutdown, kExitUnusable if it can't start, with the reason
/// on standard error.
int run_daemon(const std::string& operator_file);

}  // namespace elmbay
