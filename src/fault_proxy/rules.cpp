#include "fault_proxy/rules.hpp"

#define XXH_INLINE_ALL  // header-only: no library to link
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <string_view>
#include <utility>

namespace elmbay::fault_proxy {

namespace {

constexpr double kMillisPerSecond = 1000;

// Names in files, in the order of FaultType.
constexpr std::array<const char*, 13> kFaultTypeNames{"cut",     "lose",   "delay", "repeat", "reorder",
                                                      "rate",    "refuse", "hold",  "reset",  "half-close",
                                                      "silence", "stall",  "garble"};

bool matches_any(const std::vector<std::string>& patterns, const std::string& name) {
    return std::any_of(patterns.begin(), patterns.end(), [&](const std::string& pattern) {
        const bool is_prefix = pattern.ends_with('*');
        if (!is_prefix) return pattern == name;
        return name.starts_with(std::string_view(pattern).substr(0, pattern.size() - 1));
    });
}

bool applies_to_openings(FaultType type) {
    return type == FaultType::refuse || type == FaultType::delay_open;
}

}  // namespace

const char* name_of(FaultType type) { return kFaultTypeNames.at(static_cast<std::size_t>(type)); }

bool applies_to_datagrams_only(FaultType type) {
    return type == FaultType::drop || type == FaultType::duplicate || type == FaultType::reorder;
}

bool Rule::applies_to(const Link& link) const {
    if (groups.empty()) return matches_any(from, link.from) && matches_any(to, link.to);
    bool sender_is_grouped = false;
    bool receiver_is_grouped = false;
    for (const auto& group : groups) {
        const bool has_sender = matches_any(group, link.from);
        const bool has_receiver = matches_any(group, link.to);
        if (has_sender && has_receiver) return false;  // a member of several groups bridges them
        sender_is_grouped = sender_is_grouped || has_sender;
        receiver_is_grouped = receiver_is_grouped || has_receiver;
    }
    return sender_is_grouped && receiver_is_grouped;
}

bool Rule::is_active_at(Millis now) const {
    if (now < starts_at) return false;
    if (duration <= 0) return true;
    if (period > duration) return std::fmod(now - starts_at, period) < duration;
    return now < starts_at + duration;
}

Millis Rule::next_change(Millis now) const {
    if (now < starts_at) return starts_at;
    if (duration <= 0) return kNever;
    if (period <= duration) return now < starts_at + duration ? starts_at + duration : kNever;
    const double past_periods = std::floor((now - starts_at) / period);
    const Millis period_start = starts_at + past_periods * period;
    // Rounding may place a change slightly before `now`; then the following change applies.
    for (const Millis change :
         {period_start + duration, period_start + period, period_start + period + duration}) {
        if (change > now) return change;
    }
    return period_start + 2 * period;
}

void Rules::put(Rule rule) {
    const auto same_name = std::find_if(rules_.begin(), rules_.end(),
                                        [&](const Rule& other) { return other.name == rule.name; });
    if (same_name != rules_.end()) {
        *same_name = std::move(rule);
    } else {
        rules_.push_back(std::move(rule));
    }
}

bool Rules::remove(const std::string& name) {
    return std::erase_if(rules_, [&](const Rule& rule) { return rule.name == name; }) > 0;
}

Random Rules::random_for(const Rule& rule, const Link& link, std::uint64_t number,
                         std::uint64_t draw_index) const {
    std::uint64_t state = XXH64(rule.name.data(), rule.name.size(), seed_);
    state = XXH64(link.from.data(), link.from.size(), state);
    state = XXH64(link.to.data(), link.to.size(), state);
    const std::array<std::uint64_t, 2> numbers{number, draw_index};
    return Random(XXH64(numbers.data(), sizeof numbers, state));
}

bool Rules::matches(const Rule& rule, const Link& link, std::uint64_t number) const {
    const bool is_in_range = number >= rule.first_number && number <= rule.last_number;
    if (!is_in_range || !rule.applies_to(link)) return false;
    return rule.probability >= 1 || random_for(rule, link, number).uniform() < rule.probability;
}

bool Rules::is_cut(const Link& link, Medium medium, Millis now) const {
    return std::any_of(rules_.begin(), rules_.end(), [&](const Rule& rule) {
        const bool matches_medium = rule.medium == Medium::any || rule.medium == medium;
        return rule.type == FaultType::cut && matches_medium && rule.is_active_at(now) &&
               rule.applies_to(link);
    });
}

Millis Rules::next_change(Millis now) const {
    Millis next = kNever;
    for (const Rule& rule : rules_) {
        const bool changes_connectivity = rule.type == FaultType::cut || rule.type == FaultType::refuse;
        if (changes_connectivity) next = std::min(next, rule.next_change(now));
    }
    return next;
}

bool Rules::refuses_all(const Link& link, Millis now) const {
    return std::any_of(rules_.begin(), rules_.end(), [&](const Rule& rule) {
        const bool applies_to_all_connections =
            rule.probability >= 1 && rule.first_number <= 1 && rule.last_number == UINT64_MAX;
        return rule.type == FaultType::refuse && applies_to_all_connections && rule.is_active_at(now) &&
               rule.applies_to(link);
    });
}

Rules::OpeningFault Rules::on_open(const Link& link, std::uint64_t connection, Millis now) const {
    OpeningFault fault;
    for (const Rule& rule : rules_) {
        const bool applies =
            applies_to_openings(rule.type) && rule.is_active_at(now) && matches(rule, link, connection);
        if (!applies) continue;
        if (rule.type == FaultType::refuse) {
            fault.is_refused = true;
        } else {
            fault.delay = std::max(fault.delay, draw_delay(rule, link, connection, 0));
        }
    }
    return fault;
}

Millis Rules::draw_delay(const Rule& rule, const Link& link, std::uint64_t number,
                         std::uint64_t draw_index) const {
    Random random = random_for(rule, link, number, draw_index + 1);
    switch (rule.distribution) {
        case DelayDistribution::fixed:
            return rule.delay;
        case DelayDistribution::uniform:
            return std::max(0.0, rule.delay + rule.jitter * (2 * random.uniform() - 1));
        case DelayDistribution::exponential:
            return -rule.delay * std::log1p(-random.uniform());
    }
    return rule.delay;
}

// Returns the time from now until the datagram has been transmitted, after all earlier datagrams of the link.
Millis Rules::queueing_delay(const Rule& rule, const Link& link, std::size_t size, Millis now) {
    auto line = std::find_if(lines_.begin(), lines_.end(),
                             [&](const RateLimitedLine& other) { return other.link == link; });
    if (line == lines_.end()) line = lines_.insert(lines_.end(), {link, now});
    const Millis transmission = kMillisPerSecond * static_cast<double>(size) / rule.bytes_per_second;
    line->free_at = std::max(line->free_at, now) + transmission;
    return line->free_at - now;
}

void Rules::apply(const Rule& rule, const Link& link, std::uint64_t number, std::size_t size, Millis now,
                  Delivery& delivery) {
    switch (rule.type) {
        case FaultType::delay:
            delivery.delay += draw_delay(rule, link, number, 0);
            break;
        case FaultType::reorder:
            delivery.delay += rule.delay;
            delivery.overtaken_by = std::max(delivery.overtaken_by, rule.overtaken_by);
            break;
        case FaultType::corrupt:
            delivery.corrupted_bytes += rule.corrupted_bytes;
            break;
        case FaultType::limit_rate:
            if (rule.bytes_per_second > 0) delivery.delay += queueing_delay(rule, link, size, now);
            break;
        default:
            break;
    }
}

std::vector<Rules::Delivery> Rules::deliver(const Link& link, std::uint64_t number, std::size_t size,
                                            Millis now) {
    if (is_cut(link, Medium::datagram, now)) return {};
    const auto applies = [&](const Rule& rule) {
        return rule.medium != Medium::stream && rule.is_active_at(now) && matches(rule, link, number);
    };
    Delivery first;
    std::uint64_t copies = 1;
    for (const Rule& rule : rules_) {
        if (!applies(rule)) continue;
        if (rule.type == FaultType::drop) return {};
        if (rule.type == FaultType::duplicate) copies += rule.extra_copies;
        apply(rule, link, number, size, now, first);
    }
    std::vector<Delivery> deliveries{first};
    // Each additional copy has random delays of its own.
    for (std::uint64_t copy = 1; copy < copies; ++copy) {
        Delivery delivery = first;
        for (const Rule& rule : rules_) {
            if (rule.type != FaultType::delay || !applies(rule)) continue;
            delivery.delay += draw_delay(rule, link, number, copy) - draw_delay(rule, link, number, 0);
        }
        deliveries.push_back(delivery);
    }
    return deliveries;
}

std::vector<std::size_t> Rules::stream_rules(const Link& link, std::uint64_t connection) const {
    std::vector<std::size_t> indexes;
    for (std::size_t i = 0; i < rules_.size(); ++i) {
        const Rule& rule = rules_[i];
        const bool acts_on_bytes = rule.medium != Medium::datagram && rule.type != FaultType::cut &&
                                   !applies_to_openings(rule.type) && !applies_to_datagrams_only(rule.type);
        if (acts_on_bytes && matches(rule, link, connection)) indexes.push_back(i);
    }
    return indexes;
}

}  // namespace elmbay::fault_proxy
