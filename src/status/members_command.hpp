// `members` on the command line: asks a running sidecar by its status socket who it holds to be there.
#pragma once

#include <CLI/CLI.hpp>
#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace elmbay {

// What a status socket tells. Throws std::runtime_error if nobody listens there or it is no such socket.
nlohmann::json read_status(const std::string& socket);
// "cluster" of a status as a table; whose view differs from the sidecar's own is marked.
std::string members_table(const nlohmann::json& cluster);
// Adds the command. Once parsed, run does it: 0 ok, 1 nobody listens there or [cluster] is off.
void add_members_command(CLI::App& app, std::function<int()>& run);

}  // namespace elmbay
