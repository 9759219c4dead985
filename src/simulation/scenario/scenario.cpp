#include "simulation/scenario/scenario.hpp"

#include <algorithm>
#include <sstream>
#include <utility>

#include "simulation/scenario/setting_override.hpp"

namespace elmbay::simulation {

namespace {

using fault_proxy::Rule;

/// Cost that the operators charge for an attempt to another zone.
constexpr double kCrossZoneCost = 0.02;

std::vector<std::string> split_words(const std::string& text) {
    std::istringstream input(text);
    std::vector<std::string> words;
    for (std::string word; input >> word;) words.push_back(word);
    return words;
}

Rule link_rule(const FaultSpec& fault, std::size_t number) {
    Rule rule;
    rule.name = fault.name + " " + std::to_string(number);
    for (const std::string& group : fault.groups) rule.groups.push_back(split_words(group));
    if (fault.kind != FaultKind::partition) {
        rule.from = fault.from;
        rule.to = fault.to;
    }
    if (affects_messages(fault.kind)) rule.medium = fault_proxy::Medium::datagram;
    if (fault.kind == FaultKind::message_loss) {
        rule.type = fault_proxy::FaultType::drop;
        rule.probability = fault.share;
    }
    if (fault.kind == FaultKind::message_delay) {
        rule.type = fault_proxy::FaultType::delay;
        rule.distribution = fault_proxy::DelayDistribution::uniform;
        rule.delay = fault.delay;
        rule.jitter = fault.delay / 2;
    }
    rule.starts_at = fault.start;
    rule.duration = fault.duration;  // 0: until the scenario ends and open connections have finished
    return rule;
}

/// Adds one rule for each occurrence of an intermittent fault, so that the fault ends with its last
/// occurrence.
void add_intermittent_rules(const Rule& rule, const FaultSpec& fault, Millis scenario_duration,
                            std::vector<Rule>& rules) {
    const bool ends_with_scenario = fault.duration <= 0;
    const Millis end =
        ends_with_scenario ? std::max(fault.start + 1, scenario_duration) : fault.start + fault.duration;
    for (Millis at = fault.start; at < end; at += fault.period) {
        Rule occurrence = rule;
        occurrence.name += " at " + std::to_string(static_cast<long>(at));
        occurrence.starts_at = at;
        occurrence.duration = std::min(fault.pulse, end - at);
        rules.push_back(std::move(occurrence));
    }
}

balancer::RequestClass request_class(const ClassSpec& spec) {
    balancer::RequestClass request_class;
    request_class.idempotency = spec.idempotency();
    request_class.dedup_scope = balancer::DedupScope::all;
    request_class.dedup_window = spec.dedup_window;
    request_class.latency_objective = spec.latency_objective;
    request_class.priority_weight = spec.priority_weight;
    return request_class;
}

}  // namespace

balancer::Idempotency ClassSpec::idempotency() const {
    if (effect == "safe") return balancer::Idempotency::idempotent;
    if (effect == "keyed") return balancer::Idempotency::idempotency_key;
    return balancer::Idempotency::non_idempotent;
}

bool Scenario::joins_later(std::uint32_t server) const {
    return std::any_of(faults.begin(), faults.end(), [&](const FaultSpec& fault) {
        return fault.kind == FaultKind::join &&
               std::find(fault.target_ids.begin(), fault.target_ids.end(), server) != fault.target_ids.end();
    });
}

std::vector<Rule> Scenario::link_rules() const {
    std::vector<Rule> rules;
    for (const FaultSpec& fault : faults) {
        if (!affects_links(fault.kind)) continue;
        const Rule rule = link_rule(fault, rules.size() + 1);
        if (fault.intermittent) {
            add_intermittent_rules(rule, fault, overview.duration, rules);
        } else {
            rules.push_back(rule);
        }
    }
    return rules;
}

std::vector<Rule> Scenario::message_rules() const {
    Rule delay;
    delay.name = "messages are late";
    delay.type = fault_proxy::FaultType::delay;
    delay.distribution = fault_proxy::DelayDistribution::uniform;
    delay.medium = fault_proxy::Medium::datagram;
    delay.delay = (messages.min_delay + messages.max_delay) / 2;
    delay.jitter = (messages.max_delay - messages.min_delay) / 2;
    Rule loss;
    loss.name = "messages are lost";
    loss.type = fault_proxy::FaultType::drop;
    loss.medium = fault_proxy::Medium::datagram;
    loss.probability = messages.loss_rate;
    return {delay, loss};
}

balancer::Settings Scenario::settings(std::uint32_t sidecar, const FaultSpec* changed) const {
    balancer::Settings settings;
    for (const ClassSpec& spec : classes) settings.classes.push_back(request_class(spec));
    settings.local_zone = zone_of(sidecar);
    settings.siblings = static_cast<std::uint32_t>(sidecars.count);
    settings.max_attempts = static_cast<std::uint32_t>(sidecars.max_attempts);
    settings.supports_cancel = true;
    settings.slow_start_min_share = invariants.configured_slow_start_min_share > 0
                                        ? invariants.configured_slow_start_min_share
                                        : fleet.slow_start_min_share;
    settings.slow_start_duration = invariants.configured_slow_start_duration > 0
                                       ? invariants.configured_slow_start_duration
                                       : fleet.slow_start_duration;
    settings.overload_multiple = invariants.overload_multiple;
    settings.costs.cross_zone = kCrossZoneCost;
    if (changed) {
        for (const std::string& text : changed->setting_overrides) apply_setting_override(text, settings);
    }
    return settings;
}

ScenarioError::ScenarioError(const std::string& file, schema::Problems problems)
    : std::runtime_error(schema::format_problems(file, problems)), problems_(std::move(problems)) {}

}  // namespace elmbay::simulation
