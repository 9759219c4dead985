/// @file
/// A TOML table read by one schema: the same list of keys is the checker, the defaults and the printed
/// manual.
///
/// A Key names a member of the struct that it fills, its unit, default and range. read_table() goes through a
/// table of the file once: an unknown key, a value of the wrong type, a unit that can't be read or a value
/// out of range becomes a Problem with line, key and what is allowed. It never throws for what the file says
/// and does not stop at the first problem, so one run tells a person all that is wrong.
///
/// Parsing TOML itself is toml++'s (TOML 1.0).
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

/// What kind of problem a file has.
enum class ProblemReason {
    other,           ///< a rule of the file's own reader, beyond a single key's schema: see the text
    unreadable,      ///< the file can't be opened or read
    too_large,       ///< the file is longer than its reader takes
    malformed_toml,  ///< not TOML
    unknown_key,     ///< a key or table that the schema does not have
    missing_key,     ///< a required key that is not there
    wrong_type,      ///< a value of another type, or with a unit that can't be read
    out_of_range,    ///< a number beyond its limits
    unknown_word,    ///< a text that is none of those allowed
};

/// One thing that is wrong in a file.
struct Problem {
    std::uint32_t line = 0;  ///< from 1; 0: the file as a whole
    std::string key;         ///< with its table, for example "state.folder"; empty: the file as a whole
    std::string what;        ///< for a person, stands behind the key: "is a whole number"
    ProblemReason reason = ProblemReason::other;
};
using Problems = std::vector<Problem>;

/// The problems for a person, a line each: "FILE:LINE: KEY: WHAT".
std::string format_problems(const std::string& file, const Problems& problems);

/// The problem of text that is not TOML.
Problem malformed_toml(const toml::parse_error& error);

/// The known word closest to an unknown one; empty if none is close enough to be what was meant.
std::string did_you_mean(std::string_view unknown, const std::vector<std::string>& known);

/// Adds the problem of a key that is not in the schema, with the known key closest to it.
/// @param table the name of the table that the key stands in; empty: the top of the file
void report_unknown_key(const toml::key& key, const std::string& table, const std::vector<std::string>& known,
                        Problems& problems);

// ---- Values ---------------------------------------------------------------------------------------------

/// What a value is, and how a person writes it.
enum class Unit {
    number,    ///< 0.25 or 3
    count,     ///< a whole number
    duration,  ///< "250ms", "1.5s", "2m", "1h"; held in milliseconds
    share,     ///< 0.25 or "25%"; held as 0.25
    size,      ///< "64KiB", "1MiB", or a count of bytes
    flag,      ///< true or false
    word,      ///< one of the words that the key lists, or any text where it lists none
    words,     ///< a list of texts, or one
};

/// Milliseconds; none if the text is not a number and one of us, ms, s, m, h.
std::optional<double> parse_duration(std::string_view text);
/// A share of 1; none if the text is not a number, alone or with '%'.
std::optional<double> parse_share(std::string_view text);
/// Bytes; none if the text is not a number, alone or with one of B, KiB, MiB, GiB.
std::optional<double> parse_size(std::string_view text);

/// The least and the greatest value that a number may have, both allowed; in the unit that it is held in.
struct Range {
    double min = 0;
    double max = std::numeric_limits<double>::infinity();
};

// ---- Keys -----------------------------------------------------------------------------------------------

/// One key of a table, and the member of T that it fills.
template <class T>
struct Key {
    std::string name;
    Unit unit = Unit::number;
    /// Must fit the unit: numbers of any kind go into a double, those without a fraction also into an
    /// integer.
    std::variant<double T::*, std::uint64_t T::*, bool T::*, std::string T::*, std::vector<std::string> T::*>
        member;
    /// The default as a person would write it, for the manual; what counts is the member's initialiser.
    std::string default_text;
    std::string description;
    double min = 0;  ///< see Range
    double max = std::numeric_limits<double>::infinity();
    std::vector<std::string> allowed_words{};  ///< of a word; empty: any
    bool required = false;
};

namespace detail {

/// A number in the unit that it is held in; none, and a problem, if it can't be used.
std::optional<double> read_number(const toml::node& node, Unit unit, const Range& range,
                                  const std::string& key, Problems& problems);
/// A text that is allowed; none, and a problem, if it can't be used.
std::optional<std::string> read_word(const toml::node& node, const std::vector<std::string>& allowed_words,
                                     const std::string& key, Problems& problems);
/// One text or more; none, and a problem, if it can't be used.
std::optional<std::vector<std::string>> read_words(const toml::node& node, const std::string& key,
                                                   Problems& problems);
/// A truth value; none, and a problem, if it can't be used.
std::optional<bool> read_flag(const toml::node& node, const std::string& key, Problems& problems);

/// A key for the manual: what it is for on one line, unit, range and default on the next.
std::string manual_entry(const std::string& name, Unit unit, const Range& range,
                         const std::vector<std::string>& allowed_words, const std::string& default_text,
                         const std::string& description);

/// Stores the value that a key has in the file.
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

/// Fills a struct from a table; members whose keys are missing or can't be used keep their values.
/// @param where names the table in problems ("fleet", "fault 3"); empty: the top of the file
/// @param other_names keys of the table that are read elsewhere
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

/// The table [name] of a file, if it is there.
template <class T>
void read_section(const toml::table& file, const char* name, const std::vector<Key<T>>& keys, T& target,
                  Problems& problems) {
    const toml::node* node = file.get(name);
    if (!node) return;
    if (const toml::table* table = node->as_table()) {
        read_table(*table, name, keys, target, problems);
    } else {
        problems.push_back({node->source().begin.line, name, std::string("is a table: [") + name + "]",
                            ProblemReason::wrong_type});
    }
}

/// Each of the tables [[name]], if there are any.
/// @param max_items more of them are a problem, and none is read
/// @param use called for each as use(T item, std::size_t number from 1, std::uint32_t line)
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
             std::string("is a list of tables: [[") + name + "]], at most " + std::to_string(max_items),
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

/// The manual of a table: an entry for each key, with name, purpose, unit, range and default.
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
