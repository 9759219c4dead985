/// @file
/// Parses the command line of elmbay: options, subcommands and help.
#pragma once

#include <functional>
#include <optional>
#include <string>

namespace elmbay {

/// The parsed command line.
struct CommandLine {
    std::optional<int>
        exit_code;  ///< set if the process must exit at once (help, version or invalid arguments)
    std::function<int()> subcommand;  ///< returns the exit code and may throw; empty if the sidecar is to run
    std::string operator_file;        ///< path from --operator; empty if not given
};

/// Parses the arguments. Prints the help, the version, or the error if the arguments are invalid.
CommandLine parse_command_line(int argc, const char* const* argv);

}  // namespace elmbay
