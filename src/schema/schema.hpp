// A TOML table read by one schema: the same list of keys is the checker, the defaults and the printed manual.
//
// A Key names a member of the struct it fills, its unit, default and range. read_table() goes through a table
// of the file once: an unknown key, a value of the wrong kind, an unreadable unit or one out of range becomes
// a Problem with line, key and what is allowed. It never throws for what the file says and never stops at the
// first problem, so one run tells a person all that is wrong.
//
// Parsing TOML itself is toml++'s (TOML 1.0).
#pragma once

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "schema/toml.hpp"

namespace elmbay::schema {

// What is wrong in a file. line 0: the file as a whole. Lines count from 1.
struct Problem {
    std::uint32_t line = 0;
    std::string key;
    std::string what;
};
using Problems = std::vector<Problem>;

// "FILE:LINE: KEY: WHAT", a line each.
std::string text_of(const std::string& file, const Problems& problems);

enum class Unit {
    number,    // 0.25 or 3
    count,     // a whole number
    duration,  // "250ms", "1.5s", "2m", "1h"; held in milliseconds
    share,     // 0.25 or "25%"; held as 0.25
    size,      // "64KiB", "1MiB", or a count of bytes
    flag,      // true or false
    word,      // one of the words that the key lists, or any text where it lists none
    words,     // a list of texts, or one
};

// Text with a unit; nothing if it can't be read. Durations are in milliseconds, sizes in bytes.
std::optional<double> parse_duration(std::string_view text);
std::optional<double> parse_share(std::string_view text);
std::optional<double> parse_size(std::string_view text);

// The known word closest to an unknown one, if it is close enough to be what was meant; else empty.
std::string did_you_mean(std::string_view unknown, const std::vector<std::string>& known);

template <class T>
struct Key {
    std::string name;
    Unit unit;
    std::variant<double T::*, std::uint64_t T::*, bool T::*, std::string T::*, std::vector<std::string> T::*>
        member;
    std::string
        fallback;  // as a person would write it; for the manual, the struct's initialiser being the truth
    std::string about;
    double least = 0;
    double most = std::numeric_limits<double>::infinity();
    std::vector<std::string> allowed{};  // of a word
    bool needed = false;
};

namespace detail {
// One value by its unit; nothing, and a problem, if it can't be used.
std::optional<double> read_number(const toml::node& node, Unit unit, double least, double most,
                                  const std::string& key, Problems& problems);
std::optional<std::string> read_word(const toml::node& node, const std::vector<std::string>& allowed,
                                     const std::string& key, Problems& problems);
std::optional<std::vector<std::string>> read_words(const toml::node& node, const std::string& key,
                                                   Problems& problems);
std::string manual_line(const std::string& name, Unit unit, const std::string& fallback, double least,
                        double most, const std::vector<std::string>& allowed, const std::string& about);
void unknown_key(const toml::key& key, const std::string& where, const std::vector<std::string>& known,
                 Problems& problems);
}  // namespace detail

// Fills into; where names the table in problems ("fleet", "fault 3"). Keys in others are read elsewhere.
template <class T>
void read_table(const toml::table& table, const std::string& where, const std::vector<Key<T>>& keys, T& into,
                Problems& problems, const std::vector<std::string>& others = {}) {
    std::vector<std::string> known = others;
    for (const Key<T>& key : keys) known.push_back(key.name);
    const std::string prefix = where.empty() ? "" : where + ".";
    for (const auto& [name, node] : table) {
        const Key<T>* key = nullptr;
        for (const Key<T>& k : keys)
            if (k.name == name.str()) key = &k;
        const std::string full = prefix + std::string(name.str());
        if (!key) {
            bool elsewhere = false;
            for (const std::string& other : others) elsewhere = elsewhere || other == name.str();
            if (!elsewhere) detail::unknown_key(name, where, known, problems);
            continue;
        }
        if (const auto* words = std::get_if<std::vector<std::string> T::*>(&key->member)) {
            if (auto value = detail::read_words(node, full, problems)) into.*(*words) = std::move(*value);
        } else if (const auto* word = std::get_if<std::string T::*>(&key->member)) {
            if (auto value = detail::read_word(node, key->allowed, full, problems)) into.*(*word) = *value;
        } else if (const auto* flag = std::get_if<bool T::*>(&key->member)) {
            if (const auto* value = node.as_boolean())
                into.*(*flag) = value->get();
            else
                problems.push_back({node.source().begin.line, full, "is true or false"});
        } else if (const auto value =
                       detail::read_number(node, key->unit, key->least, key->most, full, problems)) {
            if (const auto* real = std::get_if<double T::*>(&key->member))
                into.*(*real) = *value;
            else
                into.*(std::get<std::uint64_t T::*>(key->member)) = static_cast<std::uint64_t>(*value);
        }
    }
    for (const Key<T>& key : keys)
        if (key.needed && !table.contains(key.name))
            problems.push_back({table.source().begin.line, prefix + key.name, "is missing: " + key.about});
}

// The table [name] of a file, if it is there.
template <class T>
void read_section(const toml::table& file, const char* name, const std::vector<Key<T>>& keys, T& into,
                  Problems& problems) {
    const toml::node* node = file.get(name);
    if (!node) return;
    if (const toml::table* table = node->as_table())
        read_table(*table, name, keys, into, problems);
    else
        problems.push_back({node->source().begin.line, name, std::string("is a table: [") + name + "]"});
}

// Each of the tables [[name]], `most` at the most: use(item, its number from 1, its line).
template <class T, class Use>
void read_sections(const toml::table& file, const char* name, std::size_t most,
                   const std::vector<Key<T>>& keys, Problems& problems, Use use) {
    const toml::node* node = file.get(name);
    if (!node) return;
    const toml::array* list = node->as_array();
    if (!list || (!list->empty() && !list->is_array_of_tables()) || list->size() > most) {
        problems.push_back(
            {node->source().begin.line, name,
             std::string("is a list of tables: [[") + name + "]], at most " + std::to_string(most)});
        return;
    }
    for (std::size_t i = 0; i < list->size(); ++i) {
        T item;
        const toml::table& table = *list->get(i)->as_table();
        read_table(table, name + (" " + std::to_string(i + 1)), keys, item, problems);
        use(std::move(item), i + 1, table.source().begin.line);
    }
}

// A line a key: name, unit, default, range, what it is for.
template <class T>
std::string manual(const std::vector<Key<T>>& keys) {
    std::string text;
    for (const Key<T>& k : keys)
        text += detail::manual_line(k.name, k.unit, k.needed ? "needed" : k.fallback, k.least, k.most,
                                    k.allowed, k.about);
    return text;
}

}  // namespace elmbay::schema
