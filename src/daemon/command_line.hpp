/// @file
/// The command line of elmbay: options, subcommands, help.
#pragma once

#include <functional>
#include <optional>
#include <string>

namespace elmbay {

/// What the command line asks for.
struct CommandLine {
    std::optional<int> exit_code;     ///< set: the program ends at once (help, version, wrong use)
    std::function<int()> subcommand;  ///< returns the exit code; may throw; empty: run the sidecar
    std::string operator_file;        ///< path given by --operator; empty: none
};

/// Prints help, version or what is wrong with the arguments.
CommandLine parse_command_line(int argc, const char* const* argv);

}  // namespace elmbay
