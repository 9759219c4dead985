/// @file
/// Reads an endpoint list out of a JSON document without holding it in memory as JSON.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "config/endpoint_list.hpp"
#include "config/json_fields.hpp"

namespace elmbay {

/// Parses a JSON document that is an endpoint list, or that has one as a field at its top.
///
/// Each target becomes a Target as soon as the parser has read it and is dropped as JSON, so that thousands
/// of them never stand in memory as JSON. What is nested within a target is skipped: no field of one is
/// nested. Use: parse() once, then listing() with the value that parse() left at the list's place.
class EndpointListParser {
public:
    /// @param field the document's field that is the list; empty if the whole document is one
    explicit EndpointListParser(const std::string& field);

    /// The document without the list's targets. Throws ConfigError: for text that is not JSON, which it calls
    /// document_name, and for a target that can't be used.
    Json parse(std::string_view text, const std::string& document_name);

    /// The list that parse() has read. Throws ConfigError.
    /// @param remainder what stands at the list's place in the result of parse()
    EndpointList listing(const Json& remainder);

private:
    using Event = Json::parse_event_t;

    /// Where in the document the parser is.
    enum class Position {
        outside,         ///< beside the list, or at a key whose value is not known yet
        in_targets,      ///< within the list's field "targets"
        in_other_field,  ///< within another field of the list
    };

    // nlohmann::json's callback. Returns whether the value stays in the document; depth counts the braces and
    // brackets that it stands in.
    bool keeps(int depth, Event event, const Json& value);
    bool keeps_in_targets(int depth, Event event, const Json& value);
    bool keeps_value_of(int depth, const std::string& key);
    void add_target(const Json& value);

    const std::string field_;
    const std::string path_prefix_;  // of the list's fields in errors: field_ and a '.', or empty
    const int list_depth_;           // braces round the list
    bool is_in_list_;                // else in a field beside it
    Position position_ = Position::outside;
    std::size_t targets_seen_ = 0;
    EndpointList listing_;
};

}  // namespace elmbay
