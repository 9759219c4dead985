/// @file
/// Exit codes of the program and all its subcommands, as documented by `elmbay --help`.
#pragma once

namespace elmbay {

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;      ///< a subcommand failed
constexpr int kExitInvalidUse = 2;  ///< invalid arguments or an invalid configuration

}  // namespace elmbay
