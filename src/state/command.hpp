/// @file
/// The `state` subcommand of the command line: shows, verifies and prunes a sidecar's snapshot directory.
#pragma once

#include <CLI/CLI.hpp>
#include <functional>

namespace elmbay::state {

/// Adds the `state` command and its subcommands to `app`. If the parsed command line selects one of them,
/// `run` is set to a function that executes it and returns the exit code: 0 on success, 1 if the directory
/// has no valid snapshot or the operation fails. That function throws std::runtime_error if the directory
/// cannot be read. Both arguments must outlive the parsing.
void add_command(CLI::App& app, std::function<int()>& run);

}  // namespace elmbay::state
