/// \file
/// Parses the text of a TOML document, which is the first step for every file that is read with a schema.
#pragma once

#include <string>

#include "schema/schema.hpp"

namespace elmbay::schema {

/// Parses `text` and calls `read` with the root table.
///
/// Text that is not TOML becomes a Problem with the line of the syntax error, and `read` is not called.
/// Unknown keys and values out of range become Problems as well, so that the caller has one list to report.
/// toml++ stores `file` as the file name in the source position of each node.
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
