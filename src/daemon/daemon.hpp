/// @file
/// Runs the sidecar process from reading the configuration to closing the last connection.
#pragma once

#include <string>

namespace elmbay {

/// Runs the sidecar in the foreground until SIGTERM or SIGINT.
/// @param operator_file path of the operator's file; empty if there is none.
/// @return the exit code: kExitOk after a graceful shutdown; kExitInvalidUse if the sidecar can't start, with
/// the reason on standard error.
int run_daemon(const std::string& operator_file);

}  // namespace elmbay
