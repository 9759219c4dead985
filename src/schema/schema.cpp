#include "schema/schema.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <initializer_list>
#include <numeric>
#include <sstream>

namespace elmbay::schema {

namespace {

constexpr double kMillisecondsPerSecond = 1000;

/// Layout of the manual: the number of spaces before a key's name, and the width of the column for the names.
constexpr std::size_t kManualIndent = 2;
constexpr std::size_t kManualNameWidth = 18;

/// A known word is suggested for an unknown one if their edit distance is at most kMinEditsAllowed, or at
/// most a third of the letters of the unknown word if that is more.
constexpr std::size_t kMinEditsAllowed = 2;
constexpr std::size_t kLettersPerEditAllowed = 3;

/// A unit suffix of a number, and the factor that it stands for.
struct Suffix {
    std::string_view text;
    double factor;
};

std::optional<double> parse_with_suffix(std::string_view text, std::initializer_list<Suffix> suffixes) {
    double value = 0;
    const char* const text_end = text.data() + text.size();
    const auto [number_end, error] = std::from_chars(text.data(), text_end, value);
    if (error != std::errc() || !std::isfinite(value)) return {};
    const std::string_view rest(number_end, static_cast<std::size_t>(text_end - number_end));
    for (const Suffix& suffix : suffixes) {
        if (rest == suffix.text) return value * suffix.factor;
    }
    return {};
}

// Parses a value of a unit that is written with a suffix. Returns nothing for other units.
std::optional<double> parse_text(std::string_view text, Unit unit) {
    switch (unit) {
        case Unit::duration:
            return parse_duration(text);
        case Unit::share:
            return parse_share(text);
        case Unit::size:
            return parse_size(text);
        default:
            return {};
    }
}

std::string number_text(double value) {
    std::ostringstream out;
    out << value;
    return out.str();
}

std::string limit_text(double value, Unit unit) {
    if (unit != Unit::duration) return number_text(value);
    if (value < kMillisecondsPerSecond) return number_text(value) + "ms";
    return number_text(value / kMillisecondsPerSecond) + "s";
}

std::string range_text(const Range& range, Unit unit) {
    const std::string min = limit_text(range.min, unit);
    if (std::isinf(range.max)) return "at least " + min;
    return "between " + min + " and " + limit_text(range.max, unit);
}

const char* unit_text(Unit unit) {
    switch (unit) {
        case Unit::number:
            return "a number";
        case Unit::count:
            return "a whole number";
        case Unit::duration:
            return R"(a duration such as "250ms", "1.5s" or "2m")";
        case Unit::share:
            return R"(a share such as 0.25 or "25%")";
        case Unit::size:
            return R"(a size such as "64KiB" or "1MiB")";
        case Unit::flag:
            return "true or false";
        case Unit::word:
            return "a string";
        case Unit::words:
            return "a list of strings";
    }
    return "";
}

bool has_range(Unit unit) { return unit != Unit::word && unit != Unit::words && unit != Unit::flag; }

// Returns the Levenshtein distance: the number of insertions, deletions and replacements of one letter.
std::size_t edit_distance(std::string_view from, std::string_view to) {
    // Computes the dynamic programming table row by row. row[j] is the distance between the first i letters
    // of `from` and the first j letters of `to`.
    std::vector<std::size_t> row(to.size() + 1);
    std::iota(row.begin(), row.end(), 0);
    for (std::size_t i = 1; i <= from.size(); ++i) {
        std::size_t diagonal = std::exchange(row[0], i);
        for (std::size_t j = 1; j <= to.size(); ++j) {
            const bool differs = from[i - 1] != to[j - 1];
            const std::size_t replaced = diagonal + (differs ? 1 : 0);
            diagonal = row[j];
            row[j] = std::min({row[j] + 1, row[j - 1] + 1, replaced});
        }
    }
    return row.back();
}

std::string joined(const std::vector<std::string>& words) {
    std::string text;
    for (const std::string& word : words) {
        if (!text.empty()) text += ", ";
        text += word;
    }
    return text;
}

}  // namespace

// ---- Problems -------------------------------------------------------------------------------------------

std::string format_problems(const std::string& file, const Problems& problems) {
    std::string text;
    for (const Problem& problem : problems) {
        text += file;
        if (problem.line > 0) text += ":" + std::to_string(problem.line);
        text += ": ";
        if (!problem.key.empty()) text += problem.key + ": ";
        text += problem.message + "\n";
    }
    return text;
}

Problem malformed_toml(const toml::parse_error& error) {
    return {error.source().begin.line, "", std::string(error.description()), ProblemReason::malformed_toml};
}

std::string closest_word(std::string_view unknown, const std::vector<std::string>& known) {
    const std::size_t max_distance = std::max(kMinEditsAllowed, unknown.size() / kLettersPerEditAllowed);
    std::size_t closest_distance = max_distance + 1;
    std::string closest;
    for (const std::string& word : known) {
        const std::size_t distance = edit_distance(unknown, word);
        if (distance >= closest_distance) continue;
        closest_distance = distance;
        closest = word;
    }
    return closest;
}

void report_unknown_key(const toml::key& key, const std::string& table, const std::vector<std::string>& known,
                        Problems& problems) {
    const std::string name(key.str());
    const std::string full_name = table.empty() ? name : table + "." + name;
    const std::string closest = closest_word(name, known);
    const std::string suggestion =
        closest.empty() ? "; known keys: " + joined(known) : "; did you mean '" + closest + "'?";
    problems.push_back(
        {key.source().begin.line, full_name, "is not a known key" + suggestion, ProblemReason::unknown_key});
}

// ---- Values ---------------------------------------------------------------------------------------------

std::optional<double> parse_duration(std::string_view text) {
    return parse_with_suffix(
        text, {{"us", 0.001}, {"ms", 1}, {"s", kMillisecondsPerSecond}, {"m", 60000}, {"h", 3600000}});
}

std::optional<double> parse_share(std::string_view text) {
    return parse_with_suffix(text, {{"%", 0.01}, {"", 1}});
}

std::optional<double> parse_size(std::string_view text) {
    return parse_with_suffix(
        text, {{"", 1}, {"B", 1}, {"KiB", 1024}, {"MiB", 1024.0 * 1024}, {"GiB", 1024.0 * 1024 * 1024}});
}

namespace detail {

std::optional<double> read_number(const toml::node& node, Unit unit, const Range& range,
                                  const std::string& key, Problems& problems) {
    const std::uint32_t line = node.source().begin.line;
    std::optional<double> value;
    if (const auto* text = node.as_string()) {
        value = parse_text(text->get(), unit);
    } else if (node.is_number() && unit != Unit::duration) {
        value = node.value<double>();
    }
    const bool must_be_whole = unit == Unit::count || unit == Unit::size;
    const bool is_finite = value && std::isfinite(*value);
    const bool is_of_unit = is_finite && (!must_be_whole || *value == std::floor(*value));
    if (!is_of_unit) {
        problems.push_back({line, key, std::string("must be ") + unit_text(unit), ProblemReason::wrong_type});
        return {};
    }
    if (*value < range.min || *value > range.max) {
        problems.push_back({line, key, "must be " + range_text(range, unit), ProblemReason::out_of_range});
        return {};
    }
    return value;
}

std::optional<std::string> read_word(const toml::node& node, const std::vector<std::string>& allowed_words,
                                     const std::string& key, Problems& problems) {
    const std::uint32_t line = node.source().begin.line;
    const auto* text = node.as_string();
    if (!text) {
        problems.push_back({line, key, "must be a string", ProblemReason::wrong_type});
        return {};
    }
    const std::string& word = text->get();
    const bool is_allowed = allowed_words.empty() || std::find(allowed_words.begin(), allowed_words.end(),
                                                               word) != allowed_words.end();
    if (is_allowed) return word;
    const std::string closest = closest_word(word, allowed_words);
    const std::string suggestion = closest.empty() ? "" : "; did you mean '" + closest + "'?";
    problems.push_back({line, key, "'" + word + "' is not one of " + joined(allowed_words) + suggestion,
                        ProblemReason::unknown_word});
    return {};
}

std::optional<std::vector<std::string>> read_words(const toml::node& node, const std::string& key,
                                                   Problems& problems) {
    if (const auto* text = node.as_string()) return std::vector<std::string>{text->get()};
    std::vector<std::string> words;
    bool are_all_strings = node.is_array();
    if (const auto* list = node.as_array()) {
        for (const toml::node& item : *list) {
            const auto* text = item.as_string();
            if (text) {
                words.push_back(text->get());
            } else {
                are_all_strings = false;
            }
        }
    }
    if (are_all_strings && !words.empty()) return words;
    problems.push_back({node.source().begin.line, key, "must be a string or a non-empty list of strings",
                        ProblemReason::wrong_type});
    return {};
}

std::optional<bool> read_flag(const toml::node& node, const std::string& key, Problems& problems) {
    if (const auto* value = node.as_boolean()) return value->get();
    problems.push_back({node.source().begin.line, key, "must be true or false", ProblemReason::wrong_type});
    return {};
}

std::string manual_entry(const std::string& name, Unit unit, const Range& range,
                         const std::vector<std::string>& allowed_words, const std::string& default_text,
                         const std::string& description) {
    std::string allowed = unit_text(unit);
    if (!allowed_words.empty()) {
        allowed = "one of " + joined(allowed_words);
    } else if (has_range(unit)) {
        allowed += ", " + range_text(range, unit);
    }
    const std::size_t padding = name.size() < kManualNameWidth ? kManualNameWidth - name.size() : 1;
    std::string entry =
        std::string(kManualIndent, ' ') + name + std::string(padding, ' ') + description + "\n";
    entry += std::string(kManualIndent + kManualNameWidth, ' ') + "(" + allowed + "; " + default_text + ")\n";
    return entry;
}

}  // namespace detail
}  // namespace elmbay::schema
