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
    "The load-balancing sidecar of voices-archive. Receives the application's requests and balances them\n"
    "across the archive servers of the endpoint list. Runs in the foreground until SIGTERM or SIGINT;\n"
    "SIGHUP reloads the configuration file.";

constexpr const char* kFooter =
    "Environment variables:\n"
    "  RELAY_CONFIG     path of the configuration, a JSON file (README has an example)\n"
    "  RELAY_NAME, RELAY_LISTEN, RELAY_DISCOVERY  override name, listen and discovery of the file\n"
    "Exit codes: 0 normal end, 1 a subcommand failed, 2 invalid arguments or an invalid configuration.";

void add_check_command(CLI::App& app, std::function<int()>& subcommand) {
    CLI::App* const command =
        app.add_subcommand("check", "checks an operator's file and prints its problems");
    const auto path = std::make_shared<std::string>();
    command->add_option("file", *path, "path of the operator's file")->required();
    command->callback([path, &subcommand] { subcommand = [path] { return check_operator_file(*path); }; });
}

int print_keys() {
    std::cout << operator_manual();
    return kExitOk;
}

void add_keys_command(CLI::App& app, std::function<int()>& subcommand) {
    CLI::App* const command = app.add_subcommand("keys", "prints every key of the operator's file");
    command->callback([&subcommand] { subcommand = print_keys; });
}

}  // namespace

CommandLine parse_command_line(int argc, const char* const* argv) {
    CommandLine result;
    CLI::App app{kDescription};
    app.set_version_flag("--version", "elmbay " ELMBAY_VERSION);
    app.footer(kFooter);
    app.add_option("--operator", result.operator_file,
                   "path of the operator's file (TOML; `elmbay keys` prints its keys)");
    add_check_command(app, result.subcommand);
    add_keys_command(app, result.subcommand);
    state::add_command(app, result.subcommand);
    add_members_command(app, result.subcommand);
    app.require_subcommand(0, 1);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        const bool is_help_or_version = app.exit(error) == 0;
        result.exit_code = is_help_or_version ? kExitOk : kExitInvalidUse;
    }
    return result;
}

}  // namespace elmbay
