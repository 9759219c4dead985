/// @file
/// Reads TOML tables by a schema: one list of keys that provides validation, defaults and the printed manual.
///
/// A Key specifies the struct member that it fills, its unit, default and range. read_table() reads a table
/// of the file once. An unknown key, a value of the wrong type, an invalid unit or a value out of range
/// becomes a Problem with line, key and the accepted values. read_table() never throws for the content of the
/// file and does not stop at the first problem, so that one run reports all problems.
///
/// toml++ parses the TOML syntax (TOML 1.0).
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "schema/toml.hpp"

namespace elmbay::schema {

// ---- Problems -------------------------------------------------------------------------------------------

/// The kind of a problem.
enum class ProblemReason {
    other,           ///< a rule of the code that reads the file, beyond the schema of a single key; see
                     ///< Problem::message
    unreadable,      ///< the file can't be opened or read
    too_large,       ///< the file exceeds the reader's size limit
    malformed_toml,  ///< the text is not TOML
    unknown_key,     ///< a key or table that is not in the schema
    missing_key,     ///< a required key that the file does not contain
    wrong_type,      ///< a value of another type or with an invalid unit
    out_of_range,    ///< a number outside of its range
    unknown_word,    ///< a string that is not one of the accepted ones
};

/// One problem of a file.
struct Problem {
    std::uint32_t line = 0;  ///< from 1; 0 if the problem concerns the whole file
    std::string key;         ///< with its table, for example "state.folder"; empty for the whole file
    std::string message;     ///< follows the key, for example "must be a whole number"
    ProblemReason reason = ProblemReason::other;
};
using Problems = std::vector<Problem>;

/// Formats the problems, one on each line: "FILE:LINE: KEY: MESSAGE".
std::string format_problems(const std::string& file, const Problems& problems);

/// Returns the problem for text that is not TOML.
Problem malformed_toml(const toml::parse_error& error);

/// Returns the known word that is most similar to an unknown one, or an empty string if none is similar
/// enough.
std::string closest_word(std::string_view unknown, const std::vector<std::string>& known);

/// Appends the problem for a key that is not in the schema, with the most similar known key.
/// @param table the name of the table that contains the key; empty for the top level of the file
void report_unknown_key(const toml::key& key, const std::string& table, const std::vector<std::string>& known,
                        Problems& problems);

// ---- Values ---------------------------------------------------------------------------------------------

/// The type and notation of a value.
enum class Unit {
    number,    ///< 0.25 or 3
    count,     ///< a whole number
    duration,  ///< "250ms", "1.5s", "2m", "1h"; stored in milliseconds
    share,     ///< 0.25 or "25%"; stored as 0.25
    size,      ///< "64KiB", "1MiB", or a number of bytes
    flag,      ///< true or false
    word,      ///< one of the strings that the key lists, or any string if it lists none
    words,     ///< a string or a list of strings
};

/// Returns a duration in milliseconds, or nothing if the text is not a number followed by us, ms, s, m or h.
std::optional<double> parse_duration(std::string_view text);
/// Returns a fraction of 1, or nothing if the text is not a number, optionally followed by '%'.
std::optional<double> parse_share(std::string_view text);
/// Returns a size in bytes, or nothing if the text is not a number, optionally followed by B, KiB, MiB or
/// GiB.
std::optional<double> parse_size(std::string_view text);

/// The minimum and the maximum of a number, both inclusive, in the unit in which it is stored.
struct Range {
    double min = 0;
    double max = std::numeric_limits<double>::infinity();
};

// ---- Keys -----------------------------------------------------------------------------------------------

/// One key of a table, and the member of T in which its value is stored.
template <class T>
struct Key {
    std::string name;
    Unit unit = Unit::number;
    /// The type of the member must match the unit: any number can be stored in a double, and whole numbers
    /// also in an integer.
    std::variant<double T::*, std::uint64_t T::*, bool T::*, std::string T::*, std::vector<std::string> T::*>
        member;
    /// The default as text, for the manual. The initialiser of the member determines the actual default.
    std::string default_text;
    std::string description;
    double min = 0;  ///< see Range
    double max = std::numeric_limits<double>::infinity();
    std::vector<std::string> allowed_words{};  ///< for Unit::word; empty if any text is accepted
    bool required = false;
};

namespace detail {

/// Returns a number in the unit in which it is stored. If it is invalid, appends a problem and returns
/// nothing.
std::optional<double> read_number(const toml::node& node, Unit unit, const Range& range,
                                  const std::string& key, Problems& problems);
/// Returns an accepted string. If it is invalid, appends a problem and returns nothing.
std::optional<std::string> read_word(const toml::node& node, const std::vector<std::string>& allowed_words,
                                     const std::string& key, Problems& problems);
/// Returns one or more strings. If they are invalid, appends a problem and returns nothing.
std::optional<std::vector<std::string>> read_words(const toml::node& node, const std::string& key,
                                                   Problems& problems);
/// Returns a boolean. If it is invalid, appends a problem and returns nothing.
std::optional<bool> read_flag(const toml::node& node, const std::string& key, Problems& problems);

/// Returns the manual entry of a key: its description on one line; its unit, range and default on the next.
std::string manual_entry(const std::string& name, Unit unit, const Range& range,
                         const std::vector<std::string>& allowed_words, const std::string& default_text,
                         const std::string& description);

/// Stores the value of a key in its member.
template <class T>
void read_value(const toml::node& node, const Key<T>& key, const std::string& full_name, T& target,
                Problems& problems) {
    if (const auto* words_member = std::get_if<std::vector<std::string> T::*>(&key.member)) {
        auto words = read_words(node, full_name, problems);
        if (words) target.*(*words_member) = std::move(*words);
    } else if (const auto* word_member = std::get_if<std::string T::*>(&key.member)) {
        auto word = read_word(node, key.allowed_words, full_name, problems);
        if (word) target.*(*word_member) = std::move(*word);
    } else if (const auto* flag_member = std::get_if<bool T::*>(&key.member)) {
        const auto flag = read_flag(node, full_name, problems);
        if (flag) target.*(*flag_member) = *flag;
    } else if (const auto number = read_number(node, key.unit, {key.min, key.max}, full_name, problems)) {
        if (const auto* real_member = std::get_if<double T::*>(&key.member)) {
            target.*(*real_member) = *number;
        } else {
            target.*(std::get<std::uint64_t T::*>(key.member)) = static_cast<std::uint64_t>(*number);
        }
    }
}

}  // namespace detail

// ---- Tables ---------------------------------------------------------------------------------------------

/// Fills a struct from a table. Members whose keys are missing or invalid keep their values.
/// @param where the name of the table in problems ("fleet", "fault 3"); empty for the top level of the file
/// @param other_names keys of the table that other code reads
template <class T>
void read_table(const toml::table& table, const std::string& where, const std::vector<Key<T>>& keys,
                T& target, Problems& problems, const std::vector<std::string>& other_names = {}) {
    std::vector<std::string> known_names = other_names;
    for (const Key<T>& key : keys) known_names.push_back(key.name);
    const std::string prefix = where.empty() ? "" : where + ".";

    for (const auto& [name, node] : table) {
        const std::string_view short_name = name.str();
        const auto key = std::find_if(keys.begin(), keys.end(), [short_name](const Key<T>& candidate) {
            return candidate.name == short_name;
        });
        if (key != keys.end()) {
            detail::read_value(node, *key, prefix + std::string(short_name), target, problems);
            continue;
        }
        const bool is_read_elsewhere =
            std::find(other_names.begin(), other_names.end(), short_name) != other_names.end();
        if (!is_read_elsewhere) report_unknown_key(name, where, known_names, problems);
    }

    for (const Key<T>& key : keys) {
        if (!key.required || table.contains(key.name)) continue;
        problems.push_back({table.source().begin.line, prefix + key.name, "is missing: " + key.description,
                            ProblemReason::missing_key});
    }
}

/// Reads the table [name] of a file, if the file contains it.
template <class T>
void read_section(const toml::table& file, const char* name, const std::vector<Key<T>>& keys, T& target,
                  Problems& problems) {
    const toml::node* node = file.get(name);
    if (!node) return;
    if (const toml::table* table = node->as_table()) {
        read_table(*table, name, keys, target, problems);
    } else {
        problems.push_back({node->source().begin.line, name, std::string("must be a table: [") + name + "]",
                            ProblemReason::wrong_type});
    }
}

/// Reads each of the tables [[name]] of a file.
/// @param max_items maximum number of tables; a file with more has a problem, and none of them is read
/// @param use called for each table as use(T item, std::size_t number from 1, std::uint32_t line)
template <class T, class Use>
void read_sections(const toml::table& file, const char* name, std::size_t max_items,
                   const std::vector<Key<T>>& keys, Problems& problems, Use use) {
    const toml::node* node = file.get(name);
    if (!node) return;
    const toml::array* list = node->as_array();
    const bool is_list_of_tables = list && (list->empty() || list->is_array_of_tables());
    if (!is_list_of_tables || list->size() > max_items) {
        problems.push_back(
            {node->source().begin.line, name,
             std::string("must be a list of tables: [[") + name + "]], at most " + std::to_string(max_items),
             is_list_of_tables ? ProblemReason::out_of_range : ProblemReason::wrong_type});
        return;
    }
    for (std::size_t i = 0; i < list->size(); ++i) {
        T item;
        const toml::table& table = *list->get(i)->as_table();
        read_table(table, name + (" " + std::to_string(i + 1)), keys, item, problems);
        use(std::move(item), i + 1, table.source().begin.line);
    }
}

/// Returns the manual of a table: an entry for each key, with name, description, unit, range and default.
template <class T>
std::string manual(const std::vector<Key<T>>& keys) {
    std::string text;
    for (const Key<T>& key : keys) {
        text += detail::manual_entry(key.name, key.unit, {key.min, key.max}, key.allowed_words,
                                     key.required ? "needed" : key.default_text, key.description);
    }
    return text;
}

}  // namespace elmbay::schema
