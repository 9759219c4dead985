#include "fault_proxy/rules.hpp"

#define XXH_INLINE_ALL  // a header alone: nothing to link
#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace elmbay::fault_proxy {

namespace {

bool named(const std::vector<std::string>& patterns, const std::string& name) {
    return std::any_of(patterns.begin(), patterns.end(), [&](const std::string& p) {
        if (p.ends_with('*')) return name.starts_with(std::string_view(p).substr(0, p.size() - 1));
        return p == name;
    });
}

bool on_openings(const Rule& rule) { return rule.act == Act::refuse || rule.act == Act::hold; }

}  // namespace

const char* name_of(Act act) {
    constexpr const char* kNames[] = {"cut",  "lose",  "delay",      "repeat",  "reorder", "rate",  "refuse",
                                      "hold", "reset", "half-close", "silence", "stall",   "garble"};
    return kNames[static_cast<std::size_t>(act)];
}

bool Rule::names(const Link& link) const {
    if (groups.empty()) return named(from, link.from) && named(to, link.to);
    // Cut only if both stand in groups, and in none together: who stands in two bridges them.
    bool from_any = false, to_any = false, together = false;
    for (const auto& group : groups) {
        const bool f = named(group, link.from), t = named(group, link.to);
        from_any |= f, to_any |= t, together |= f && t;
    }
    return from_any && to_any && !together;
}

bool Rule::holds_at(Millis now) const {
    if (now < at) return false;
    if (lasts <= 0) return true;
    if (every > lasts) return std::fmod(now - at, every) < lasts;
    return now < at + lasts;
}

Millis Rule::next_change(Millis now) const {
    if (now < at) return at;
    if (lasts <= 0) return kNever;
    if (every <= lasts) return now < at + lasts ? at + lasts : kNever;
    const double rounds = std::floor((now - at) / every);
    const Millis begun = at + rounds * every;
    // Rounding may put a time of change a hair before now: then the one after it.
    for (const Millis next : {begun + lasts, begun + every, begun + every + lasts})
        if (next > now) return next;
    return begun + 2 * every;
}

void Rules::put(Rule rule) {
    const auto at =
        std::find_if(rules_.begin(), rules_.end(), [&](const Rule& r) { return r.name == rule.name; });
    if (at != rules_.end())
        *at = std::move(rule);
    else
        rules_.push_back(std::move(rule));
}

bool Rules::take_away(const std::string& name) {
    return std::erase_if(rules_, [&](const Rule& r) { return r.name == name; }) > 0;
}

Random Rules::chance(const Rule& rule, const Link& link, std::uint64_t nth, std::uint64_t piece) const {
    std::uint64_t state = XXH64(rule.name.data(), rule.name.size(), seed_);
    state = XXH64(link.from.data(), link.from.size(), state);
    state = XXH64(link.to.data(), link.to.size(), state);
    const std::uint64_t numbers[] = {nth, piece};
    return Random(XXH64(numbers, sizeof numbers, state));
}

bool Rules::meets(const Rule& rule, const Link& link, std::uint64_t nth) const {
    if (nth < rule.first || nth > rule.last || !rule.names(link)) return false;
    return rule.chance >= 1 || chance(rule, link, nth).unit() < rule.chance;
}

bool Rules::cut(const Link& link, Medium medium, Millis now) const {
    return std::any_of(rules_.begin(), rules_.end(), [&](const Rule& r) {
        return r.act == Act::cut && (r.medium == Medium::any || r.medium == medium) && r.holds_at(now) &&
               r.names(link);
    });
}

Millis Rules::next_change(Millis now) const {
    Millis next = kNever;
    for (const Rule& r : rules_)
        if (r.act == Act::cut || r.act == Act::refuse) next = std::min(next, r.next_change(now));
    return next;
}

bool Rules::refuses_all(const Link& link, Millis now) const {
    return std::any_of(rules_.begin(), rules_.end(), [&](const Rule& r) {
        return r.act == Act::refuse && r.chance >= 1 && r.first <= 1 && r.last == UINT64_MAX &&
               r.holds_at(now) && r.names(link);
    });
}

Rules::Opening Rules::opening(const Link& link, std::uint64_t nth, Millis now) const {
    Opening opening;
    for (const Rule& r : rules_) {
        if (!on_openings(r) || !r.holds_at(now) || !meets(r, link, nth)) continue;
        if (r.act == Act::refuse) opening.refused = true;
        if (r.act == Act::hold) opening.hold = std::max(opening.hold, drawn_delay(r, link, nth, 0));
    }
    return opening;
}

Millis Rules::drawn_delay(const Rule& rule, const Link& link, std::uint64_t nth, std::uint64_t piece) const {
    Random random = chance(rule, link, nth, piece + 1);
    switch (rule.law) {
        case Law::fixed:
            return rule.span;
        case Law::uniform:
            return std::max(0.0, rule.span + rule.jitter * (2 * random.unit() - 1));
        case Law::exponential:
            return -rule.span * std::log1p(-random.unit());
    }
    return rule.span;
}

std::vector<Rules::Delivery> Rules::datagram(const Link& link, std::uint64_t nth, std::size_t size,
                                             Millis now) {
    if (cut(link, Medium::datagram, now)) return {};
    Delivery first;
    std::uint64_t copies = 1;
    for (const Rule& r : rules_) {
        if (r.medium == Medium::stream || !r.holds_at(now) || !meets(r, link, nth)) continue;
        if (r.act == Act::lose) return {};
        if (r.act == Act::delay) first.after += drawn_delay(r, link, nth, 0);
        if (r.act == Act::repeat) copies += r.copies;
        if (r.act == Act::reorder) first.after += r.span, first.behind = std::max(first.behind, r.behind);
        if (r.act == Act::garble) first.garbled += r.count;
        if (r.act == Act::rate && r.rate > 0) {
            auto line =
                std::find_if(busy_.begin(), busy_.end(), [&](const Free& f) { return f.link == link; });
            if (line == busy_.end()) line = busy_.insert(busy_.end(), {link, now});
            line->at = std::max(line->at, now) + 1000 * static_cast<double>(size) / r.rate;
            first.after += line->at - now;
        }
    }
    std::vector<Delivery> deliveries{first};
    // Each copy is on its way for itself.
    for (std::uint64_t i = 1; i < copies; ++i) {
        Delivery copy = first;
        for (const Rule& r : rules_)
            if (r.act == Act::delay && r.medium != Medium::stream && r.holds_at(now) && meets(r, link, nth))
                copy.after += drawn_delay(r, link, nth, i) - drawn_delay(r, link, nth, 0);
        deliveries.push_back(copy);
    }
    return deliveries;
}

std::vector<std::size_t> Rules::on_stream(const Link& link, std::uint64_t nth) const {
    std::vector<std::size_t> met;
    for (std::size_t i = 0; i < rules_.size(); ++i) {
        const Rule& r = rules_[i];
        if (r.medium == Medium::datagram || r.act == Act::cut || on_openings(r)) continue;
        if (r.act == Act::lose || r.act == Act::repeat || r.act == Act::reorder) continue;
        if (meets(r, link, nth)) met.push_back(i);
    }
    return met;
}

}  // namespace elmbay::fault_proxy
