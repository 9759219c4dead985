/// @file
/// Parses an endpoint list from a JSON document without holding the whole list in memory as JSON.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "config/endpoint_list.hpp"
#include "config/json_fields.hpp"

namespace elmbay {

/// Parses a JSON document that is an endpoint list, or that contains one as a top-level field.
///
/// The parser converts each target to a Target as soon as it has read the target, and discards the JSON, so
/// that thousands of targets are never in memory as JSON. Objects and arrays within a target are skipped,
/// because no known field of a target is nested. Call parse() once, and then finish_list() with the value
/// that parse() has left in place of the list.
class EndpointListParser {
public:
    /// @param field the top-level field that contains the list; empty if the whole document is the list
    explicit EndpointListParser(const std::string& field);

    /// Returns the document without the targets of the list. Throws ConfigError for text that is not JSON and
    /// for an invalid target.
    /// @param document_name names the document in error messages
    Json parse(std::string_view text, const std::string& document_name);

    /// Returns the list that parse() has read. Throws ConfigError if `rev`, `all` or `targets` is missing or
    /// invalid.
    /// @param remainder the value in place of the list in the result of parse()
    EndpointList finish_list(const Json& remainder);

private:
    using Event = Json::parse_event_t;

    /// The position of the parser in the document.
    enum class Position {
        outside,         ///< outside of the list's fields
        in_targets,      ///< inside the list's field "targets"
        in_other_field,  ///< inside another field of the list
    };

    // The callback of nlohmann::json. Returns whether the value stays in the document. depth is the number of
    // braces and brackets around the value.
    bool should_keep(int depth, Event event, const Json& value);
    bool should_keep_in_targets(int depth, Event event, const Json& value);
    bool should_keep_value_of(int depth, const std::string& key);
    void add_target(const Json& value);

    const std::string field_;
    const std::string path_prefix_;  // prefix of field paths in errors: field_ and a '.', or empty
    const int list_depth_;           // number of braces around the list
    bool is_in_list_;                // false in a field beside the list
    Position position_ = Position::outside;
    std::size_t parsed_targets_ = 0;
    EndpointList list_;
};

}  // namespace elmbay
