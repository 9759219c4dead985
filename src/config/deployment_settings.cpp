#include "config/deployment_settings.hpp"

#include <algorithm>
#include <cmath>

namespace elmbay::balancer {

namespace {

/// Values of the setting `effect`: whether a request may be executed twice.
const EnumNames<Idempotency> kIdempotencyNames{{"repeatable", Idempotency::idempotent},
                                               {"by_key", Idempotency::idempotency_key},
                                               {"once", Idempotency::non_idempotent}};
/// Values of the setting `dedup-scope`: which servers discard a request with a repeated idempotency key.
const EnumNames<DedupScope> kDedupScopeNames{
    {"all", DedupScope::all}, {"zone", DedupScope::zone}, {"cell", DedupScope::cell}};

/// Weights are clamped to the range from 1 / kMaxWeight to kMaxWeight. The capacities of the machines of one
/// deployment differ by a factor of some tens at most.
constexpr double kMaxWeight = 1000;

std::vector<std::string> split_at_commas(std::string_view list) {
    std::vector<std::string> items;
    while (!list.empty()) {
        const auto comma = list.find(',');
        items.emplace_back(list.substr(0, comma));
        list = comma == std::string_view::npos ? std::string_view() : list.substr(comma + 1);
    }
    return items;
}

void read_zones(const Fields& fields, DeploymentSettings& deployment) {
    if (fields.has("azs")) deployment.zones = split_at_commas(fields.text("azs"));
    if (fields.has("my-zone")) {
        deployment.settings.local_zone = intern_name(deployment.zones, fields.text("my-zone"));
    }
}

RequestClass read_class(const Fields& fields, const std::string& prefix) {
    RequestClass request_class;
    request_class.idempotency = read_enum(fields, prefix + "effect", kIdempotencyNames);
    if (fields.has(prefix + "dedup-scope")) {
        request_class.dedup_scope = read_enum(fields, prefix + "dedup-scope", kDedupScopeNames);
    }
    request_class.dedup_window = fields.number_or(prefix + "dedup-window-ms", request_class.dedup_window);
    request_class.latency_objective = fields.number(prefix + "on-time-ms");
    request_class.objective_work_multiple =
        fields.number_or(prefix + "aim-stretch", request_class.objective_work_multiple);
    request_class.late_weight = fields.number_or(prefix + "late-value", request_class.late_weight);
    request_class.priority_weight = fields.number_or(prefix + "credit", request_class.priority_weight);
    return request_class;
}

void read_classes(const Fields& fields, DeploymentSettings& deployment) {
    const std::uint64_t count = fields.integer("classes.count");
    for (std::uint64_t i = 0; i < count; ++i) {
        const std::string prefix = "classes." + std::to_string(i) + ".";
        const RequestClass request_class = read_class(fields, prefix);
        deployment.settings.classes.push_back(request_class);
        deployment.client_timeouts.push_back(
            fields.number_or(prefix + "give-up-ms", request_class.latency_objective));
        deployment.classes.emplace_back(fields.text(prefix + "name"));
    }
}

void read_tenants(const Fields& fields, DeploymentSettings& deployment) {
    const std::uint64_t count = fields.integer_or("tenants.count", 0);
    for (std::uint64_t i = 0; i < count; ++i) {
        const std::string prefix = "tenants." + std::to_string(i) + ".";
        deployment.settings.tenants.push_back({fields.number_or(prefix + "quota-per-s", 0)});
        deployment.tenants.emplace_back(fields.text(prefix + "name"));
    }
}

void read_limits_and_rules(const Fields& fields, Settings& settings) {
    settings.max_attempts =
        static_cast<std::uint32_t>(fields.integer_or("limits.max-attempts", settings.max_attempts));
    settings.allow_hedging = fields.flag_or("limits.parallel-tries", settings.allow_hedging);
    settings.supports_cancel = fields.flag_or("limits.may-cancel", false);
    settings.slow_start_min_share = fields.number_or("rules.cold-from", settings.slow_start_min_share);
    settings.overload_multiple = fields.number_or("rules.fall-multiple", settings.overload_multiple);
    settings.slow_start_duration = fields.number_or("rules.warm-within-ms", settings.slow_start_duration);
    settings.costs.cross_zone = fields.number_or("fees.cross-zone", settings.costs.cross_zone);
}

}  // namespace

double sanitize_weight(double weight) {
    const bool is_usable = std::isfinite(weight) && weight > 0;
    return is_usable ? std::clamp(weight, 1 / kMaxWeight, kMaxWeight) : 1;
}

std::uint32_t intern_name(std::vector<std::string>& names, std::string_view name) {
    const auto found = std::find(names.begin(), names.end(), name);
    const auto index = static_cast<std::uint32_t>(found - names.begin());
    if (found == names.end()) names.emplace_back(name);
    return index;
}

DeploymentSettings read_deployment_settings(const Fields& fields) {
    // The first invalid field is reported, so the order of the calls below determines the error message.
    DeploymentSettings deployment;
    Settings& settings = deployment.settings;
    read_zones(fields, deployment);
    read_classes(fields, deployment);
    read_tenants(fields, deployment);
    if (fields.has("membership-mode")) {
        settings.requires_subscription = fields.text("membership-mode") == "on_request";
    }
    settings.siblings = static_cast<std::uint32_t>(fields.integer_or("siblings", settings.siblings));
    if (fields.has("my-number")) {
        deployment.sidecar_index = static_cast<std::uint32_t>(fields.integer("my-number"));
    }
    deployment.peer_messages_allowed = fields.flag_or("limits.may-tell", deployment.peer_messages_allowed);
    read_limits_and_rules(fields, settings);
    deployment.connect_timeout = fields.number_or("limits.connect-timeout-ms", deployment.connect_timeout);
    deployment.server_idle_timeout = fields.number_or("limits.idle-close-ms", deployment.server_idle_timeout);
    deployment.drain_grace = fields.number_or("rules.stop-sending-within-ms", deployment.drain_grace);
    return deployment;
}

}  // namespace elmbay::balancer
