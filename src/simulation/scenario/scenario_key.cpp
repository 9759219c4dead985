#include "simulation/scenario/scenario_key.hpp"

#include <charconv>
#include <sstream>
#include <stdexcept>
#include <vector>

#include "schema/toml.hpp"

namespace elmbay::simulation {

namespace {

std::vector<std::string> split_key(const std::string& key) {
    std::istringstream input(key);
    std::vector<std::string> parts;
    for (std::string part; std::getline(input, part, '.');) parts.push_back(part);
    return parts;
}

/// Returns a table that contains the parsed value under the key "value".
toml::table parse_value(const std::string& value) {
    try {
        return toml::parse("value = " + value);
    } catch (const toml::parse_error&) {
        toml::table table;
        table.insert("value", value);  // a string without quotes, such as 2s
        return table;
    }
}

/// Returns the entry `part` of a table or list. Entries of lists count from 1. Null if there is no such
/// entry.
toml::node* child_of(toml::node& node, const std::string& part) {
    if (toml::table* const table = node.as_table()) return table->get(part);
    toml::array* const list = node.as_array();
    std::size_t number = 0;
    const char* const last = part.data() + part.size();
    const auto [end, error] = std::from_chars(part.data(), last, number);
    const bool is_number = error == std::errc() && end == last && number > 0;
    return list && is_number ? list->get(number - 1) : nullptr;
}

/// Returns the table that contains the last part of the key.
toml::table& parent_of(toml::table& root, const std::vector<std::string>& parts, const std::string& key) {
    toml::node* node = &root;
    for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
        toml::node* next = child_of(*node, parts[i]);
        // A table that the file omits has its default values, so it can be added. A list entry has no
        // defaults and can't be added.
        if (!next && node == &root) {
            root.insert(parts[i], toml::table{});
            next = child_of(root, parts[i]);
        }
        if (!next)
            throw std::invalid_argument("'" + key + "' does not exist: there is no '" + parts[i] + "'");
        node = next;
    }
    toml::table* const table = node->as_table();
    if (!table || parts.empty()) throw std::invalid_argument("'" + key + "' is not a key of the file");
    return *table;
}

}  // namespace

std::string set_scenario_value(const std::string& text, const std::string& key, const std::string& value) {
    toml::table root = toml::parse(text);
    const toml::table parsed = parse_value(value);
    const std::vector<std::string> parts = split_key(key);
    parent_of(root, parts, key).insert_or_assign(parts.back(), *parsed.get("value"));
    std::ostringstream out;
    out << root;
    return out.str();
}

}  // namespace elmbay::simulation
