#include "operator/operator_file.hpp"

#include <algorithm>
#include <fstream>
#include <functional>
#include <utility>
#include <vector>

namespace elmbay {

namespace {

using schema::Key;
using schema::ProblemReason;
using schema::Problems;
using schema::Unit;

/// Maximum size of the file. It is far larger than any real file, and keeps a wrong path from filling the
/// memory.
constexpr std::streamsize kMaxFileBytes = 1 << 20;

// ---- Keys of each table ------------------------------------------------------------------------

// Limits of values. Limits of durations are in milliseconds.
constexpr double kMaxMembers = 30000;    ///< as many as the platform's configuration may list (kMaxPeers)
constexpr double kMaxSessions = 100000;  ///< far more than descriptors allow
constexpr double kMillisPerMinute = 60000;
constexpr double kMillisPerHour = 3600000;
constexpr double kMillisPerDay = 86400000;
constexpr double kMaxMessageBytes = 1 << 30;
constexpr double kMinMessageBytes = 125;  ///< payload of the longest WebSocket control frame (RFC 6455, 5.5)
constexpr double kMaxRelayBufferBytes = 1 << 24;
constexpr double kMinRelayBufferBytes = 512;

const std::vector<Key<StateSettings>> kStateKeys{
    {"folder", Unit::word, &StateSettings::directory, "\"\"",
     "directory for learned state that survives restarts, one for each sidecar; empty: nothing is saved"},
    {"every", Unit::duration, &StateSettings::save_interval, "\"2s\"",
     "interval between saves of changed state; a kill loses what was learned since the last save", 100,
     kMillisPerHour}};

const std::vector<Key<StatusSettings>> kStatusKeys{
    {"socket", Unit::word, &StatusSettings::socket, "\"\"",
     "path of a Unix socket that returns the status of this sidecar as JSON; empty: no status socket"}};

const std::vector<Key<cluster::Settings>> kClusterKeys{
    {"on", Unit::flag, &cluster::Settings::on, "false",
     "whether this sidecar joins the cluster of its siblings; if not, it sends and receives no datagrams"},
    {"listen", Unit::word, &cluster::Settings::listen, "peer_listen",
     "address:port for datagrams; overrides the platform's configuration"},
    {"peers", Unit::words, &cluster::Settings::peers, "peers",
     "address:port of each sidecar in the order of their numbers, including this sidecar"},
    {"number", Unit::count, &cluster::Settings::number, "my-number", "index of this sidecar in peers, from 0",
     0, kMaxMembers},
    {"period", Unit::duration, &cluster::Settings::period, "\"1s\"",
     "interval between probes; a failure is detected within a few intervals, at two datagrams per interval",
     100, kMillisPerMinute}};

const std::vector<Key<ClockSkewSettings>> kProofKeys{
    {"clock_ahead", Unit::duration, &ClockSkewSettings::clock_ahead, "\"0s\"",
     "for tests: how far the clock of this process is ahead of the host's clock", 0, kMillisPerDay},
    {"clock_behind", Unit::duration, &ClockSkewSettings::clock_behind, "\"0s\"",
     "for tests: how far the clock of this process is behind the host's clock", 0, kMillisPerDay}};

using Websocket = websocket::Settings;

const std::vector<Key<Websocket>> kWebsocketKeys{
    {"on", Unit::flag, &Websocket::enabled, "false",
     "whether clients may upgrade to WebSocket; if not, the header `Upgrade` is ignored"},
    {"origins", Unit::words, &Websocket::allowed_origins, "[]",
     "accepted values of a browser's `Origin` header; empty: all are accepted"},
    {"most", Unit::count, &Websocket::max_sessions, "500",
     "maximum number of sessions; each needs two sockets, and sessions get at most half of the sockets", 0,
     kMaxSessions},
    {"most_at_server", Unit::count, &Websocket::max_sessions_per_server, "250",
     "maximum number of sessions with one server", 1, kMaxSessions},
    {"most_of_client", Unit::count, &Websocket::max_sessions_per_client, "500",
     "maximum number of sessions from one client address", 1, kMaxSessions},
    {"most_message", Unit::size, &Websocket::max_message_bytes, "\"1MiB\"",
     "maximum length of a message; a longer message closes its session (1009)", kMinMessageBytes,
     kMaxMessageBytes},
    {"waiting", Unit::size, &Websocket::relay_buffer_bytes, "\"4KiB\"",
     "buffer for data read from one side and not yet written to the other; reading pauses while it is full",
     kMinRelayBufferBytes, kMaxRelayBufferBytes},
    {"handshake", Unit::duration, &Websocket::handshake_timeout, "\"3s\"",
     "time for a client to receive the handshake response, and for either side to answer a close frame", 10,
     kMillisPerHour},
    {"idle", Unit::duration, &Websocket::idle_timeout, "\"60s\"",
     "time without data after which a session closes; a ping is sent after half of it", 100, kMillisPerHour},
    {"drain", Unit::duration, &Websocket::drain_spread, "\"10s\"",
     "period over which the sessions of a draining server are closed (1012)", 0, kMillisPerHour},
    {"ending", Unit::duration, &Websocket::shutdown_spread, "\"1s\"",
     "period over which all sessions are closed (1001) when the sidecar shuts down", 0, kMillisPerHour}};

// ---- Tables ---------------------------------------------------------------------------------------------

/// One table of the file, with its reader and its manual.
struct TableSchema {
    std::string name;
    std::function<void(const toml::table&, OperatorFile&, Problems&)> read;
    std::function<std::string()> manual;
};

/// Returns the schema of a table.
/// @param member the member of the file that the table fills
/// @param keys must outlive the result
template <class Settings>
TableSchema table_schema(const std::string& name, Settings OperatorFile::*member,
                         const std::vector<Key<Settings>>& keys) {
    return {name,
            [name, member, &keys](const toml::table& table, OperatorFile& file, Problems& problems) {
                schema::read_table(table, name, keys, file.*member, problems);
            },
            [&keys] { return schema::manual(keys); }};
}

/// All tables, in the order of the manual.
const std::vector<TableSchema> kTables{table_schema("state", &OperatorFile::state, kStateKeys),
                                       table_schema("websocket", &OperatorFile::websocket, kWebsocketKeys),
                                       table_schema("status", &OperatorFile::status, kStatusKeys),
                                       table_schema("cluster", &OperatorFile::cluster, kClusterKeys),
                                       table_schema("proof", &OperatorFile::proof, kProofKeys)};

std::vector<std::string> table_names() {
    std::vector<std::string> names;
    names.reserve(kTables.size());
    for (const TableSchema& table : kTables) names.push_back(table.name);
    return names;
}

void read_top_level(const toml::table& root, OperatorFile& file, Problems& problems) {
    for (const auto& [key, node] : root) {
        const std::string name(key.str());
        const auto known = std::find_if(kTables.begin(), kTables.end(),
                                        [&name](const TableSchema& table) { return table.name == name; });
        if (known == kTables.end()) {
            schema::report_unknown_key(key, "", table_names(), problems);
        } else if (const toml::table* table = node.as_table()) {
            known->read(*table, file, problems);
        } else {
            problems.push_back({node.source().begin.line, name, "must be a table: [" + name + "]",
                                ProblemReason::wrong_type});
        }
    }
}

}  // namespace

OperatorFile parse_operator_file(const std::string& text, Problems& problems) {
    OperatorFile file;
    try {
        read_top_level(toml::parse(text), file, problems);
    } catch (const toml::parse_error& error) {
        problems.push_back(schema::malformed_toml(error));
    }
    return file;
}

OperatorFile read_operator_file(const std::string& path, Problems& problems) {
    std::ifstream input(path, std::ios::binary);
    // Reads one byte more than the limit, to detect a file that is too long.
    std::string text(static_cast<std::size_t>(kMaxFileBytes) + 1, '\0');
    input.read(text.data(), kMaxFileBytes + 1);
    const bool is_readable = !input.bad() && (input.gcount() > 0 || input.eof());
    if (!is_readable) {
        problems.push_back({0, "", "can't be read", ProblemReason::unreadable});
        return {};
    }
    if (input.gcount() > kMaxFileBytes) {
        problems.push_back({0, "", "is larger than 1 MiB", ProblemReason::too_large});
        return {};
    }
    text.resize(static_cast<std::size_t>(input.gcount()));
    return parse_operator_file(text, problems);
}

std::string operator_manual() {
    std::string text;
    for (const TableSchema& table : kTables) {
        if (!text.empty()) text += "\n";
        text += "[" + table.name + "]\n" + table.manual();
    }
    return text;
}

}  // namespace elmbay
