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

/// Bytes. Far above any such file; a wrong path must not fill the memory.
constexpr std::streamsize kMaxFileBytes = 1 << 20;

// ---- Keys, a list for each table ------------------------------------------------------------------------

// Limits, in milliseconds where a duration is limited.
constexpr double kMaxMembers = 30000;    ///< as many as the platform may list (kMaxPeers)
constexpr double kMaxSessions = 100000;  ///< far above what descriptors allow
constexpr double kMinute = 60000;
constexpr double kHour = 3600000;
constexpr double kDay = 86400000;
constexpr double kMaxMessageBytes = 1 << 30;
constexpr double kMinMessageBytes = 125;  ///< the longest control frame of WebSocket (RFC 6455, 5.5)
constexpr double kMaxRelayBufferBytes = 1 << 24;
constexpr double kMinRelayBufferBytes = 512;

const std::vector<Key<StateSettings>> kStateKeys{
    {"folder", Unit::word, &StateSettings::folder, "\"\"",
     "where what was learned is kept over restarts, one folder a sidecar; empty: nothing is kept"},
    {"every", Unit::duration, &StateSettings::every, "\"2s\"",
     "between two writes, if there is something new; what was learned since the last is lost by a kill", 100,
     kHour}};

const std::vector<Key<StatusSettings>> kStatusKeys{
    {"socket", Unit::word, &StatusSettings::socket, "\"\"",
     "path of a Unix socket that tells what this sidecar believes, as JSON; empty: nothing listens"}};

const std::vector<Key<cluster::Settings>> kClusterKeys{
    {"on", Unit::flag, &cluster::Settings::on, "false",
     "whether this sidecar takes part among the others; if not, it neither listens nor sends"},
    {"listen", Unit::word, &cluster::Settings::listen, "peer_listen",
     "address:port of datagrams, where the platform's configuration has none"},
    {"peers", Unit::words, &cluster::Settings::peers, "peers",
     "address:port of each sidecar, in the order of their numbers, this one's own among them"},
    {"number", Unit::count, &cluster::Settings::number, "my-number", "of this one among peers, from 0", 0,
     kMaxMembers},
    {"period", Unit::duration, &cluster::Settings::period, "\"1s\"",
     "between two probes; failures are found in some of them, and the cost is two datagrams in each", 100,
     kMinute}};

const std::vector<Key<ClockSkewSettings>> kProofKeys{
    {"clock_ahead", Unit::duration, &ClockSkewSettings::clock_ahead, "\"0s\"",
     "for tests: this program's clock is ahead of the machine's by it", 0, kDay},
    {"clock_behind", Unit::duration, &ClockSkewSettings::clock_behind, "\"0s\"", "or behind it", 0, kDay}};

using Websocket = websocket::Settings;

const std::vector<Key<Websocket>> kWebsocketKeys{
    {"on", Unit::flag, &Websocket::on, "false",
     "whether clients may upgrade; if not, `Upgrade` is passed over"},
    {"origins", Unit::words, &Websocket::origins, "[]", "that browsers may come from; none listed: any"},
    {"most", Unit::count, &Websocket::max_sessions, "500",
     "sessions of this sidecar; each takes two sockets, of half of all at most", 0, kMaxSessions},
    {"most_at_server", Unit::count, &Websocket::max_sessions_per_server, "250", "of them at one server", 1,
     kMaxSessions},
    {"most_of_client", Unit::count, &Websocket::max_sessions_per_client, "500",
     "of them from one client address", 1, kMaxSessions},
    {"most_message", Unit::size, &Websocket::max_message_bytes, "\"1MiB\"",
     "a longer message ends its session (1009)", kMinMessageBytes, kMaxMessageBytes},
    {"waiting", Unit::size, &Websocket::relay_buffer_bytes, "\"4KiB\"",
     "read from one side and not taken by the other; until it is, nothing more is read", kMinRelayBufferBytes,
     kMaxRelayBufferBytes},
    {"handshake", Unit::duration, &Websocket::handshake_timeout, "\"3s\"",
     "for a client to take its answer, and for either side to answer a close", 10, kHour},
    {"idle", Unit::duration, &Websocket::idle_timeout, "\"60s\"",
     "without a byte; a ping goes out at half of it", 100, kHour},
    {"drain", Unit::duration, &Websocket::drain_spread, "\"10s\"",
     "over which sessions of a draining server are told (1012)", 0, kHour},
    {"ending", Unit::duration, &Websocket::shutdown_spread, "\"1s\"",
     "over which all are told (1001) once the sidecar is to end", 0, kHour}};

// ---- Tables ---------------------------------------------------------------------------------------------

/// One table of the file: how it is read and how it is explained.
struct TableSchema {
    std::string name;
    std::function<void(const toml::table&, OperatorFile&, Problems&)> read;
    std::function<std::string()> manual;
};

/// @param member of the file that the table fills
/// @param keys must live as long as the result
template <class Settings>
TableSchema table_schema(const std::string& name, Settings OperatorFile::*member,
                         const std::vector<Key<Settings>>& keys) {
    return {name,
            [name, member, &keys](const toml::table& table, OperatorFile& file, Problems& problems) {
                schema::read_table(table, name, keys, file.*member, problems);
            },
            [&keys] { return schema::manual(keys); }};
}

/// In the order of the manual.
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
            problems.push_back(
                {node.source().begin.line, name, "is a table: [" + name + "]", ProblemReason::wrong_type});
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
    // One byte more than may be there, so that a file that is too long shows.
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
