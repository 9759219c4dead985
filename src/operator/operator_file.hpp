/// @file
/// The operator's own file: what the platform's configuration does not know, one TOML table a subsystem.
#pragma once

#include <string>

#include "base/timing.hpp"
#include "cluster/settings.hpp"
#include "schema/schema.hpp"
#include "status/settings.hpp"
#include "websocket/settings.hpp"

namespace elmbay {

/// The keys of [state]: what the balancer has learned, kept over restarts.
struct StateSettings {
    std::string folder;   ///< path of the directory; empty: nothing is kept
    Millis every = 2000;  ///< between two looks at whether there is something new to write
};

/// All tables of the file; of one that the file does not have, the defaults.
struct OperatorFile {
    StateSettings state;
    websocket::Settings websocket;
    StatusSettings status;
    cluster::Settings cluster;
    ClockSkewSettings proof;
};

/// Reads the text of the file and adds every problem that it has: none, and the result can be used. Keys that
/// are not there or can't be used keep their defaults. Throws only std::bad_alloc.
OperatorFile parse_operator_file(const std::string& text, schema::Problems& problems);

/// The same from a file. One that can't be read, or is longer than 1 MiB, is a problem.
OperatorFile read_operator_file(const std::string& path, schema::Problems& problems);

/// Every table and key of the file, for a person.
std::string operator_manual();

}  // namespace elmbay
