/// @file
/// The main program of elmbay: runs a subcommand or the sidecar.
#include <exception>
#include <functional>
#include <iostream>

#include "daemon/command_line.hpp"
#include "daemon/daemon.hpp"
#include "daemon/exit_code.hpp"

namespace {

int run_subcommand(const std::function<int()>& subcommand) {
    try {
        return subcommand();
    } catch (const std::exception& error) {
        std::cerr << "elmbay: " << error.what() << std::endl;
        return elmbay::kExitFailed;
    }
}

}  // namespace

int main(int argc, char** argv) {
    const elmbay::CommandLine command_line = elmbay::parse_command_line(argc, argv);
    if (command_line.exit_code) return *command_line.exit_code;
    if (command_line.subcommand) return run_subcommand(command_line.subcommand);
    return elmbay::run_daemon(command_line.operator_file);
}
