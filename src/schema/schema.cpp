#include "schema/schema.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <numeric>
#include <sstream>

namespace elmbay::schema {

namespace {

struct Suffix {
    std::string_view text;
    double factor;
};

std::optional<double> with_suffix(std::string_view text, std::initializer_list<Suffix> suffixes) {
    double value = 0;
    const auto [end, wrong] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (wrong != std::errc() || !std::isfinite(value)) return {};
    const std::string_view rest(end, static_cast<std::size_t>(text.data() + text.size() - end));
    for (const Suffix& s : suffixes)
        if (rest == s.text) return value * s.factor;
    return {};
}

std::string number_text(double value) {
    std::ostringstream out;
    out << value;
    return out.str();
}

std::string limit_text(double value, Unit unit) {
    if (unit != Unit::duration) return number_text(value);
    return value >= 1000 ? number_text(value / 1000) + "s" : number_text(value) + "ms";
}

std::string range_text(double least, double most, Unit unit) {
    if (std::isinf(most)) return "at least " + limit_text(least, unit);
    return "between " + limit_text(least, unit) + " and " + limit_text(most, unit);
}

const char* unit_text(Unit unit) {
    switch (unit) {
        case Unit::number:
            return "a number";
        case Unit::count:
            return "a whole number";
        case Unit::duration:
            return "a duration such as \"250ms\", \"1.5s\" or \"2m\"";
        case Unit::share:
            return "a share such as 0.25 or \"25%\"";
        case Unit::size:
            return "a size such as \"64KiB\" or \"1MiB\"";
        case Unit::flag:
            return "true or false";
        case Unit::word:
            return "a text";
        case Unit::words:
            return "a list of texts";
    }
    return "";
}

std::size_t distance(std::string_view a, std::string_view b) {
    std::vector<std::size_t> row(b.size() + 1);
    std::iota(row.begin(), row.end(), 0);
    for (std::size_t i = 1; i <= a.size(); ++i) {
        std::size_t diagonal = std::exchange(row[0], i);
        for (std::size_t j = 1; j <= b.size(); ++j) {
            const std::size_t replaced = diagonal + (a[i - 1] != b[j - 1]);
            diagonal = row[j];
            row[j] = std::min({row[j] + 1, row[j - 1] + 1, replaced});
        }
    }
    return row.back();
}

std::string joined(const std::vector<std::string>& words) {
    std::string text;
    for (const std::string& word : words) text += (text.empty() ? "" : ", ") + word;
    return text;
}

}  // namespace

std::string text_of(const std::string& file, const Problems& problems) {
    std::string text;
    for (const Problem& p : problems) {
        text += file;
        if (p.line > 0) text += ":" + std::to_string(p.line);
        text += ": " + (p.key.empty() ? "" : p.key + ": ") + p.what + "\n";
    }
    return text;
}

std::optional<double> parse_duration(std::string_view text) {
    return with_suffix(text, {{"us", 0.001}, {"ms", 1}, {"s", 1000}, {"m", 60000}, {"h", 3600000}});
}
std::optional<double> parse_share(std::string_view text) { return with_suffix(text, {{"%", 0.01}, {"", 1}}); }
std::optional<double> parse_size(std::string_view text) {
    return with_suffix(text, {{"", 1}, {"B", 1}, {"KiB", 1024}, {"MiB", 1024.0 * 1024}, {"GiB", 1073741824}});
}

std::string did_you_mean(std::string_view unknown, const std::vector<std::string>& known) {
    std::string best;
    std::size_t least = std::max<std::size_t>(2, unknown.size() / 3) + 1;
    for (const std::string& word : known)
        if (const std::size_t d = distance(unknown, word); d < least) least = d, best = word;
    return best;
}

namespace detail {

std::optional<double> read_number(const toml::node& node, Unit unit, double least, double most,
                                  const std::string& key, Problems& problems) {
    const std::uint32_t line = node.source().begin.line;
    std::optional<double> value;
    if (const auto* text = node.as_string()) {
        if (unit == Unit::duration) value = parse_duration(text->get());
        if (unit == Unit::share) value = parse_share(text->get());
        if (unit == Unit::size) value = parse_size(text->get());
    } else if (node.is_number() && unit != Unit::duration) {
        value = node.value<double>();
    }
    const bool whole = unit == Unit::count || unit == Unit::size;
    if (!value || !std::isfinite(*value) || (whole && *value != std::floor(*value))) {
        problems.push_back({line, key, std::string("is ") + unit_text(unit)});
        return {};
    }
    if (*value < least || *value > most) {
        problems.push_back({line, key, "must be " + range_text(least, most, unit)});
        return {};
    }
    return value;
}

std::optional<std::string> read_word(const toml::node& node, const std::vector<std::string>& allowed,
                                     const std::string& key, Problems& problems) {
    const std::uint32_t line = node.source().begin.line;
    const auto* text = node.as_string();
    if (!text) {
        problems.push_back({line, key, "is a text"});
        return {};
    }
    const std::string& word = text->get();
    if (allowed.empty() || std::find(allowed.begin(), allowed.end(), word) != allowed.end()) return word;
    const std::string close = did_you_mean(word, allowed);
    problems.push_back({line, key,
                        "'" + word + "' is not one of " + joined(allowed) +
                            (close.empty() ? "" : "; did you mean '" + close + "'?")});
    return {};
}

std::optional<std::vector<std::string>> read_words(const toml::node& node, const std::string& key,
                                                   Problems& problems) {
    if (const auto* text = node.as_string()) return std::vector<std::string>{text->get()};
    std::vector<std::string> words;
    bool sound = node.is_array();
    if (const auto* list = node.as_array())
        for (const toml::node& item : *list) {
            sound = sound && item.is_string();
            if (const auto* text = item.as_string()) words.push_back(text->get());
        }
    if (sound && !words.empty()) return words;
    problems.push_back({node.source().begin.line, key, "is a text or a list of texts, not an empty one"});
    return {};
}

std::string manual_line(const std::string& name, Unit unit, const std::string& fallback, double least,
                        double most, const std::vector<std::string>& allowed, const std::string& about) {
    std::string range;
    if (!allowed.empty())
        range = "one of " + joined(allowed);
    else if (unit != Unit::word && unit != Unit::words && unit != Unit::flag)
        range = std::string(unit_text(unit)) + ", " + range_text(least, most, unit);
    else
        range = unit_text(unit);
    return "  " + name + std::string(name.size() < 18 ? 18 - name.size() : 1, ' ') + about + "\n" +
           std::string(20, ' ') + "(" + range + "; " + fallback + ")\n";
}

void unknown_key(const toml::key& key, const std::string& where, const std::vector<std::string>& known,
                 Problems& problems) {
    const std::string name(key.str());
    const std::string close = did_you_mean(name, known);
    problems.push_back({key.source().begin.line, (where.empty() ? "" : where + ".") + name,
                        "is not a key here" + (close.empty() ? "; there are " + joined(known)
                                                             : "; did you mean '" + close + "'?")});
}

}  // namespace detail
}  // namespace elmbay::schema
