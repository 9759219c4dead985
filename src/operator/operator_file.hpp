/// @file
/// The operator's file: settings beyond the platform's configuration, with one TOML table for each subsystem.
#pragma once

#include <string>

#include "base/timing.hpp"
#include "cluster/settings.hpp"
#include "schema/schema.hpp"
#include "status/settings.hpp"
#include "websocket/settings.hpp"

namespace elmbay {

/// The keys of [state]: persistence of the learned state.
struct StateSettings {
    std::string directory;        ///< path; empty if nothing is saved
    Millis save_interval = 2000;  ///< interval between saves
};

/// All tables of the file. A table that the file does not contain has its defaults.
struct OperatorFile {
    StateSettings state;
    websocket::Settings websocket;
    StatusSettings status;
    cluster::Settings cluster;
    ClockSkewSettings proof;
};

/// Parses the text of the file and appends all its problems; the result is valid if there are none. Keys that
/// are missing or invalid keep their defaults. Throws only std::bad_alloc.
OperatorFile parse_operator_file(const std::string& text, schema::Problems& problems);

/// Like parse_operator_file(), for the file with that path. A file that can't be read or is larger than 1 MiB
/// is a problem.
OperatorFile read_operator_file(const std::string& path, schema::Problems& problems);

/// Returns the manual: a description of every table and key of the file.
std::string operator_manual();

}  // namespace elmbay
