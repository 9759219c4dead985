// `state` on the command line: show, verify and prune a folder in which a sidecar keeps what it has learned.
#pragma once

#include <CLI/CLI.hpp>
#include <functional>

namespace elmbay::state {

// Adds the command with its subcommands. Once parsed, run does what was asked for, if anything was: 0 ok, 1
// no whole state there or it could not be done.
void add_command(CLI::App& app, std::function<int()>& run);

}  // namespace elmbay::state
