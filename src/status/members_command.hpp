/// @file
/// The subcommand `members`: prints the cluster members that a running sidecar knows, by its status socket.
#pragma once

#include <CLI/CLI.hpp>
#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <stdexcept>
#include <string>

namespace elmbay {

/// What a socket has sent is no status.
class StatusError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// Blocks until the sidecar has sent its status.
/// @param socket path of the Unix socket.
/// @return the JSON object that it has sent.
/// @throws boost::system::system_error if nothing listens there, StatusError if it is no status socket.
nlohmann::json read_status(const std::string& socket);
/// @param cluster the field "cluster" of a status.
/// @return a table for people. Members whose view differs from the sidecar's own are marked.
/// @throws nlohmann::json::exception if a field is missing.
std::string members_table(const nlohmann::json& cluster);
/// Adds the command `members`.
/// @param run set when the command is parsed: a function that runs it and returns the exit code, 0 if all is
/// well, 1 if nothing listens there or [cluster] is off.
void add_members_command(CLI::App& app, std::function<int()>& run);

}  // namespace elmbay
