/// @file
/// `state` on the command line: show, verify and prune a directory in which a sidecar keeps its snapshots.
#pragma once

#include <CLI/CLI.hpp>
#include <functional>

namespace elmbay::state {

/// Adds the command with its subcommands to `app`. Once parsed, `run` does what was asked for, if anything
/// was. It gives the exit code: 0 done, 1 no whole snapshot there or it could not be done; it throws
/// std::runtime_error for a directory that can't be read. Both arguments must outlive the parsing.
void add_command(CLI::App& app, std::function<int()>& run);

}  // namespace elmbay::state
