/// @file
/// The subcommand `members`, which prints the member table of a running sidecar from its status socket.
#pragma once

#include <CLI/CLI.hpp>
#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <stdexcept>
#include <string>

namespace elmbay {

/// A socket did not return a valid status.
class StatusError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// Reads the status of a sidecar. Blocks until the sidecar closes the connection.
/// @param socket_path path of the Unix socket.
/// @return the status as a JSON object.
/// @throws boost::system::system_error if the connection fails, StatusError if the response is not a JSON
/// object.
nlohmann::json read_status(const std::string& socket_path);
/// @param cluster the field "cluster" of a status.
/// @return the members as a text table, which marks members whose view differs from the sidecar's own.
/// @throws nlohmann::json::exception if a field is missing.
std::string format_members_table(const nlohmann::json& cluster);
/// Adds the subcommand `members`.
/// @param run set when the subcommand is parsed, to a function that runs it. The function returns the exit
/// code: 0 on success, 1 if the status can't be read or [cluster] is off.
void add_members_command(CLI::App& app, std::function<int()>& run);

}  // namespace elmbay
