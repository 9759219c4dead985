#include "config/deployment_settings.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace elmbay::balancer {

namespace {

template <class T>
bool parse(std::string_view text, T& value) {
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc() && end == text.data() + text.size();
}

const Names<Idempotency> effects{{"repeatable", Idempotency::idempotent},
                                 {"by_key", Idempotency::idempotency_key},
                                 {"once", Idempotency::non_idempotent}};
const Names<DedupScope> scopes{
    {"all", DedupScope::all}, {"zone", DedupScope::zone}, {"cell", DedupScope::cell}};
std::vector<std::string> split(std::string_view list) {
    std::vector<std::string> items;
    while (!list.empty()) {
        const auto comma = list.find(',');
        items.emplace_back(list.substr(0, comma));
        list = comma == std::string_view::npos ? std::string_view() : list.substr(comma + 1);
    }
    return items;
}

}  // namespace

void Fields::fail(std::string_view field, std::string_view what) const {
    throw FieldError(where_ + ": field '" + std::string(field) + "' " + std::string(what));
}

const std::string_view* Fields::find(std::string_view field) const {
    for (const auto& [name, value] : fields_)
        if (name == field) return &value;
    return nullptr;
}

std::string_view Fields::text(std::string_view field) const {
    const auto* value = find(field);
    if (!value) fail(field, "is missing");
    return *value;
}

double Fields::number(std::string_view field) const {
    double value = 0;
    if (!parse(text(field), value) || !std::isfinite(value)) fail(field, "is not a number");
    return value;
}

double Fields::number_or(std::string_view field, double fallback) const {
    return has(field) ? number(field) : fallback;
}

std::uint64_t Fields::integer(std::string_view field) const {
    std::uint64_t value = 0;
    if (!parse(text(field), value)) fail(field, "is not a whole number");
    return value;
}

std::uint64_t Fields::integer_or(std::string_view field, std::uint64_t fallback) const {
    return has(field) ? integer(field) : fallback;
}

bool Fields::flag_or(std::string_view field, bool fallback) const {
    if (!has(field)) return fallback;
    const std::string_view value = text(field);
    if (value == "1" || value == "true") return true;
    if (value == "0" || value == "false") return false;
    fail(field, "is not a truth value");
}

double sound_weight(double told) {
    constexpr double kMost = 1000;  // machines of a deployment differ by tens
    return std::isfinite(told) && told > 0 ? std::clamp(told, 1 / kMost, kMost) : 1;
}

std::uint32_t number_of(std::vector<std::string>& names, std::string_view name) {
    const auto at = std::find(names.begin(), names.end(), name);
    const auto number = static_cast<std::uint32_t>(at - names.begin());
    if (at == names.end()) names.emplace_back(name);
    return number;
}

DeploymentSettings read_deployment_settings(const Fields& start) {
    DeploymentSettings deployment;
    Settings& s = deployment.settings;
    if (start.has("azs")) deployment.zones = split(start.text("azs"));
    if (start.has("my-zone")) s.my_zone = number_of(deployment.zones, start.text("my-zone"));
    for (std::uint64_t i = 0, count = start.integer("classes.count"); i < count; ++i) {
        const std::string prefix = "classes." + std::to_string(i) + ".";
        RequestClass c;
        c.idempotency = named(start, prefix + "effect", effects);
        if (start.has(prefix + "dedup-scope")) c.dedup_scope = named(start, prefix + "dedup-scope", scopes);
        c.dedup_window = start.number_or(prefix + "dedup-window-ms", c.dedup_window);
        c.latency_objective = start.number(prefix + "on-time-ms");
        c.objective_stretch = start.number_or(prefix + "aim-stretch", c.objective_stretch);
        c.late_weight = start.number_or(prefix + "late-value", c.late_weight);
        c.priority_weight = start.number_or(prefix + "credit", c.priority_weight);
        s.classes.push_back(c);
        deployment.give_up.push_back(start.number_or(prefix + "give-up-ms", c.latency_objective));
        deployment.classes.emplace_back(start.text(prefix + "name"));
    }
    for (std::uint64_t i = 0, count = start.integer_or("tenants.count", 0); i < count; ++i) {
        const std::string prefix = "tenants." + std::to_string(i) + ".";
        s.tenants.push_back({start.number_or(prefix + "quota-per-s", 0)});
        deployment.tenants.emplace_back(start.text(prefix + "name"));
    }
    if (start.has("membership-mode")) s.list_on_request = start.text("membership-mode") == "on_request";
    s.siblings = static_cast<std::uint32_t>(start.integer_or("siblings", s.siblings));
    if (start.has("my-number")) deployment.my_number = static_cast<std::uint32_t>(start.integer("my-number"));
    deployment.may_tell = start.flag_or("limits.may-tell", deployment.may_tell);
    s.max_attempts = static_cast<std::uint32_t>(start.integer_or("limits.max-attempts", s.max_attempts));
    s.allow_hedging = start.flag_or("limits.parallel-tries", s.allow_hedging);
    s.may_cancel = start.flag_or("limits.may-cancel", false);
    s.slow_start_min_share = start.number_or("rules.cold-from", s.slow_start_min_share);
    s.overload_multiple = start.number_or("rules.fall-multiple", s.overload_multiple);
    s.slow_start_duration = start.number_or("rules.warm-within-ms", s.slow_start_duration);
    s.costs.cross_zone = start.number_or("fees.cross-zone", s.costs.cross_zone);
    deployment.connect_timeout = start.number_or("limits.connect-timeout-ms", deployment.connect_timeout);
    deployment.idle_close = start.number_or("limits.idle-close-ms", deployment.idle_close);
    return deployment;
}

}  // namespace elmbay::balancer
