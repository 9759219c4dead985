// `members` on the command line: asks a running sidecar by its status socket who it holds to be there.
#pragma once

#include <CLI/CLI.hpp>
#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <stdexcept>
#include <string>

namespace elmbay {

/// A status socket can't be read.
class StatusError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// Blocks until the sidecar has told its status.
/// @param socket path of the Unix socket.
/// @return the JSON object that it tells.
/// @throws boost::system::system_error if nobody listens there, StatusError if it is no such socket.
nlohmann::json read_status(const std::string& socket);
/// @param cluster "cluster" of a status. Throws nlohmann::json::exception if a field is missing.
/// @return a table for people; members whose view differs from the sidecar's own are marked.
std::string members_table(const nlohmann::json& cluster);
/// Adds the command `members`.
/// @param run set when the command is parsed: what runs it and returns the exit status, 0 if all is well, 1
/// if
///            nobody listens there or [cluster] is off.
void add_members_command(CLI::App& app, std::function<int()>& run);

}  // namespace elmbay
