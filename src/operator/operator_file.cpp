#include "operator/operator_file.hpp"

#include <fstream>
#include <sstream>

namespace elmbay {

namespace {

using schema::Key;
using schema::Unit;

// Far above any such file; a wrong path must not fill the memory.
constexpr std::streamsize kMostBytes = 1 << 20;

const std::vector<Key<StateSettings>> kState{
    {"folder", Unit::word, &StateSettings::folder, "\"\"",
     "where what was learned is kept over restarts, one folder a sidecar; empty: nothing is kept"},
    {"every", Unit::duration, &StateSettings::every, "\"2s\"",
     "between two writes, if there is something new; what was learned since the last is lost by a kill", 100,
     3600000}};

}  // namespace

OperatorFile parse_operator_file(const std::string& text, schema::Problems& problems) {
    OperatorFile file;
    try {
        const toml::table root = toml::parse(text);
        for (const auto& [name, node] : root) {
            if (name.str() == "state" && node.is_table())
                schema::read_table(*node.as_table(), "state", kState, file.state, problems);
            else if (name.str() == "state")
                problems.push_back({node.source().begin.line, "state", "is a table: [state]"});
            else
                schema::detail::unknown_key(name, "", {"state"}, problems);
        }
    } catch (const toml::parse_error& error) {
        problems.push_back({error.source().begin.line, "", std::string(error.description())});
    }
    return file;
}

OperatorFile read_operator_file(const std::string& path, schema::Problems& problems) {
    std::ifstream in(path, std::ios::binary);
    std::string text(static_cast<std::size_t>(kMostBytes) + 1, '\0');
    in.read(text.data(), kMostBytes + 1);
    if (in.bad() || (in.gcount() == 0 && !in.eof())) {
        problems.push_back({0, "", "can't be read"});
        return {};
    }
    if (in.gcount() > kMostBytes) {
        problems.push_back({0, "", "is larger than 1 MiB"});
        return {};
    }
    text.resize(static_cast<std::size_t>(in.gcount()));
    return parse_operator_file(text, problems);
}

std::string operator_manual() { return "[state]\n" + schema::manual(kState); }

}  // namespace elmbay
