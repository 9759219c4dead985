/// \file
/// Reads a TOML document from its text: the step that every schema-checked file begins with.
#pragma once

#include <string>

#include "schema/schema.hpp"

namespace elmbay::schema {

/// Parses `text` and calls `read` with the root table.
///
/// Text that is not TOML becomes a Problem with the line of the syntax error, as unknown keys and values out
/// of range do, so that a caller has one list to report. `read` is not called then. `file` is the name that
/// toml++ keeps with each node's source position.
template <class Read>
void read_document(const std::string& text, const std::string& file, Problems& problems, Read read) {
    toml::table root;
    try {
        root = toml::parse(text, file);
    } catch (const toml::parse_error& error) {
        problems.push_back({error.source().begin.line, "", std::string(error.description())});
        return;
    }
    read(root);
}

}  // namespace elmbay::schema
