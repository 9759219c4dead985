/// @file
/// Exit codes of the program and all its subcommands. `elmbay --help` promises them.
#pragma once

namespace elmbay {

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;    ///< a subcommand could not do its work
constexpr int kExitUnusable = 2;  ///< wrong use, or a configuration that can't be used

}  // namespace elmbay
