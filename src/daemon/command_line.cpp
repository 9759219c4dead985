#include "daemon/command_line.hpp"

#include <CLI/CLI.hpp>
#include <iostream>
#include <memory>

#include "daemon/exit_code.hpp"
#include "daemon/operator_settings.hpp"
#include "operator/operator_file.hpp"
#include "state/command.hpp"
#include "status/members_command.hpp"

namespace elmbay {

namespace {

constexpr const char* kDescription =
    "The sidecar of voices-archive: takes the application's requests, balances them over the archive\n"
    "servers that discovery names. Runs in the foreground until SIGTERM; SIGHUP re-reads the file.";

constexpr const char* kFooter =
    "What it is told comes by the environment:\n"
    "  RELAY_CONFIG     the configuration, a JSON file (README has a small one)\n"
    "  RELAY_NAME, RELAY_LISTEN, RELAY_DISCOVERY  in place of name, listen and discovery there\n"
    "Exit: 0 ended as told, 1 a command's work failed, 2 wrong use or a configuration that can't be "
    "used.";

void add_check_command(CLI::App& app, std::function<int()>& subcommand) {
    CLI::App* const command = app.add_subcommand("check", "says what is wrong with an operator's file");
    const auto path = std::make_shared<std::string>();
    command->add_option("file", *path, "the file")->required();
    command->callback([path, &subcommand] { subcommand = [path] { return check_operator_file(*path); }; });
}

int print_keys() {
    std::cout << operator_manual();
    return kExitOk;
}

void add_keys_command(CLI::App& app, std::function<int()>& subcommand) {
    CLI::App* const command = app.add_subcommand("keys", "every key of the operator's file");
    command->callback([&subcommand] { subcommand = print_keys; });
}

}  // namespace

CommandLine parse_command_line(int argc, const char* const* argv) {
    CommandLine result;
    CLI::App app{kDescription};
    app.set_version_flag("--version", "elmbay " ELMBAY_VERSION);
    app.footer(kFooter);
    app.add_option("--operator", result.operator_file,
                   "the operator's own file (TOML; `elmbay keys` lists what it may say)");
    add_check_command(app, result.subcommand);
    add_keys_command(app, result.subcommand);
    state::add_command(app, result.subcommand);
    add_members_command(app, result.subcommand);
    app.require_subcommand(0, 1);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        const bool is_help_or_version = app.exit(error) == 0;
        result.exit_code = is_help_or_version ? kExitOk : kExitUnusable;
    }
    return result;
}

}  // namespace elmbay
