// The operator's own file: what the platform's configuration does not know, one TOML table a subsystem.
#pragma once

#include <string>

#include "base/timing.hpp"
#include "cluster/settings.hpp"
#include "schema/schema.hpp"
#include "status/settings.hpp"
#include "websocket/settings.hpp"

namespace elmbay {

// [state]: what was learned, kept over restarts.
struct StateSettings {
    std::string folder;   // empty: nothing is kept
    Millis every = 2000;  // between two looks at whether there is something to write
};

struct OperatorFile {
    StateSettings state;
    websocket::Settings websocket;
    StatusSettings status;
    cluster::Settings cluster;
    ProofSettings proof;
};

// Every problem that there is, none if the file can be used; defaults where it says nothing. Never throws.
OperatorFile parse_operator_file(const std::string& text, schema::Problems& problems);
// The same from a file; one that can't be read is a problem.
OperatorFile read_operator_file(const std::string& path, schema::Problems& problems);
// A line a key.
std::string operator_manual();

}  // namespace elmbay
