#include "operator/operator_file.hpp"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace elmbay {

namespace {

using schema::Key;
using schema::Unit;

// Far above any such file; a wrong path must not fill the memory.
constexpr std::streamsize kMaxBytes = 1 << 20;

const std::vector<std::string> kTables{"state", "websocket", "status", "cluster", "proof"};

const std::vector<Key<StateSettings>> kState{
    {"folder", Unit::word, &StateSettings::folder, "\"\"",
     "where what was learned is kept over restarts, one folder a sidecar; empty: nothing is kept"},
    {"every", Unit::duration, &StateSettings::every, "\"2s\"",
     "between two writes, if there is something new; what was learned since the last is lost by a kill", 100,
     3600000}};

const std::vector<Key<StatusSettings>> kStatus{
    {"socket", Unit::word, &StatusSettings::socket, "\"\"",
     "path of a Unix socket that tells what this sidecar believes, as JSON; empty: nothing listens"}};

const std::vector<Key<cluster::Settings>> kCluster{
    {"on", Unit::flag, &cluster::Settings::on, "false",
     "whether this sidecar takes part among the others; if not, it neither listens nor sends"},
    {"listen", Unit::word, &cluster::Settings::listen, "peer_listen",
     "address:port of datagrams, where the platform's configuration has none"},
    {"peers", Unit::words, &cluster::Settings::peers, "peers",
     "address:port of each sidecar, in the order of their numbers, this one's own among them"},
    {"number", Unit::count, &cluster::Settings::number, "my-number", "of this one among peers, from 0", 0,
     30000},
    {"period", Unit::duration, &cluster::Settings::period, "\"1s\"",
     "between two probes; failures are found in some of them, and the cost is two datagrams in each", 100,
     60000}};

const std::vector<Key<ProofSettings>> kProof{
    {"clock_ahead", Unit::duration, &ProofSettings::clock_ahead, "\"0s\"",
     "for tests: this program's clock is ahead of the machine's by it", 0, 86400000},
    {"clock_behind", Unit::duration, &ProofSettings::clock_behind, "\"0s\"", "or behind it", 0, 86400000}};

using Websocket = websocket::Settings;
constexpr double kMaxSessions = 100000, kMaxTime = 3600000;

const std::vector<Key<Websocket>> kWebsocket{
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
     "a longer message ends its session (1009)", 125, 1 << 30},
    {"waiting", Unit::size, &Websocket::relay_buffer_bytes, "\"4KiB\"",
     "read from one side and not taken by the other; until it is, nothing more is read", 512, 1 << 24},
    {"handshake", Unit::duration, &Websocket::handshake_timeout, "\"3s\"",
     "for a client to take its answer, and for either side to answer a close", 10, kMaxTime},
    {"idle", Unit::duration, &Websocket::idle_timeout, "\"60s\"",
     "without a byte; a ping goes out at half of it", 100, kMaxTime},
    {"drain", Unit::duration, &Websocket::drain_spread, "\"10s\"",
     "over which sessions of a draining server are told (1012)", 0, kMaxTime},
    {"ending", Unit::duration, &Websocket::shutdown_spread, "\"1s\"",
     "over which all are told (1001) once the sidecar is to end", 0, kMaxTime}};

}  // namespace

OperatorFile parse_operator_file(const std::string& text, schema::Problems& problems) {
    OperatorFile file;
    try {
        const toml::table root = toml::parse(text);
        for (const auto& [name, node] : root) {
            const std::string table(name.str());
            if (std::find(kTables.begin(), kTables.end(), table) == kTables.end())
                schema::detail::unknown_key(name, "", kTables, problems);
            else if (!node.is_table())
                problems.push_back({node.source().begin.line, table, "is a table: [" + table + "]"});
            else if (table == "state")
                schema::read_table(*node.as_table(), table, kState, file.state, problems);
            else if (table == "status")
                schema::read_table(*node.as_table(), table, kStatus, file.status, problems);
            else if (table == "cluster")
                schema::read_table(*node.as_table(), table, kCluster, file.cluster, problems);
            else if (table == "proof")
                schema::read_table(*node.as_table(), table, kProof, file.proof, problems);
            else
                schema::read_table(*node.as_table(), table, kWebsocket, file.websocket, problems);
        }
    } catch (const toml::parse_error& error) {
        problems.push_back({error.source().begin.line, "", std::string(error.description())});
    }
    return file;
}

OperatorFile read_operator_file(const std::string& path, schema::Problems& problems) {
    std::ifstream in(path, std::ios::binary);
    std::string text(static_cast<std::size_t>(kMaxBytes) + 1, '\0');
    in.read(text.data(), kMaxBytes + 1);
    if (in.bad() || (in.gcount() == 0 && !in.eof())) {
        problems.push_back({0, "", "can't be read"});
        return {};
    }
    if (in.gcount() > kMaxBytes) {
        problems.push_back({0, "", "is larger than 1 MiB"});
        return {};
    }
    text.resize(static_cast<std::size_t>(in.gcount()));
    return parse_operator_file(text, problems);
}

std::string operator_manual() {
    return "[state]\n" + schema::manual(kState) + "\n[websocket]\n" + schema::manual(kWebsocket) +
           "\n[status]\n" + schema::manual(kStatus) + "\n[cluster]\n" + schema::manual(kCluster) +
           "\n[proof]\n" + schema::manual(kProof);
}

}  // namespace elmbay
